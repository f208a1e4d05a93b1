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
}
