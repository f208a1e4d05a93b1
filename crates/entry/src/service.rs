//! One urgent service, as this entry serves it.

use super::*;

/// Requests that may be in progress per slot; above 1 because some wait for their body or between
/// attempts.
const REQUESTS_PER_SLOT: u32 = 2;

/// One urgent service, as this entry serves it.
#[derive(Debug)]
pub(crate) struct Service {
    /// The configuration.
    pub(crate) config: config::Service,
    /// State shared by all configurations of the service.
    pub(crate) state: Arc<State>,
}

/// State that decides on a service's requests.
#[derive(Debug)]
pub(crate) struct State {
    pub(crate) budget: Mutex<retry::Budget>,
    pub(crate) limiter: Mutex<admission::Limiter>,
    pub(crate) table: Mutex<route::Table>,
}

impl Service {
    /// Returns the service for an entry in `zone`. `seed` seeds random choices and jitter.
    pub(crate) fn new(config: config::Service, zone: &Name, seed: u64) -> Self {
        let limiter = admission::Limiter::new(config.caller_concurrency, 1, seed);
        let state = State {
            budget: Mutex::new(retry::Budget::new(seed)),
            limiter: Mutex::new(limiter),
            table: Mutex::new(route::Table::new(zone.clone(), seed)),
        };
        Self { config, state: Arc::new(state) }
    }

    /// Returns the service with a new configuration and the same state.
    pub(crate) fn revise(&self, config: config::Service) -> Self {
        Self { config, state: self.state.clone() }
    }

    /// Applies the configured endpoints and the limits.
    pub(crate) fn apply(&self, now: Instant, endpoints: &[route::Endpoint]) {
        let slots: u32 = endpoints.iter().map(|endpoint| endpoint.slots).sum();
        lock(&self.state.limiter)
            .reconfigure(self.config.caller_concurrency, slots.saturating_mul(REQUESTS_PER_SLOT));
        lock(&self.state.table).apply(now, endpoints);
    }

    /// Returns the time after which a connection counts as silent if no response has started: the
    /// objective's latency, at least `pool::SILENCE_TIMEOUT`.
    pub(crate) fn silence_timeout(&self) -> Duration {
        pool::SILENCE_TIMEOUT.max(Duration::from_millis(self.config.objective.latency_ms))
    }
}
