//! What lasting tasks may take of a cell when they start for the first time. One answer serves placement, moves
//! between cells and the choice of a cell.

use super::*;

/// What lasting tasks hold of a cell and may hold, in thousandths of a core.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Quota {
    /// Processors that lasting tasks hold, or will before the one in question.
    pub held_milli: u64,
    /// Processors that lasting tasks may hold when another one starts.
    pub limit_milli: u64,
    /// Processors that all tasks reserve, with those of `held_milli`.
    pub reserved_milli: u64,
    /// Processors of the cell.
    pub total_milli: u64,
}

/// A cell has spare capacity while less than this share of its processors is reserved, in percent.
/// The platform counts a job as lost if it waits for seconds while half the fleet is free.
const MAX_RESERVED_PERCENT: u64 = 60;

impl Quota {
    /// Returns whether the cell has spare capacity, so that no lasting task has to wait.
    pub fn is_spare(&self) -> bool {
        self.reserved_milli < self.spare_limit()
    }

    /// Returns whether tasks that reserve `milli` processors together may start for the first time. The first
    /// tasks of a cell may also be larger than the limit.
    pub fn allows(&self, milli: u64) -> bool {
        self.is_spare() || self.held_milli == 0 || milli <= self.room_milli()
    }

    /// Returns how many tasks of `milli` processors each may start for the first time, one after the other.
    pub fn tasks(&self, milli: u64) -> u64 {
        let spare = self.spare_limit().saturating_sub(self.reserved_milli);
        let milli = milli.max(1);
        (self.room_milli() / milli).max(spare.div_ceil(milli))
    }

    /// Adds a task that starts for the first time.
    pub(crate) fn add(&mut self, step: &Step) {
        let milli = step.reserved().processors_milli;
        self.reserved_milli = self.reserved_milli.saturating_add(milli);
        if step.lasting {
            self.held_milli = self.held_milli.saturating_add(milli);
        }
    }

    /// Returns the processors below the limit that lasting tasks don't hold.
    pub fn room_milli(&self) -> u64 {
        self.limit_milli.saturating_sub(self.held_milli)
    }

    /// Returns the reserved processors from which on the cell has no spare capacity.
    fn spare_limit(&self) -> u64 {
        self.total_milli.saturating_mul(MAX_RESERVED_PERCENT).div_ceil(100)
    }
}
