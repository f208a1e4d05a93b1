//! Job queues, as declared in the configuration.

use super::*;

/// A queue of jobs.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Queue {
    /// Whether the workers that may run a step must be requested.
    pub advised: bool,
    /// The host that callers address; empty for any.
    pub host: String,
    /// Number of failed runs of a task that fail its job; at least one.
    pub max_attempts: u32,
    /// The queue's name.
    pub name: String,
    /// Constant part of the latency objective of a job, in milliseconds; see `stretch`.
    pub objective_ms: u64,
    /// The prefix of the paths that callers address.
    pub prefix: String,
    /// The priority; 0 is placed first.
    pub priority: u32,
    /// The service whose workers run the tasks.
    pub service: String,
    /// The latency objective of a job is its critical path times this factor plus `objective_ms`.
    pub stretch: f64,
    /// The version of the configuration that declares the queue like this; 0 if none is known.
    pub version: u64,
}

impl Queue {
    /// Returns a queue of which only the name is known. No worker serves it, and no number of failed runs
    /// fails its jobs.
    pub fn undeclared(name: &str) -> Self {
        Self {
            advised: false,
            host: String::new(),
            max_attempts: u32::MAX,
            name: name.into(),
            objective_ms: 0,
            prefix: String::new(),
            priority: u32::MAX,
            service: String::new(),
            stretch: 1.0,
            version: 0,
        }
    }

    /// Returns the latency objective of a job with this critical path, both in milliseconds.
    pub fn latency_objective_ms(&self, critical_path_ms: u64) -> u64 {
        ((critical_path_ms as f64 * self.stretch) as u64).saturating_add(self.objective_ms)
    }
}
