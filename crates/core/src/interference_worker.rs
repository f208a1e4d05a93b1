//! A worker as the interference model sees it.

use super::*;

/// The capacity of a worker, by which loads are divided.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Worker {
    /// Total processors, in thousandths of a core, at least 1.
    pub processors_milli: u64,
    /// Maximum number of concurrent requests, at least 1.
    pub slots: u32,
    /// The VM.
    pub vm: Name,
}
