//! What a new owner has to wait for before it starts tasks that the last one may have started: only
//! the workers that may still run something, and only as long as their leases can last. Answers this load:
//! VMs that are restarted in turn, or all at once, while workers leave and crash.

use super::*;

/// The last owner of a cell, as its successor knows it.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Predecessor {
    /// Whether its process is known to have ended, or to have released the cell, before its successor
    /// acquired it. Otherwise it may have gone on without the store.
    pub ended: bool,
    /// Whether it knew that orders of all owners before it were over.
    pub settled: bool,
    /// Workers that held no runs, and got none before a later head.
    pub vacated: BTreeSet<String>,
}

impl Predecessor {
    /// Returns the last owner as its head shows it. `ended` tells whether it is known to have ended.
    pub fn new(head: &Head, ended: bool) -> Self {
        Self { ended, settled: head.settled || head.generation == 0, vacated: head.vacated.clone() }
    }

    /// Returns when every lease that earlier owners granted is over, for a successor that acquired the
    /// cell at `acquired_at`, both in milliseconds.
    pub fn leases_over_at(&self, acquired_at: u64, limits: &Limits) -> u64 {
        let silence_ms = if self.ended && self.settled { 0 } else { limits.owner_silence_ms };
        acquired_at
            + silence_ms
            + limits.lease_ms * 100 / (100 - limits::CLOCK_SLOW_PERCENT)
            + limits::LEASE_SLACK_MS
    }
}
