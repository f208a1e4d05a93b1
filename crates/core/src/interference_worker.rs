//! A worker as the estimate sees it.

use super::*;

/// What loads on a worker are compared with.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Worker {
    /// All its processors, in thousandths of a core, at least 1.
    pub processors_milli: u64,
    /// Requests that it runs at once, at least 1.
    pub slots: u32,
    /// The VM.
    pub vm: Name,
}
