//! Faults injected into an owner by tests, to show that their checks detect them.

use super::*;

/// A safeguard that an owner leaves out. Every process runs with `None`.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Faults {
    /// Starts tasks without checking the deadline of its own lease, and continues when a worker
    /// reports a higher epoch.
    NoEpochCheck,
    /// Counts a run as over as soon as its worker is unreachable.
    NoLeaseWait,
    /// Treats a transaction with an unknown result as failed.
    NoReadBack,
    /// Leaves out no safeguard.
    #[default]
    None,
}
