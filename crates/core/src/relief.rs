//! What a run is made to do for the sake of a service.

use super::*;

/// What a run is made to do for the sake of a service.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Relief {
    /// Write a checkpoint and stop.
    Evict,
    /// Use less of its processors.
    Throttle {
        /// Thousandths of its processors, 1 to 1,000.
        share_milli: u32,
    },
}
