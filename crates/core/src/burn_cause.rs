//! Classification of finished requests.

use super::*;

/// Classification of a finished request by its service's objective: `Good`, or why it failed.
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
    /// Not run: the entry was shutting down, or it or a service that it depends on was not ready.
    Unavailable,
    /// Not run: endpoints refused it or could not be reached.
    Unreachable,
    /// It is unknown whether it ran.
    Unknown,
}

impl Cause {
    /// Returns the text shown in reports.
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
