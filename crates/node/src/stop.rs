//! The end of this process's last ownership of a cell.

use super::*;

/// When the leases of an owner that has stopped are over.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Stop {
    /// The number of the owner.
    pub(crate) generation: u32,
    /// When its leases and those of earlier owners are over, in milliseconds.
    pub(crate) leases_over_at: u64,
}

impl Stop {
    /// Returns the mark for the owner's successor.
    pub(crate) fn release(&self) -> Release {
        Release::new(self.generation, self.leases_over_at, time::now())
    }
}
