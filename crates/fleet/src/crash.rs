//! Crashes of workers under runs of a task.

use super::*;

/// A crash of a worker while it held a run of a task.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Crash {
    /// The run's number.
    pub run: u32,
    /// Whether the worker is known to have crashed. Otherwise only its lease ran out, and it may have
    /// been cut off.
    pub confirmed: bool,
    /// Whether no run of another job was as suspect, and the crash has no cause that the workers of the
    /// rack share.
    pub singled_out: bool,
    /// How long the run is known to have lived.
    #[serde(flatten)]
    pub lifetime: Lifetime,
}
