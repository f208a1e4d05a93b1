//! How a partition disturbs the connections that it cuts.

use super::*;

/// How a partition disturbs the connections that it cuts.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Way {
    /// Closes the connections, and new ones.
    Cut,
    /// Delays each chunk of bytes.
    Delay(Duration),
    /// Holds the bytes back. They arrive once it is over, unless their sender has given up by then.
    Hold,
    /// Holds the bytes back for the first half of the time, then closes the connections, and new ones.
    HoldAndCut,
}

impl Way {
    /// Returns the name that the report counts it under.
    pub(crate) fn name(self) -> &'static str {
        match self {
            Self::Cut => "partition-cut",
            Self::Delay(_) => "link-delay",
            Self::Hold => "partition-hold",
            Self::HoldAndCut => "partition-hold-cut",
        }
    }
}
