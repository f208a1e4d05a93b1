//! Tells a silence of the store from a pause of this process. A VM that is frozen, or gets no
//! processor time, hears nothing either, while workers go on changing their entries.

/// Records whether this process has run without a pause.
#[derive(Clone, Copy, Debug, Default)]
pub struct Continuity {
    /// When the process last ran, in milliseconds; `None` before the first observation.
    observed_at: Option<u64>,
    /// When it last resumed after a pause, in milliseconds.
    resumed_at: u64,
}

/// The longest time between two observations that is no pause, in milliseconds: several times the
/// interval at which a process observes the time at least.
pub const MAX_GAP_MS: u64 = 600;

impl Continuity {
    /// Observes that the process runs at `now`, in milliseconds. Returns the length of the pause in
    /// milliseconds, if one has just ended.
    pub fn observe(&mut self, now: u64) -> Option<u64> {
        let gap_ms = self.observed_at.map_or(0, |at| now.saturating_sub(at));
        self.observed_at = Some(now);
        if gap_ms <= MAX_GAP_MS {
            return None;
        }
        self.resumed_at = now;
        Some(gap_ms)
    }

    /// Returns whether the process has run without a pause for `span_ms` milliseconds.
    pub fn has_run_for(&self, now: u64, span_ms: u64) -> bool {
        now >= self.resumed_at + span_ms
    }
}
