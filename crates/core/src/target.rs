//! State of one endpoint in a routing table.

use super::*;

/// Time until a new endpoint gets its full share of requests.
pub(crate) const SLOW_START: Duration = Duration::from_secs(10);
/// Latency assumed of an endpoint before its first answer.
pub(crate) const ASSUMED_LATENCY: Duration = Duration::from_millis(50);
/// A new latency enters the moving mean with the weight of one part in this many.
const MEAN_PARTS: u64 = 8;

/// State of one endpoint in a routing table.
#[derive(Debug)]
pub(crate) struct Target {
    pub(crate) ejected: bool,
    /// Ejections since the last answer.
    pub(crate) ejections: u32,
    /// Consecutive failures.
    pub(crate) failures: u32,
    pub(crate) leaving: bool,
    /// Requests in progress, at most `slots` unless `slots` was lowered meanwhile.
    pub(crate) outstanding: u32,
    pub(crate) paused_until: Option<Instant>,
    /// Index in its zone's pool; `None` exactly when it can take no request.
    pub(crate) pool_index: Option<usize>,
    pub(crate) zone: Name,
    /// Moving mean of latency, in microseconds; `None` before the first answer.
    mean_latency_us: Option<u64>,
    /// Start of the slow start; `None` for the endpoints of the first configuration, which have no
    /// others to leave the load to.
    added_at: Option<Instant>,
    slots: u32,
}

impl Target {
    pub(crate) fn new(endpoint: &route::Endpoint, added_at: Option<Instant>) -> Self {
        Self {
            ejected: false,
            ejections: 0,
            failures: 0,
            leaving: false,
            mean_latency_us: None,
            outstanding: 0,
            paused_until: None,
            pool_index: None,
            added_at,
            slots: endpoint.slots.min(endpoint.connections),
            zone: endpoint.zone.clone(),
        }
    }

    pub(crate) fn answered(&mut self, latency: Duration) {
        self.mean_latency_us = Some(moving_mean_us(self.mean_latency_us, latency));
        self.ejections = 0;
        self.failures = 0;
    }

    /// Returns the expected latency of one more request, in microseconds: the mean, raised by the
    /// share of the slots in use. `None` before the first answer.
    pub(crate) fn estimated_latency_us(&self) -> Option<u64> {
        let slots = u64::from(self.slots.max(1));
        self.mean_latency_us.map(|mean_us| mean_us * (slots + u64::from(self.outstanding)) / slots)
    }

    pub(crate) fn reconfigure(&mut self, endpoint: &route::Endpoint) {
        self.slots = endpoint.slots.min(endpoint.connections);
    }

    /// Returns the cost of one more request here, in microseconds: outstanding requests times
    /// recent latency, raised up to tenfold during the slow start. The lowest score wins.
    pub(crate) fn score(&self, now: Instant) -> u64 {
        let mean_us = self.mean_latency_us.unwrap_or(ASSUMED_LATENCY.as_micros() as u64).max(1);
        let work_us = mean_us * u64::from(self.outstanding + 1);
        let Some(added_at) = self.added_at else { return work_us };
        let age_us = now.since(added_at).as_micros() as u64;
        let slow_start_us = SLOW_START.as_micros() as u64;
        if age_us >= slow_start_us {
            work_us
        } else {
            work_us * slow_start_us / age_us.max(slow_start_us / 10)
        }
    }

    /// Returns whether the endpoint can take one more request.
    pub(crate) fn is_available(&self, now: Instant) -> bool {
        let paused = self.paused_until.is_some_and(|until| until > now);
        !self.leaving && !paused && self.outstanding < self.slots
    }
}

/// Returns the moving mean after one more latency, in microseconds.
pub(crate) fn moving_mean_us(mean_us: Option<u64>, latency: Duration) -> u64 {
    let sample_us = latency.as_micros() as u64;
    mean_us.map_or(sample_us, |mean_us| mean_us - mean_us / MEAN_PARTS + sample_us / MEAN_PARTS)
}
