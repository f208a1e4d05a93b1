//! The state of a job as reported to its caller.

use super::*;

/// The state of a job.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum State {
    /// Cancelled by its caller.
    Cancelled,
    /// Every task is done.
    Completed,
    /// A task failed on as many attempts as its queue allows.
    Failed,
    /// Accepted; no task has started.
    Queued,
    /// Refused after a submission with an unknown outcome, so that it never runs.
    Refused,
    /// A task has started.
    Running,
}

impl State {
    /// Returns whether the job is over.
    pub fn is_final(self) -> bool {
        matches!(self, Self::Cancelled | Self::Completed | Self::Failed)
    }
}
