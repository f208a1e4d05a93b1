//! Measures on a worker that protect its services.

use super::*;

/// One measure on one worker.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case", tag = "advice")]
pub enum Advice {
    /// Write a checkpoint and stop the run; the task resumes elsewhere from the checkpoint.
    Evict {
        /// The run.
        run: task_worker::Run,
    },
    /// Start no further batch task on the worker until advice comes without `Hold`.
    Hold,
    /// Lift the throttle of a run.
    Release {
        /// The run.
        run: task_worker::Run,
    },
    /// Limit a run to this share of the processors that it was started with.
    Throttle {
        /// The run.
        run: task_worker::Run,
        /// The share in thousandths, 1 to 1,000.
        share_milli: u32,
    },
}
