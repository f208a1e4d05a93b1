//! Limits retries to a share of requests, so that failing endpoints get no storm.

use super::*;

/// Retries earned by each request, in thousandths.
pub const EARNED_MILLI: u64 = 80;
/// The most retries saved up, in thousandths.
pub const SAVED_LIMIT_MILLI: u64 = 10_000;
/// Retries that an entry has before its first request, in thousandths.
pub const INITIAL_MILLI: u64 = 2_000;
/// The first pause before a retry; each further one doubles.
pub const BACKOFF_STEP: Duration = Duration::from_millis(5);
/// The longest pause before a retry.
pub const BACKOFF_LIMIT: Duration = Duration::from_millis(200);

/// A token bucket that requests fill and retries empty.
#[derive(Clone, Debug)]
pub struct Budget {
    /// Retries left, in thousandths, at most `SAVED_LIMIT_MILLI`.
    milli: u64,
    random: Pcg64Mcg,
}

impl Budget {
    /// Makes a budget; `seed` feeds the jitter.
    pub fn new(seed: u64) -> Self {
        Self { milli: INITIAL_MILLI, random: Pcg64Mcg::seed_from_u64(seed) }
    }

    /// Takes one retry, or returns `false` when none is left.
    pub fn allow(&mut self) -> bool {
        if self.milli < 1_000 {
            return false;
        }
        self.milli -= 1_000;
        true
    }

    /// Returns the jittered pause before retry number `retry`, from 0.
    pub fn backoff(&mut self, retry: u32) -> Duration {
        let longest = (BACKOFF_STEP * (1 << retry.min(16))).min(BACKOFF_LIMIT);
        let micros = longest.as_micros() as u64;
        Duration::from_micros(self.random.random_range(micros / 2..=micros))
    }

    /// Earns for one request.
    pub fn request(&mut self) {
        self.milli = (self.milli + EARNED_MILLI).min(SAVED_LIMIT_MILLI);
    }
}
