//! Placement of batch tasks on workers: amounts as vectors, urgent reservations first, spread over
//! racks, accelerators kept usable. Examines a bounded number of workers a task.

use super::*;

pub use {demand::Demand, judgement::Judgement, placer::Placer, refusal::Refusal, worker::Worker};

use tree::Tree;

#[path = "placement_demand.rs"]
mod demand;
#[path = "placement_judgement.rs"]
mod judgement;
#[path = "placement_placer.rs"]
mod placer;
#[path = "placement_refusal.rs"]
mod refusal;
#[path = "placement_tree.rs"]
mod tree;
#[path = "placement_worker.rs"]
mod worker;
