//! One endpoint as a routing table sees it.

use super::*;

/// How long a new endpoint takes to get its full share.
pub(crate) const SLOW_START: Duration = Duration::from_secs(10);
/// Latency that an endpoint is taken to have before it has answered.
pub(crate) const ASSUMED_LATENCY: Duration = Duration::from_millis(50);
/// Weight of a new latency in the moving mean, as one part in this many.
const MEAN_PARTS: u64 = 8;

/// One endpoint as a routing table sees it.
#[derive(Debug)]
pub(crate) struct Target {
    pub(crate) ejected: bool,
    /// Ejections in a row, without an answer between them.
    pub(crate) ejections: u32,
    /// Failures in a row.
    pub(crate) failures: u32,
    pub(crate) leaving: bool,
    /// Requests in progress, at most `slots` unless `slots` was lowered meanwhile.
    pub(crate) outstanding: u32,
    pub(crate) paused_until: Option<Instant>,
    /// Place in its zone's pool; `None` exactly when it takes nothing.
    pub(crate) position: Option<usize>,
    pub(crate) zone: Name,
    /// Moving mean of latency, in microseconds.
    mean: Option<u64>,
    /// When it was first listed beside others; `None` for those of the first list.
    since: Option<Instant>,
    slots: u32,
}

impl Target {
    pub(crate) fn new(endpoint: &route::Endpoint, since: Option<Instant>) -> Self {
        Self {
            ejected: false,
            ejections: 0,
            failures: 0,
            leaving: false,
            mean: None,
            outstanding: 0,
            paused_until: None,
            position: None,
            since,
            slots: endpoint.slots.min(endpoint.connections),
            zone: endpoint.zone.clone(),
        }
    }

    pub(crate) fn answered(&mut self, latency: Duration) {
        self.mean = Some(moving_mean(self.mean, latency));
        self.ejections = 0;
        self.failures = 0;
    }

    /// Expected latency of one more request, in microseconds; `None` before the first answer.
    pub(crate) fn estimate_micros(&self) -> Option<u64> {
        let slots = u64::from(self.slots.max(1));
        self.mean.map(|mean| mean * (slots + u64::from(self.outstanding)) / slots)
    }

    pub(crate) fn revise(&mut self, endpoint: &route::Endpoint) {
        self.slots = endpoint.slots.min(endpoint.connections);
    }

    /// Expected time of one more request, in microseconds: outstanding work times recent latency,
    /// raised while the endpoint is new.
    pub(crate) fn score(&self, now: Instant) -> u64 {
        let mean = self.mean.unwrap_or(ASSUMED_LATENCY.as_micros() as u64).max(1);
        let work = mean * u64::from(self.outstanding + 1);
        let Some(since) = self.since else { return work };
        let age = now.since(since).as_micros() as u64;
        let full = SLOW_START.as_micros() as u64;
        if age >= full { work } else { work * full / age.max(full / 10) }
    }

    pub(crate) fn takes(&self, now: Instant) -> bool {
        let paused = self.paused_until.is_some_and(|until| until > now);
        !self.leaving && !paused && self.outstanding < self.slots
    }
}

/// Returns the mean after one more latency, in microseconds.
pub(crate) fn moving_mean(mean: Option<u64>, latency: Duration) -> u64 {
    let sample = latency.as_micros() as u64;
    mean.map_or(sample, |mean| mean - mean / MEAN_PARTS + sample / MEAN_PARTS)
}
