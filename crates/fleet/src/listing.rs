//! What a worker runs and what has ended there.

use super::*;

/// A worker's answer to a poll.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Listing {
    /// When the worker's present life began, in milliseconds since 1970.
    pub born: Option<u64>,
    /// The worker's own steady clock, in milliseconds.
    pub clock_ms: u64,
    /// Ends that have not been acknowledged, oldest first.
    pub ended: Vec<End>,
    /// What runs.
    pub running: Vec<Running>,
}

/// A run in progress.
#[derive(Clone, Debug, PartialEq)]
pub struct Running {
    /// The newest saved progress; empty when there is none.
    pub checkpoint: String,
    /// A rough figure of the last half second: milliseconds of tail latency for a serving task,
    /// thousandths of a core in use for any other.
    pub figure: f64,
    /// How far the run is, in percent; a lasting task is at work at 100.
    pub progress: u32,
    /// The run's number.
    pub run: u32,
    /// The task.
    pub task: task::Name,
}

/// An end of a run.
#[derive(Clone, Debug, PartialEq)]
pub struct End {
    /// The newest saved progress; empty when there is none.
    pub checkpoint: String,
    /// How it ended.
    pub how: How,
    /// Counts the ends of one life of the worker, from 1.
    pub number: u64,
    /// The run's number.
    pub run: u32,
    /// The task.
    pub task: task::Name,
}

/// How a run ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum How {
    /// The other members of its gang did not come.
    Alone,
    /// Another member of its gang ended.
    Broken,
    /// The work is done.
    Done,
    /// The task or its worker failed.
    Failed,
    /// The worker's lease ran out.
    Lapsed,
    /// It was stopped by an order.
    Stopped,
}
