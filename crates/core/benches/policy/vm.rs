//! A fake worker's VM.

use super::*;

/// Whether a VM works.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Health {
    /// It refuses connections and fails every task soon after its start.
    Failing,
    Good,
    /// It answers nothing.
    Lost,
}

/// A fake worker's VM.
#[derive(Clone, Debug)]
pub(crate) struct Vm {
    /// Whether batch tasks may run here.
    pub(crate) batch: bool,
    pub(crate) health: Health,
    pub(crate) name: Name,
    /// Requests in progress, never above the slots.
    pub(crate) outstanding: u32,
    /// Share of the processors in use by each class.
    pub(crate) pressure: Vec<f64>,
    pub(crate) rack: usize,
    /// Whether it hosts the service.
    pub(crate) urgent: bool,
    /// Units that run here.
    pub(crate) units: BTreeSet<usize>,
    pub(crate) window: Window,
    pub(crate) zone: usize,
}

/// What a worker measures until its next report.
#[derive(Clone, Debug, Default)]
pub(crate) struct Window {
    /// Integral of requests in progress over time, in request-seconds.
    busy: f64,
    ended: u64,
    since: Instant,
    sum_ms: f64,
    updated: Instant,
}

impl Vm {
    /// Takes in that a request begins.
    pub(crate) fn begin(&mut self, now: Instant) {
        self.window.advance(now, self.outstanding);
        self.outstanding += 1;
        assert!(self.outstanding <= deployment::SLOTS, "more requests than slots");
    }

    /// Takes in that a request ends, after `latency` where it was answered.
    pub(crate) fn end(&mut self, now: Instant, latency_ms: Option<f64>) {
        self.window.advance(now, self.outstanding);
        self.outstanding -= 1;
        if let Some(latency) = latency_ms {
            self.window.ended += 1;
            self.window.sum_ms += latency;
        }
    }

    /// Returns the load and the mean time of a request since the last call, with their number.
    pub(crate) fn measure(&mut self, now: Instant) -> (f64, f64, u64) {
        self.window.advance(now, self.outstanding);
        let window = std::mem::take(&mut self.window);
        self.window.since = now;
        self.window.updated = now;
        let seconds = now.since(window.since).as_secs_f64().max(1e-6);
        (window.busy / seconds, window.sum_ms / window.ended.max(1) as f64, window.ended)
    }
}

impl Window {
    fn advance(&mut self, now: Instant, outstanding: u32) {
        self.busy += now.since(self.updated).as_secs_f64() * f64::from(outstanding);
        self.updated = now;
    }
}
