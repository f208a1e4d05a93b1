//! Retry budget: limits retries to a share of the requests, so that failing endpoints don't cause
//! a retry storm.

use super::*;

/// Retries added by each request, in thousandths.
pub const EARNED_PER_REQUEST_MILLI: u64 = 80;
/// Largest balance of retries, in thousandths.
pub const MAX_BALANCE_MILLI: u64 = 10_000;
/// Balance of retries of an entry before its first request, in thousandths.
pub const INITIAL_BALANCE_MILLI: u64 = 2_000;
/// Longest pause before the first retry; doubles with each further one up to `MAX_BACKOFF`.
pub const BACKOFF_BASE: Duration = Duration::from_millis(5);
/// Longest pause before any retry.
pub const MAX_BACKOFF: Duration = Duration::from_millis(200);

/// A token bucket that requests fill and retries empty.
#[derive(Clone, Debug)]
pub struct Budget {
    /// Retries left, in thousandths, at most `MAX_BALANCE_MILLI`.
    balance_milli: u64,
    random: Pcg64Mcg,
}

impl Budget {
    /// Returns a budget with the initial balance; `seed` seeds the jitter.
    pub fn new(seed: u64) -> Self {
        Self { balance_milli: INITIAL_BALANCE_MILLI, random: Pcg64Mcg::seed_from_u64(seed) }
    }

    /// Spends one retry. Returns `false` if none is left.
    pub fn try_spend(&mut self) -> bool {
        if self.balance_milli < 1_000 {
            return false;
        }
        self.balance_milli -= 1_000;
        true
    }

    /// Returns the pause before retry number `retry`, from 0: the longest pause, less a random
    /// part of up to a half.
    pub fn backoff(&mut self, retry: u32) -> Duration {
        let longest = (BACKOFF_BASE * (1 << retry.min(16))).min(MAX_BACKOFF);
        let longest_us = longest.as_micros() as u64;
        Duration::from_micros(self.random.random_range(longest_us / 2..=longest_us))
    }

    /// Adds the share of a retry that one request earns.
    pub fn earn(&mut self) {
        self.balance_milli = (self.balance_milli + EARNED_PER_REQUEST_MILLI).min(MAX_BALANCE_MILLI);
    }
}
