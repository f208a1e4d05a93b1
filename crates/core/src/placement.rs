//! Placement of batch tasks on workers. Resources are vectors; what services reserve is never
//! offered, the tasks of a job are spread over racks, and processors and memory are kept free
//! beside free accelerators. A bounded number of workers is examined for each task.

use super::*;

pub use {
    assessment::Assessment, demand::Demand, placer::Placer, refusal::Refusal, worker::Worker,
};

use tree::Tree;

#[path = "placement_assessment.rs"]
mod assessment;
#[path = "placement_demand.rs"]
mod demand;
#[path = "placement_placer.rs"]
mod placer;
#[path = "placement_refusal.rs"]
mod refusal;
#[path = "placement_tree.rs"]
mod tree;
#[path = "placement_worker.rs"]
mod worker;
