//! What to do on a worker to protect its services.

use super::*;

/// One measure on one worker.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case", tag = "advice")]
pub enum Advice {
    /// Write a checkpoint and stop; start again elsewhere from it.
    Evict {
        /// The run.
        run: task_worker::Run,
    },
    /// Start no further batch task there until advice comes without this.
    Hold,
    /// Lift the throttle of a run.
    Release {
        /// The run.
        run: task_worker::Run,
    },
    /// Let a run use this share of the processors that it was started with.
    Throttle {
        /// The run.
        run: task_worker::Run,
        /// Thousandths, 1 to 1,000.
        share_milli: u32,
    },
}
