//! A run in progress.

use super::*;

/// A run in progress.
#[derive(Clone, Debug)]
pub(crate) struct Run {
    /// Work done by `updated`, in seconds at the full share.
    pub(crate) done: f64,
    /// Whether it will fail.
    pub(crate) fails: bool,
    /// Share of its processors that it may use.
    pub(crate) share: f64,
    pub(crate) since: Instant,
    pub(crate) updated: Instant,
    pub(crate) vm: usize,
}

impl Run {
    /// Brings the work done up to `now`.
    pub(crate) fn advance(&mut self, now: Instant) {
        self.done += now.since(self.updated).as_secs_f64() * self.share;
        self.updated = now;
    }
}
