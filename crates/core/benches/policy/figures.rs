//! Results of a trial.

use super::*;
use std::fmt::{self, Display, Formatter};

/// Highest latency recorded, in microseconds; longer ones count as this.
const MAX_LATENCY_US: u64 = 60_000_000;

/// Results of a trial, measured after its warm-up.
#[derive(Clone, Debug)]
pub(crate) struct Figures {
    /// Requests answered.
    pub(crate) answered: u64,
    /// Requests that arrived.
    pub(crate) arrived: u64,
    /// Attempts of requests.
    pub(crate) attempts: u64,
    /// Work of tasks that finished, in core-hours.
    pub(crate) batch_core_hours: f64,
    pub(crate) deployment: &'static str,
    pub(crate) evictions: u64,
    /// Failed runs.
    pub(crate) failures: u64,
    /// Tasks abandoned although they could run.
    pub(crate) tasks_wrongly_failed: u64,
    /// Requests answered within the objective's latency.
    pub(crate) in_time: u64,
    /// Requests that arrived at the peak load and were answered in time.
    pub(crate) in_time_at_peak: u64,
    /// Latency of answered requests, in microseconds.
    pub(crate) latency: Histogram<u64>,
    /// Work of the noisy classes, in core-hours: submitted, finished.
    pub(crate) noisy_core_hours: [f64; 2],
    pub(crate) policy: Policy,
    pub(crate) refused: u64,
    /// Longest time to a refusal, in milliseconds.
    pub(crate) refused_ms: f64,
    pub(crate) scenario: Scenario,
    /// Work lost by interrupted runs, in core-hours.
    pub(crate) wasted_core_hours: f64,
}

impl Figures {
    /// Column headings of `Display`.
    pub(crate) const HEADER: &'static str = "deployment scenario             policy          \
        p50_ms p99_ms p99.9_ms in_time refused refuse_ms attempts batch_core_h noisy_done evictions thrown_core_h failures wronged";

    pub(crate) fn new(trial: &Trial) -> Self {
        Self {
            answered: 0,
            arrived: 0,
            attempts: 0,
            batch_core_hours: 0.0,
            deployment: trial.deployment.name,
            evictions: 0,
            failures: 0,
            tasks_wrongly_failed: 0,
            in_time: 0,
            in_time_at_peak: 0,
            latency: Histogram::new_with_bounds(1, MAX_LATENCY_US, 3).expect("valid bounds"),
            noisy_core_hours: [0.0; 2],
            policy: trial.policy,
            refused: 0,
            refused_ms: 0.0,
            scenario: trial.scenario,
            wasted_core_hours: 0.0,
        }
    }

    /// Returns a quantile of the latency of answered requests, in milliseconds.
    pub(crate) fn quantile_ms(&self, quantile: f64) -> f64 {
        self.latency.value_at_quantile(quantile) as f64 / 1_000.0
    }
}

impl Display for Figures {
    fn fmt(&self, f: &mut Formatter) -> fmt::Result {
        let arrived = self.arrived.max(1) as f64;
        write!(
            f,
            "{:<10} {:<20} {:<15} {:>6.1} {:>6.1} {:>8.1} {:>7.4} {:>7.4} {:>9.2} {:>8.4} {:>12.2} {:>10.3} {:>9} {:>13.2} {:>8} {:>7}",
            self.deployment,
            self.scenario.name(),
            self.policy.name(),
            self.quantile_ms(0.5),
            self.quantile_ms(0.99),
            self.quantile_ms(0.999),
            self.in_time as f64 / arrived,
            self.refused as f64 / arrived,
            self.refused_ms,
            self.attempts as f64 / arrived,
            self.batch_core_hours,
            self.noisy_core_hours[1] / self.noisy_core_hours[0].max(f64::MIN_POSITIVE),
            self.evictions,
            self.wasted_core_hours,
            self.failures,
            self.tasks_wrongly_failed,
        )
    }
}
