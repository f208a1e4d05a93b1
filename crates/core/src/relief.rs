//! Measures that relieve a service or a leaving VM of a batch run.

use super::*;

/// A measure that relieves a service or a leaving VM of a batch run.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Relief {
    /// Write a checkpoint and stop the run.
    Evict,
    /// Limit the run to a share of its processors.
    Throttle {
        /// The share in thousandths, 1 to 1,000.
        share_milli: u32,
    },
}
