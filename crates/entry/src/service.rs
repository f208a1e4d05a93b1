//! One urgent service, as this entry serves it.

use super::*;

/// Requests that may be in progress for each slot: some wait for their body or between attempts.
const REQUESTS_PER_SLOT: u32 = 2;

/// One urgent service, as this entry serves it.
#[derive(Debug)]
pub(crate) struct Service {
    /// As configured.
    pub(crate) config: config::Service,
    /// What decides on its requests; shared with the service's earlier configurations.
    pub(crate) state: Arc<State>,
}

/// What decides on a service's requests.
#[derive(Debug)]
pub(crate) struct State {
    pub(crate) budget: Mutex<retry::Budget>,
    pub(crate) limiter: Mutex<admission::Limiter>,
    pub(crate) table: Mutex<route::Table>,
}

impl Service {
    /// Makes the service for an entry in `zone`; `seed` feeds its sampling.
    pub(crate) fn new(config: config::Service, zone: &Name, seed: u64) -> Self {
        let limiter = admission::Limiter::new(config.caller_concurrency, 1, seed);
        let state = State {
            budget: Mutex::new(retry::Budget::new(seed)),
            limiter: Mutex::new(limiter),
            table: Mutex::new(route::Table::new(zone.clone(), seed)),
        };
        Self { config, state: Arc::new(state) }
    }

    /// Returns the service under a new configuration, with its state.
    pub(crate) fn revise(&self, config: config::Service) -> Self {
        Self { config, state: self.state.clone() }
    }

    /// Takes the endpoints in force.
    pub(crate) fn apply(&self, now: Instant, endpoints: &[route::Endpoint]) {
        let slots: u32 = endpoints.iter().map(|endpoint| endpoint.slots).sum();
        lock(&self.state.limiter)
            .reconfigure(self.config.caller_concurrency, slots.saturating_mul(REQUESTS_PER_SLOT));
        lock(&self.state.table).apply(now, endpoints);
    }

    /// Returns how long the head of an answer may take before its connection counts as silent.
    pub(crate) fn silence_limit(&self) -> Duration {
        pool::SILENCE_LIMIT.max(Duration::from_millis(self.config.objective.latency_ms))
    }
}
