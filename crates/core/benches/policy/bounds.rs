//! Bounds that the results of the policy must stay within.

use super::*;
use std::fmt::{self, Display, Formatter};

/// Maximum ratio of the urgent p99 to that of no sharing, in every scenario except overload.
const MAX_P99_RATIO: f64 = 1.10;
/// Minimum ratio of the requests answered in time to the capacity, in overload.
const MIN_IN_TIME_SHARE: f64 = 0.95;
/// Maximum time to a refusal in overload, in milliseconds.
const MAX_REFUSAL_MS: f64 = 10.0;
/// Minimum ratio of the finished batch work to that of blind sharing, in the calm scenario.
const MIN_BATCH_RATIO_TO_BLIND: f64 = 0.85;
/// Minimum ratio of the finished batch work to that of no sharing, in the calm scenario.
const MIN_BATCH_RATIO_TO_NONE: f64 = 1.5;
/// Maximum ratio of the evictions to those of the fixed threshold, in the noisy wave.
const MAX_EVICTION_RATIO: f64 = 1.0 / 3.0;

/// Results of all checks.
#[derive(Debug, Default)]
pub(crate) struct Bounds {
    lines: Vec<Line>,
}

/// Result of one check.
#[derive(Debug)]
struct Line {
    held: bool,
    text: String,
}

impl Bounds {
    /// Compares the figures of the policy with those of the baselines.
    pub(crate) fn check(results: &[Figures]) -> Self {
        let mut bounds = Self::default();
        let ours = results.iter().filter(|figures| figures.policy == Policy::Ours);
        for ours in ours {
            let other = |policy| {
                results.iter().find(|figures| {
                    figures.policy == policy
                        && figures.scenario == ours.scenario
                        && figures.deployment == ours.deployment
                })
            };
            bounds.check_latency(ours, other(Policy::None));
            bounds.check_batch(ours, other(Policy::Blind), other(Policy::None));
            bounds.check_evictions(ours, other(Policy::Fixed));
            bounds.check_overload(ours);
        }
        bounds
    }

    /// Returns how many bounds are broken.
    pub(crate) fn broken(&self) -> usize {
        self.lines.iter().filter(|line| !line.held).count()
    }

    fn check_batch(&mut self, ours: &Figures, blind: Option<&Figures>, none: Option<&Figures>) {
        if ours.scenario != Scenario::Calm {
            return;
        }
        if let Some(blind) = blind {
            let ratio = ours.batch_core_hours / blind.batch_core_hours;
            self.at_least(ours, "batch of blind sharing's", ratio, MIN_BATCH_RATIO_TO_BLIND);
        }
        if let Some(none) = none {
            let ratio = ours.batch_core_hours / none.batch_core_hours;
            self.at_least(ours, "batch of no sharing's", ratio, MIN_BATCH_RATIO_TO_NONE);
        }
    }

    fn check_evictions(&mut self, ours: &Figures, fixed: Option<&Figures>) {
        let (Scenario::NoisyWave, Some(fixed)) = (ours.scenario, fixed) else { return };
        let allowed = fixed.evictions as f64 * MAX_EVICTION_RATIO;
        self.at_most(
            ours,
            "evictions of a third of the fixed threshold's",
            ours.evictions as f64,
            allowed,
        );
    }

    fn check_latency(&mut self, ours: &Figures, none: Option<&Figures>) {
        let Some(none) = none.filter(|_| ours.scenario != Scenario::Overload) else { return };
        let ratio = ours.quantile_ms(0.99) / none.quantile_ms(0.99);
        self.at_most(ours, "p99 of no sharing's", ratio, MAX_P99_RATIO);
    }

    fn check_overload(&mut self, ours: &Figures) {
        if ours.scenario != Scenario::Overload {
            return;
        }
        let deployment =
            Deployment::ALL.into_iter().find(|deployment| deployment.name == ours.deployment);
        let Some(deployment) = deployment else { return };
        let peak_capacity = deployment.capacity_rate() * Scenario::peak_seconds();
        let share = ours.in_time_at_peak as f64 / peak_capacity;
        self.at_least(ours, "answered in time of the capacity", share, MIN_IN_TIME_SHARE);
        self.at_most(ours, "milliseconds to a refusal", ours.refused_ms, MAX_REFUSAL_MS);
    }

    fn at_least(&mut self, ours: &Figures, what: &str, value: f64, bound: f64) {
        self.push(ours, what, value, ">=", bound, value >= bound);
    }

    fn at_most(&mut self, ours: &Figures, what: &str, value: f64, bound: f64) {
        self.push(ours, what, value, "<=", bound, value <= bound);
    }

    fn push(&mut self, ours: &Figures, what: &str, value: f64, sign: &str, bound: f64, held: bool) {
        let verdict = if held { "held" } else { "BROKEN" };
        let (deployment, scenario) = (ours.deployment, ours.scenario.name());
        let text =
            format!("{verdict:<6} {deployment} {scenario}: {what} {value:.3} {sign} {bound:.3}");
        self.lines.push(Line { held, text });
    }
}

impl Display for Bounds {
    fn fmt(&self, f: &mut Formatter) -> fmt::Result {
        self.lines.iter().try_for_each(|line| writeln!(f, "{}", line.text))?;
        let broken = self.broken();
        writeln!(f, "bounds: {} held, {broken} broken", self.lines.len() - broken)
    }
}
