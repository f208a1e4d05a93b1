//! A batch run as the interference model sees it.

use super::*;

/// A run in progress on a worker.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Running {
    /// Whether it can resume from a checkpoint.
    pub checkpoints: bool,
    /// Its batch class.
    pub class: Name,
    /// Processors that it was started with, in thousandths of a core.
    pub processors_milli: u64,
    /// The run.
    pub run: task_worker::Run,
    /// When it started.
    pub since: Instant,
}
