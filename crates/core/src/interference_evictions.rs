//! The budget of evictions of a cell.

use super::*;

/// The most evictions saved up, in thousandths.
const SAVED_LIMIT_MILLI: u64 = 4_000;

/// A token bucket that time fills, in proportion to the number of workers.
#[derive(Clone, Debug, Default)]
pub(super) struct Evictions {
    /// Thousandths of an eviction, at most `SAVED_LIMIT_MILLI`.
    milli: u64,
    updated: Option<Instant>,
}

impl Evictions {
    /// Takes one eviction, or returns `false` when none is left.
    pub(super) fn allow(&mut self, now: Instant, workers: usize, limits: &Limits) -> bool {
        self.earn(now, workers, limits);
        if self.milli < 1_000 {
            return false;
        }
        self.milli -= 1_000;
        true
    }

    fn earn(&mut self, now: Instant, workers: usize, limits: &Limits) {
        let Some(updated) = self.updated else {
            self.updated = Some(now);
            self.milli = SAVED_LIMIT_MILLI;
            return;
        };
        let per_minute = u64::from(limits.evictions_per_minute_milli) * workers as u64;
        let earned = per_minute * now.since(updated).as_millis() as u64 / 60_000;
        if earned > 0 {
            self.updated = Some(now);
            self.milli = (self.milli + earned).min(SAVED_LIMIT_MILLI);
        }
    }
}
