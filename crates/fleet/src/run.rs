//! Runs of tasks at workers.

use super::*;

/// The phase of a run, as its cell's owner knows it.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Phase {
    /// The start is ordered once the store has recorded it, so that a new owner knows of the run even
    /// if it crashes its worker.
    Planned {
        /// The value of `Cell::changes` with which its job's record has it.
        change: u64,
        /// Whether the task is a lasting one that has never run.
        first: bool,
        /// When it is ordered even if it is not recorded, in milliseconds.
        until: Option<u64>,
    },
    /// The start was ordered but not confirmed.
    Starting {
        /// When the start is sent again, in milliseconds; `None` while an answer is pending.
        retry_at: Option<u64>,
        /// Whether an earlier start order may still reach the worker.
        uncertain: bool,
    },
    /// The worker confirmed the start, or refused it because it has already had the run. A poll
    /// sent after `since` that does not list the run shows that it is over.
    Confirmed {
        /// When the answer arrived, in milliseconds.
        since: u64,
    },
    /// A stop was ordered.
    Stopping {
        /// When the stop is sent again, in milliseconds; `None` while an answer is pending.
        retry_at: Option<u64>,
        /// When the stop was confirmed, in milliseconds.
        confirmed: Option<u64>,
    },
}

/// A run that a worker holds or may hold.
#[derive(Clone, Debug)]
pub struct Run {
    /// The load of a serving task's job at the last observation of its worker.
    pub load: Load,
    /// Whether an earlier owner ordered the start, so that its time is not known.
    pub adopted: bool,
    /// Whether its job is unknown to the cell, and with it what the run holds.
    pub foreign: bool,
    /// Measurement in the last listing: the tail latency in milliseconds for a serving task,
    /// processors in use in thousandths of a core for any other.
    pub measurement: Option<f64>,
    /// Since when a task that should use processors has used none, in milliseconds; `None` while it
    /// uses some.
    pub idle_since: Option<u64>,
    /// The run's number.
    pub number: u32,
    /// The pace last ordered, in percent; `None` for an adopted run, whose pace an earlier owner
    /// may have set.
    pub pace: Option<u32>,
    /// Progress of the run, in percent; 100 for a lasting task that is at work.
    pub progress: u32,
    /// The phase of the run.
    pub phase: Phase,
    /// When a poll was sent whose answer listed it as running, in milliseconds.
    pub seen_at: Option<u64>,
    /// When the start was ordered, in milliseconds; for an adopted run, when it was adopted.
    pub started: u64,
    /// The step of the task.
    pub step: Arc<Step>,
    /// The number of crashes under the task, while this run is watched for another.
    pub suspicion: usize,
    /// The smoothed contention that a serving task's tail latency shows, from 0 to 1; `None` before
    /// the first measurement.
    pub contention: Option<f64>,
    /// Since when the smoothed tail latency of a serving task has been over its target, in
    /// milliseconds.
    pub over_target_since: Option<u64>,
}

impl Run {
    /// Returns a run whose start was ordered at `now`.
    pub(crate) fn new(now: u64, number: u32, step: Arc<Step>) -> Self {
        Self {
            load: Load::default(),
            adopted: false,
            foreign: false,
            measurement: None,
            idle_since: None,
            number,
            pace: Some(100),
            phase: Phase::Starting { retry_at: None, uncertain: false },
            progress: 0,
            seen_at: None,
            started: now,
            step,
            suspicion: 0,
            contention: None,
            over_target_since: None,
        }
    }
}
