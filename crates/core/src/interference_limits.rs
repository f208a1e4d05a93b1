//! Slowdowns of services at which batch work is held back, throttled or evicted.

use super::*;

/// Share of the slots in use above which the limits are lowered.
const SATURATION_LOAD: f64 = 0.75;

/// Slowdown limits, as shares of the time that a request takes without batch work: 0.1 means a
/// tenth longer. They rise in the order `release`, `hold`, `throttle`, `evict`; the gaps between
/// them are the hysteresis.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields, default)]
pub struct Limits {
    /// Checkpoint and evict a run when the slowdown is above this and throttling cannot reduce it
    /// further.
    pub evict: f64,
    /// Evictions per minute and worker of the cell, in thousandths.
    pub evictions_per_minute_milli: u32,
    /// Start no task that would raise the slowdown above this.
    pub hold: f64,
    /// Lift throttles while the slowdown is below this.
    pub release: f64,
    /// Factor applied to `release`, `hold` and `throttle` when all slots are in use: a slowdown
    /// then makes requests fail, not only take longer.
    pub saturated_share: f64,
    /// Throttle runs when the slowdown is above this, until it is at most `hold`.
    pub throttle: f64,
    /// Minimum time between two changes on one worker, so that reports show the effect of the
    /// first.
    pub settle: Duration,
}

impl Limits {
    /// Returns the limits at this share of the slots in use; above `SATURATION_LOAD` they
    /// fall linearly.
    pub(super) fn at_load(&self, load: f64) -> Self {
        let saturated = ((load - SATURATION_LOAD) / (1.0 - SATURATION_LOAD)).clamp(0.0, 1.0);
        let factor = 1.0 - saturated * (1.0 - self.saturated_share);
        Self {
            hold: self.hold * factor,
            release: self.release * factor,
            throttle: self.throttle * factor,
            ..self.clone()
        }
    }
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            evict: 0.15,
            evictions_per_minute_milli: 20,
            hold: 0.08,
            release: 0.065,
            saturated_share: 0.2,
            settle: Duration::from_secs(6),
            throttle: 0.1,
        }
    }
}
