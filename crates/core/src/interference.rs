//! How much batch classes slow services down, estimated from late reports, and what to do about it:
//! don't add, throttle, checkpoint and evict, in that order.

use super::*;

pub use {
    advice::Advice, limits::Limits, model::Model, occupancy::Occupancy, running::Running,
    worker::Worker,
};

use {
    super::worker as task_worker, evictions::Evictions, moments::Moments, site::Site, step::Step,
};

#[path = "interference_advice.rs"]
mod advice;
#[path = "interference_evictions.rs"]
mod evictions;
#[path = "interference_limits.rs"]
mod limits;
#[path = "interference_model.rs"]
mod model;
#[path = "interference_moments.rs"]
mod moments;
#[path = "interference_occupancy.rs"]
mod occupancy;
#[path = "interference_running.rs"]
mod running;
#[path = "interference_site.rs"]
mod site;
#[path = "interference_step.rs"]
mod step;
#[path = "interference_worker.rs"]
mod worker;
