//! Measured use of a worker, which is told late.

use super::*;

/// How often usage is measured.
pub(crate) const INTERVAL: Duration = Duration::from_millis(500);

/// Measured use of a worker, which is told late.
#[derive(Debug)]
pub(crate) struct Meter {
    /// The newest measurement that is old enough, then those that are not.
    history: VecDeque<(Instant, protocol::Usage)>,
    lag: Duration,
    next: Instant,
    services: BTreeMap<Name, Service>,
}

/// Requests of one service since the last measurement.
#[derive(Debug, Default)]
struct Service {
    /// Requests in progress.
    busy: u32,
    ended: u64,
    total: Duration,
}

impl Meter {
    pub(crate) fn begin(&mut self, service: &Name) {
        self.services.entry(service.clone()).or_default().busy += 1;
    }

    pub(crate) fn end(&mut self, service: &Name, took: Duration) {
        let service = self.services.entry(service.clone()).or_default();
        service.busy = service.busy.saturating_sub(1);
        service.ended += 1;
        service.total += took;
    }

    /// Returns whether a measurement is due.
    pub(crate) fn is_due(&self, now: Instant) -> bool {
        now >= self.next
    }

    pub(crate) fn measure(&mut self, now: Instant, runs: Vec<protocol::RunUsage>) {
        let total = runs.iter().fold(Resources::default(), |sum, run| sum + run.resources);
        let services = self.services.iter_mut().map(Service::take).collect();
        self.history.push_back((now, protocol::Usage { runs, services, total }));
        self.next = now + INTERVAL;
    }

    pub(crate) fn new(now: Instant, lag: Duration) -> Self {
        Self { history: VecDeque::new(), lag, next: now, services: BTreeMap::new() }
    }

    /// Returns the newest measurement that is old enough, and its age in milliseconds.
    pub(crate) fn told(&mut self, now: Instant) -> (u64, protocol::Usage) {
        while self.history.get(1).is_some_and(|(at, _)| *at + self.lag <= now) {
            self.history.pop_front();
        }
        match self.history.front().filter(|(at, _)| *at + self.lag <= now) {
            Some((at, usage)) => (now.duration_since(*at).as_millis() as u64, usage.clone()),
            None => (self.lag.as_millis() as u64, protocol::Usage::default()),
        }
    }
}

impl Service {
    fn take((name, service): (&Name, &mut Self)) -> protocol::ServiceUsage {
        let seconds = service.total.as_secs_f64();
        let requests = std::mem::take(&mut service.ended);
        service.total = Duration::ZERO;
        let busy = f64::from(service.busy);
        protocol::ServiceUsage {
            load: busy.max(seconds / INTERVAL.as_secs_f64()),
            mean_ms: seconds * 1_000.0 / requests.max(1) as f64,
            requests,
            service: name.clone(),
        }
    }
}
