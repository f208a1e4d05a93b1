//! The progress of a job: the part of its state that is stored beside its record.

use super::*;

/// Recorded ends of a job's runs.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Progress {
    /// Done tasks, as occurrence, step and task indices.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub done: Vec<(u32, u16, Vec<u16>)>,
    /// Failed runs, as occurrence, step, task index and run number.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub failed: Vec<(u32, u16, u16, u32)>,
    /// Crashes of workers, as occurrence, step, task index and crash.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub crashes: Vec<(u32, u16, u16, Crash)>,
    /// Runs that may crash their worker unseen, as occurrence, step, task index and trace.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub traces: Vec<(u32, u16, u16, Trace)>,
    /// Lasting tasks that have run, or may have, as occurrence, step and task indices. The first start of one is
    /// recorded before it is ordered.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub started: Vec<(u32, u16, Vec<u16>)>,
}

impl Progress {
    /// Returns whether it tells of ends or crashes.
    pub fn has_ends(&self) -> bool {
        let Self { done, failed, crashes, traces, started: _ } = self;
        !(done.is_empty() && failed.is_empty() && crashes.is_empty() && traces.is_empty())
    }
}
