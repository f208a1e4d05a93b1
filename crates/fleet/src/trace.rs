//! Records of where a run was started.

use super::*;

/// A run that was ordered at a worker, recorded so that a new owner can tell whether the worker has
/// crashed since.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Trace {
    /// When the worker had last started, in milliseconds since 1970, if it had told.
    pub born: Option<u64>,
    /// The run's number.
    pub run: u32,
    /// Whether a suspect of another job was on the worker, so that a crash there singles neither out.
    #[serde(default, skip_serializing_if = "std::ops::Not::not")]
    pub shared: bool,
    /// The worker's ID.
    pub worker: String,
}
