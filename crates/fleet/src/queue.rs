//! Queues of jobs, as the configuration declares them.

use super::*;

/// A queue of jobs.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Queue {
    /// Workers that may run a step must be asked for.
    pub advised: bool,
    /// The host that callers address; empty for any.
    pub host: String,
    /// Runs of a task that may end as failed; at least one.
    pub max_attempts: u32,
    /// The queue's name.
    pub name: String,
    /// What a job's latency objective adds to its stretched longest chain, in milliseconds.
    pub objective_ms: u64,
    /// The start of the paths that callers address.
    pub prefix: String,
    /// 0 goes first.
    pub priority: u32,
    /// The service whose workers run the tasks.
    pub service: String,
    /// The factor on a job's longest chain in its latency objective.
    pub stretch: f64,
}
