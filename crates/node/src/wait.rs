//! A VM's wait for the owner's entry of a cell to go.

/// A wait for a cell that has an owner's entry, reported at an interval.
pub(crate) struct Wait {
    cell: u32,
    reported_at: u64,
    since: u64,
    tries: u32,
}

/// Interval between reports of a wait, in milliseconds: longer than a release takes.
const REPORT_INTERVAL_MS: u64 = 1_000;

impl Wait {
    /// Returns a wait that begins at `now`, in milliseconds.
    pub(crate) fn new(cell: u32, now: u64) -> Self {
        Self { cell, reported_at: now, since: now, tries: 0 }
    }

    /// Returns how long the wait has lasted, in milliseconds.
    pub(crate) fn waited_ms(&self, now: u64) -> u64 {
        now.saturating_sub(self.since)
    }

    /// Counts an attempt that found the entry of `owner`, and logs the wait when it is due.
    pub(crate) fn record(&mut self, now: u64, owner: &str) {
        self.tries += 1;
        if now < self.reported_at + REPORT_INTERVAL_MS {
            return;
        }
        self.reported_at = now;
        let (cell, tries, waited_ms) = (self.cell, self.tries, self.waited_ms(now));
        log::warn!(cell, owner, tries, waited_ms; "cell_awaited");
    }
}
