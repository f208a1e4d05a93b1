//! Slowdowns of services at which batch work gives way.

use super::*;

/// Share of the slots in use above which limits fall.
const SATURATION: f64 = 0.75;

/// Slowdowns are shares of a request's time alone: 0.1 means a tenth longer. Rising in this order:
/// `release`, `hold`, `throttle`, `evict`; the gaps between them are the hysteresis.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields, default)]
pub struct Limits {
    /// Checkpoint and evict when throttling can't bring the slowdown below this.
    pub evict: f64,
    /// Evictions a minute for each worker of the cell, in thousandths.
    pub evictions_per_minute_milli: u32,
    /// Add no task that would bring the slowdown above this.
    pub hold: f64,
    /// Lift throttles while the slowdown stays below this.
    pub release: f64,
    /// Share of `release`, `hold` and `throttle` that is left when all slots are in use: then each
    /// slowdown costs answers, not only latency.
    pub saturated_share: f64,
    /// Throttle above this, down to `hold`.
    pub throttle: f64,
    /// Time between two changes on one worker, so that reports can show what the first did.
    pub settle: Duration,
}

impl Limits {
    /// Returns the limits for this share of the slots in use. They fall from `SATURATION` on.
    pub(super) fn at(&self, load: f64) -> Self {
        let saturated = ((load - SATURATION) / (1.0 - SATURATION)).clamp(0.0, 1.0);
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
