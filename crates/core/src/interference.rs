//! Estimates from delayed reports how much each batch class slows each service down, and limits the
//! slowdown: hold back new tasks, throttle running ones, checkpoint and evict, in that order.

use super::*;

pub use {
    advice::Advice, limits::Limits, load::Load, model::Model, running::Running, worker::Worker,
};

use {
    super::worker as task_worker, budget::Budget, regression::Regression, state::State, step::Step,
};

#[path = "interference_advice.rs"]
mod advice;
#[path = "interference_budget.rs"]
mod budget;
#[path = "interference_limits.rs"]
mod limits;
#[path = "interference_load.rs"]
mod load;
#[path = "interference_model.rs"]
mod model;
#[path = "interference_regression.rs"]
mod regression;
#[path = "interference_running.rs"]
mod running;
#[path = "interference_state.rs"]
mod state;
#[path = "interference_step.rs"]
mod step;
#[path = "interference_worker.rs"]
mod worker;
