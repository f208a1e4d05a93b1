//! What must be known of a job beside its submission.

use super::*;

/// Ends that are recorded.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Progress {
    /// Tasks that are done, as occurrence, step and task.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub done: Vec<(u32, u16, Vec<u16>)>,
    /// Runs that failed, as occurrence, step, task and run.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub failed: Vec<(u32, u16, u16, u32)>,
}
