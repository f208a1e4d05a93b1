//! Answers to polls: the runs in progress at a worker and the ends of runs.

use super::*;

/// A worker's answer to a poll.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Listing {
    /// When the worker last started, in milliseconds since 1970.
    pub born: Option<u64>,
    /// The worker's own steady clock, in milliseconds.
    pub clock_ms: u64,
    /// Whether it holds every end that has not been acknowledged. A worker lists a limited number of ends
    /// at a time, so that without this nothing follows from a run that is not listed.
    pub complete: bool,
    /// Ends that have not been acknowledged, oldest first.
    pub ended: Vec<End>,
    /// Runs in progress.
    pub running: Vec<Running>,
    /// Tasks in rows that can't be read: the worker may run them.
    pub unreadable: BTreeSet<task::Name>,
}

/// A run in progress.
#[derive(Clone, Debug, PartialEq)]
pub struct Running {
    /// The newest checkpoint; empty when there is none.
    pub checkpoint: String,
    /// A rough measurement over the last half second: the tail latency in milliseconds for a
    /// serving task, processors in use in thousandths of a core for any other.
    pub measurement: f64,
    /// Progress of the run, in percent; 100 for a lasting task that is at work.
    pub progress: u32,
    /// The run's number.
    pub run: u32,
    /// The task.
    pub task: task::Name,
}

/// The end of a run.
#[derive(Clone, Debug, PartialEq)]
pub struct End {
    /// The newest checkpoint; empty when there is none.
    pub checkpoint: String,
    /// Why it ended.
    pub reason: EndReason,
    /// The number of the end, counted from 1 since the worker started.
    pub number: u64,
    /// The run's number.
    pub run: u32,
    /// The task.
    pub task: task::Name,
}

/// Why a run ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum EndReason {
    /// The other members of its gang did not start in time.
    Alone,
    /// Another member of its gang ended.
    Broken,
    /// The task is done.
    Done,
    /// The task or its worker failed.
    Failed,
    /// The worker's lease expired.
    Lapsed,
    /// It was stopped by an order.
    Stopped,
    /// In a way that this version doesn't know.
    Unknown,
}
