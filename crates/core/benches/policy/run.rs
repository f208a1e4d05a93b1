//! A run of a batch task.

use super::*;

/// A run of a batch task in progress.
#[derive(Clone, Debug)]
pub(crate) struct Run {
    /// Work done until `updated`, in seconds at the full share of processors.
    pub(crate) done: f64,
    /// Whether it is going to fail.
    pub(crate) fails: bool,
    /// Share of its processors that it may use, 0 to 1.
    pub(crate) share: f64,
    pub(crate) since: Instant,
    pub(crate) updated: Instant,
    pub(crate) vm: usize,
}

impl Run {
    /// Adds the work done since the last update.
    pub(crate) fn advance(&mut self, now: Instant) {
        self.done += now.since(self.updated).as_secs_f64() * self.share;
        self.updated = now;
    }
}
