//! The VM of a simulated worker.

use super::*;

/// Health of a VM.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Health {
    /// It refuses connections and fails every task soon after its start.
    Failing,
    Good,
    /// It does not respond.
    Lost,
}

/// The VM of a simulated worker.
#[derive(Clone, Debug)]
pub(crate) struct Vm {
    /// Whether batch tasks may run here.
    pub(crate) batch: bool,
    pub(crate) health: Health,
    pub(crate) name: Name,
    /// Requests in progress, never above the slots.
    pub(crate) outstanding: u32,
    /// Share of the processors used by each class.
    pub(crate) class_utilisation: Vec<f64>,
    pub(crate) rack: usize,
    /// Whether it hosts the service.
    pub(crate) urgent: bool,
    /// Indices of the units that run here.
    pub(crate) units: BTreeSet<usize>,
    pub(crate) window: Window,
    pub(crate) zone: usize,
}

/// Measurements of a worker since its last report.
#[derive(Clone, Debug, Default)]
pub(crate) struct Window {
    /// Integral of requests in progress over time, in request-seconds.
    request_seconds: f64,
    /// Number of answered requests.
    ended: u64,
    /// Start of the window.
    since: Instant,
    latency_sum_ms: f64,
    updated: Instant,
}

impl Vm {
    /// Records the start of a request.
    pub(crate) fn start_request(&mut self, now: Instant) {
        self.window.advance(now, self.outstanding);
        self.outstanding += 1;
        assert!(self.outstanding <= deployment::SLOTS, "more requests than slots");
    }

    /// Records the end of a request; `latency_ms` is `None` if it was not answered.
    pub(crate) fn end_request(&mut self, now: Instant, latency_ms: Option<f64>) {
        self.window.advance(now, self.outstanding);
        self.outstanding -= 1;
        if let Some(latency) = latency_ms {
            self.window.ended += 1;
            self.window.latency_sum_ms += latency;
        }
    }

    /// Returns the mean number of requests in progress, the mean time of a request in milliseconds
    /// and the number of requests, all since the last call.
    pub(crate) fn measure(&mut self, now: Instant) -> (f64, f64, u64) {
        self.window.advance(now, self.outstanding);
        let window = std::mem::take(&mut self.window);
        self.window.since = now;
        self.window.updated = now;
        let seconds = now.since(window.since).as_secs_f64().max(1e-6);
        (
            window.request_seconds / seconds,
            window.latency_sum_ms / window.ended.max(1) as f64,
            window.ended,
        )
    }
}

impl Window {
    /// Adds the time since the last update, in which `outstanding` requests were in progress.
    fn advance(&mut self, now: Instant, outstanding: u32) {
        self.request_seconds += now.since(self.updated).as_secs_f64() * f64::from(outstanding);
        self.updated = now;
    }
}
