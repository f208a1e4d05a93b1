//! Load of a service on a worker.

use super::*;

/// Number of load bands with separate estimates.
pub(super) const LOAD_BANDS: usize = 4;
/// How far ahead a rising load is extrapolated.
const FORECAST_HORIZON: Duration = Duration::from_secs(6);
/// Time over which load is averaged.
const SMOOTHING_TIME: Duration = Duration::from_secs(4);

/// Exponentially smoothed share of the slots in use by requests in progress, with its trend.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Load {
    /// Share of the slots, 0 to 1.
    share: f64,
    /// Change of `share` per second.
    trend: f64,
    updated: Option<Instant>,
}

impl Load {
    /// Returns the load band of a share of the slots.
    pub fn band(share: f64) -> usize {
        ((share * LOAD_BANDS as f64) as usize).min(LOAD_BANDS - 1)
    }

    /// Returns the share expected by the time that a change made now has taken effect.
    pub fn forecast(&self) -> f64 {
        let rise = self.trend.max(0.0) * FORECAST_HORIZON.as_secs_f64();
        (self.share + rise).clamp(0.0, 1.0)
    }

    /// Records a measured share.
    pub fn observe(&mut self, now: Instant, share: f64) {
        let share = share.clamp(0.0, 1.0);
        let Some(updated) = self.updated.replace(now) else {
            self.share = share;
            return;
        };
        let elapsed = now.since(updated).as_secs_f64();
        if elapsed <= 0.0 {
            return;
        }
        let gain = 1.0 - (-elapsed / SMOOTHING_TIME.as_secs_f64()).exp();
        let change = (share - self.share) * gain;
        self.share += change;
        self.trend += (change / elapsed - self.trend) * gain / 2.0;
    }
}
