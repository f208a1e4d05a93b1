//! Slowdowns of services at which batch work gives way.

use super::*;

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
    /// Throttle above this, down to `hold`.
    pub throttle: f64,
    /// Time between two changes on one worker, so that reports can show what the first did.
    pub settle: Duration,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            evict: 0.15,
            evictions_per_minute_milli: 20,
            hold: 0.06,
            release: 0.05,
            settle: Duration::from_secs(6),
            throttle: 0.08,
        }
    }
}
