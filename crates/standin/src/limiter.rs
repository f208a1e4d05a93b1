//! Limit of the rate of calls.

use super::*;

/// A token bucket: allows `per_second` calls per second on average, and bursts of as many.
#[derive(Debug)]
pub(crate) struct Limiter {
    /// When `tokens` was last refilled.
    refilled_at: Instant,
    per_second: u32,
    /// Calls allowed now, at most `per_second`.
    tokens: f64,
}

impl Limiter {
    /// Returns whether a call is allowed now, and takes a token for it.
    pub(crate) fn allow(&mut self) -> bool {
        let now = Instant::now();
        let rate = f64::from(self.per_second);
        let refill = now.duration_since(self.refilled_at).as_secs_f64() * rate;
        self.tokens = (self.tokens + refill).min(rate);
        self.refilled_at = now;
        if self.tokens < 1.0 {
            return false;
        }
        self.tokens -= 1.0;
        true
    }

    pub(crate) fn new(per_second: u32) -> Self {
        Self { refilled_at: Instant::now(), per_second, tokens: f64::from(per_second) }
    }
}
