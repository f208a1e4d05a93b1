//! A run that a worker holds, or may hold.

use super::*;

/// How far a run is known to be.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Phase {
    /// The start is under way, or its outcome is unknown.
    Starting {
        /// The next time the order is sent again; `None` while an answer is awaited.
        retry_at: Option<u64>,
        /// An earlier order may still arrive.
        uncertain: bool,
    },
    /// The worker confirmed the start, or refused it as old; a poll sent at `since` or later that
    /// does not list it proves it over.
    Confirmed {
        /// When the answer came, in milliseconds.
        since: u64,
    },
    /// A stop was ordered.
    Stopping {
        /// The next time the order is sent again; `None` while an answer is awaited.
        retry_at: Option<u64>,
        /// When the stop was confirmed, in milliseconds.
        confirmed: Option<u64>,
    },
}

/// A run at a worker.
#[derive(Clone, Debug)]
pub struct Run {
    /// The contention that a serving task's own load makes, from 0 to 1: an estimate that follows
    /// its figures.
    pub load: f64,
    /// Processors in use at the last poll, in thousandths of a core, or the tail latency in
    /// milliseconds for a serving task.
    pub figure: Option<f64>,
    /// Since when a task that should use processors has used none, in milliseconds.
    pub idle_since: Option<u64>,
    /// The run's number.
    pub number: u32,
    /// The pace that was last ordered, in percent; `None` when an earlier owner may have ordered
    /// another one.
    pub pace: Option<u32>,
    /// How far the run is, in percent; a lasting task is at work at 100.
    pub progress: u32,
    /// How far it is.
    pub phase: Phase,
    /// When the start was ordered, in milliseconds.
    pub started: u64,
    /// The step's shape.
    pub step: Arc<Step>,
    /// Since when the task's tail has been over its target, in milliseconds.
    pub over_since: Option<u64>,
}

impl Run {
    /// Returns a run whose start is under way.
    pub(crate) fn new(now: u64, number: u32, step: Arc<Step>) -> Self {
        Self {
            load: pressure::LOAD,
            figure: None,
            idle_since: None,
            number,
            pace: Some(100),
            phase: Phase::Starting { retry_at: None, uncertain: false },
            progress: 0,
            started: now,
            step,
            over_since: None,
        }
    }
}
