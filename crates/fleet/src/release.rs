//! What an owner of a cell leaves in the store when it stops.

use super::*;

/// The mark of an owner that has stopped.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Release {
    /// The number of the owner.
    pub generation: u32,
    /// How long after this was written the workers may still hold leases of this owner or of earlier
    /// ones, in milliseconds. If it is read or carried out later, they end sooner than it seems.
    pub leases_left_ms: u64,
}

impl Release {
    /// Returns the mark of an owner, written at `now`, whose leases and those of earlier owners are over
    /// at `leases_over_at`, both in milliseconds.
    pub fn new(generation: u32, leases_over_at: u64, now: u64) -> Self {
        Self { generation, leases_left_ms: leases_over_at.saturating_sub(now) }
    }

    /// Returns how the owner has ended, for a VM that reads the mark at `now`, in milliseconds.
    pub fn end(&self, now: u64) -> predecessor::End {
        predecessor::End::Stopped { leases_over_at: now + self.leases_left_ms }
    }
}
