//! The budget of evictions of a cell.

use super::*;

/// Capacity of the bucket, in thousandths of an eviction.
const CAPACITY_MILLI: u64 = 4_000;

/// A token bucket of evictions, refilled in proportion to time and to the number of workers.
#[derive(Clone, Debug, Default)]
pub(super) struct Budget {
    /// Evictions left, in thousandths, at most `CAPACITY_MILLI`.
    tokens_milli: u64,
    updated: Option<Instant>,
}

impl Budget {
    /// Takes one eviction from the budget, or returns `false` if none is left.
    pub(super) fn take(&mut self, now: Instant, workers: usize, limits: &Limits) -> bool {
        self.refill(now, workers, limits);
        if self.tokens_milli < 1_000 {
            return false;
        }
        self.tokens_milli -= 1_000;
        true
    }

    fn refill(&mut self, now: Instant, workers: usize, limits: &Limits) {
        let Some(updated) = self.updated else {
            self.updated = Some(now);
            self.tokens_milli = CAPACITY_MILLI;
            return;
        };
        let per_minute = u64::from(limits.evictions_per_minute_milli) * workers as u64;
        let refilled = per_minute * now.since(updated).as_millis() as u64 / 60_000;
        if refilled > 0 {
            self.updated = Some(now);
            self.tokens_milli = (self.tokens_milli + refilled).min(CAPACITY_MILLI);
        }
    }
}
