//! Deliberate faults of an owner, with which tests show that their checks can fail.

use super::*;

/// A safeguard that an owner leaves out. Every process runs with `None`.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Faults {
    /// Starts tasks without a check of its own deadline, and goes on when a worker names a
    /// higher epoch.
    NoEpochCheck,
    /// Counts a run as over as soon as its worker is out of reach.
    NoLeaseWait,
    /// Takes a transaction in doubt for one that failed.
    NoReadBack,
    /// Leaves nothing out.
    #[default]
    None,
}
