//! Measured use of a worker, which is reported with a delay.

use super::*;

/// Interval between two measurements.
pub(crate) const INTERVAL: Duration = Duration::from_millis(500);

/// Measures the use of a worker and reports it with a delay.
#[derive(Debug)]
pub(crate) struct Meter {
    /// Measurements in order: the one to report now, then those younger than `lag`. Until the first
    /// has this age, there is none to report.
    history: VecDeque<(Instant, protocol::Usage)>,
    /// Minimum age of a reported measurement.
    lag: Duration,
    /// When the next measurement is due.
    next: Instant,
    services: BTreeMap<Name, RequestMeter>,
}

/// Requests of one service since the last measurement.
#[derive(Debug, Default)]
struct RequestMeter {
    /// Requests in progress now.
    in_progress: u32,
    completed: u64,
    /// Time of the completed requests, summed up.
    total_time: Duration,
}

impl Meter {
    pub(crate) fn start_request(&mut self, service: &Name) {
        self.services.entry(service.clone()).or_default().in_progress += 1;
    }

    pub(crate) fn end_request(&mut self, service: &Name, duration: Duration) {
        let service = self.services.entry(service.clone()).or_default();
        service.in_progress = service.in_progress.saturating_sub(1);
        service.completed += 1;
        service.total_time += duration;
    }

    /// Returns whether a measurement is due.
    pub(crate) fn is_due(&self, now: Instant) -> bool {
        now >= self.next
    }

    pub(crate) fn measure(&mut self, now: Instant, runs: Vec<protocol::RunUsage>) {
        let total = runs.iter().fold(Resources::default(), |sum, run| sum + run.resources);
        let services = self.services.iter_mut().map(RequestMeter::take_measurement).collect();
        self.history.push_back((now, protocol::Usage { runs, services, total }));
        self.next = now + INTERVAL;
    }

    pub(crate) fn new(now: Instant, lag: Duration) -> Self {
        Self { history: VecDeque::new(), lag, next: now, services: BTreeMap::new() }
    }

    /// Returns the age in milliseconds and the values of the newest measurement that is at least
    /// `lag` old; empty ones if there is none yet.
    pub(crate) fn delayed_usage(&mut self, now: Instant) -> (u64, protocol::Usage) {
        while self.history.get(1).is_some_and(|(at, _)| *at + self.lag <= now) {
            self.history.pop_front();
        }
        match self.history.front().filter(|(at, _)| *at + self.lag <= now) {
            Some((at, usage)) => (now.duration_since(*at).as_millis() as u64, usage.clone()),
            None => (self.lag.as_millis() as u64, protocol::Usage::default()),
        }
    }
}

impl RequestMeter {
    /// Returns the measurement since the last one and starts the next.
    fn take_measurement((name, service): (&Name, &mut Self)) -> protocol::ServiceUsage {
        let seconds = service.total_time.as_secs_f64();
        let requests = std::mem::take(&mut service.completed);
        service.total_time = Duration::ZERO;
        let in_progress = f64::from(service.in_progress);
        protocol::ServiceUsage {
            load: in_progress.max(seconds / INTERVAL.as_secs_f64()),
            mean_ms: seconds * 1_000.0 / requests.max(1) as f64,
            requests,
            service: name.clone(),
        }
    }
}
