//! The policies compared. They differ only in how services and batch work share workers.

/// A rule by which services and batch work share workers.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Policy {
    /// Batch tasks run wherever they fit beside the reservation of the services.
    Blind,
    /// Batch tasks are placed up to a fixed utilisation of the worker, and evicted above it.
    Fixed,
    /// No sharing: each worker is dedicated to services or to batch work, sized by the urgent peak.
    None,
    /// The policy of the core.
    Ours,
}

impl Policy {
    /// Every policy.
    pub(crate) const ALL: [Self; 4] = [Self::Ours, Self::None, Self::Blind, Self::Fixed];

    /// Returns the name printed and matched by `BENCH_ONLY`.
    pub(crate) fn name(self) -> &'static str {
        match self {
            Self::Blind => "blind-sharing",
            Self::Fixed => "fixed-threshold",
            Self::None => "no-sharing",
            Self::Ours => "ours",
        }
    }
}
