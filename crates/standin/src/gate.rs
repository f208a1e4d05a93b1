//! Limits the rate of calls.

use super::*;

/// Allows up to `per_second` calls a second, with a burst of as many.
#[derive(Debug)]
pub(crate) struct Gate {
    filled: Instant,
    per_second: u32,
    /// Calls that may come now, at most `per_second`.
    tokens: f64,
}

impl Gate {
    pub(crate) fn allow(&mut self) -> bool {
        let now = Instant::now();
        let rate = f64::from(self.per_second);
        let grown = now.duration_since(self.filled).as_secs_f64() * rate;
        self.tokens = (self.tokens + grown).min(rate);
        self.filled = now;
        if self.tokens < 1.0 {
            return false;
        }
        self.tokens -= 1.0;
        true
    }

    pub(crate) fn new(per_second: u32) -> Self {
        Self { filled: Instant::now(), per_second, tokens: f64::from(per_second) }
    }
}
