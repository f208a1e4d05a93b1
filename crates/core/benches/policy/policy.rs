//! The policies that are compared. They differ only in how services and batch work share workers.

/// How services and batch work share workers.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Policy {
    /// Batch wherever it fits beside the reservation.
    Blind,
    /// Batch up to a fixed utilisation, evicted above it.
    Fixed,
    /// Workers split in advance by the urgent peak.
    None,
    /// The policy of this project.
    Ours,
}

impl Policy {
    /// Every policy.
    pub(crate) const ALL: [Self; 4] = [Self::Ours, Self::None, Self::Blind, Self::Fixed];

    /// Returns the name in print.
    pub(crate) fn name(self) -> &'static str {
        match self {
            Self::Blind => "blind-sharing",
            Self::Fixed => "fixed-threshold",
            Self::None => "no-sharing",
            Self::Ours => "ours",
        }
    }
}
