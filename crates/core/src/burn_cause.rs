//! What a request counts as.

use super::*;

/// What a request counts as against its service's objective.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Cause {
    /// The answer broke off on its way.
    Broken,
    /// Answered within the objective's latency.
    Good,
    /// Answered, but later than the objective's latency.
    Late,
    /// Not run: no endpoint had a free slot, or the service was at its limit.
    Overloaded,
    /// Not run: its deadline passed, or could not be met.
    PastDeadline,
    /// Not run: the system was not ready or left.
    Unavailable,
    /// Not run: endpoints refused or could not be reached.
    Unreachable,
    /// Whether it ran is unknown.
    Unknown,
}

impl Cause {
    /// Returns the name in reports.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Broken => "answer broken off",
            Self::Good => "in time",
            Self::Late => "answered late",
            Self::Overloaded => "refused: overloaded",
            Self::PastDeadline => "refused: past its deadline",
            Self::Unavailable => "refused: entry not ready",
            Self::Unreachable => "refused: endpoints unreachable",
            Self::Unknown => "outcome unknown",
        }
    }
}
