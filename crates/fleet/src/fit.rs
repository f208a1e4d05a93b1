//! How long the steps of a queue take, given their callers' estimates. Answers this load: estimates that
//! are off by several times, so that a job taken at its word counts as late as soon as it is accepted, or
//! as in time when it has no chance. The worse the estimates of a queue, the less they count against the
//! queue's mean.

use super::*;

/// A regression of the logarithm of a step's longest run on that of its estimate.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Serialize)]
pub struct Fit {
    /// The number of steps, bounded so that older ones are forgotten.
    evidence: f64,
    /// Mean logarithm of the estimates, which are in milliseconds.
    estimate: f64,
    /// Mean logarithm of the longest runs, in milliseconds.
    took: f64,
    /// Variance of the estimates' logarithms.
    variance: f64,
    /// Covariance of both.
    covariance: f64,
}

/// Evidence of the estimates themselves before any step is over.
const PRIOR_EVIDENCE: f64 = 4.0;
/// Variance of the estimates' logarithms before any step is over: estimates and durations of a kind of job
/// differ by some half.
const PRIOR_VARIANCE: f64 = 0.3;
/// The most evidence that is kept.
const MAX_EVIDENCE: f64 = 200.0;
/// Figures are stored with a precision of one thousandth.
const ROUNDING: f64 = 1_000.0;

impl Fit {
    /// Returns the fit of a queue before any of its steps is over: steps take as long as estimated.
    pub fn new(estimate_ms: u64) -> Self {
        let estimate = log(estimate_ms);
        Self {
            evidence: PRIOR_EVIDENCE,
            estimate,
            took: estimate,
            variance: PRIOR_VARIANCE,
            covariance: PRIOR_VARIANCE,
        }
    }

    /// Records the longest run of a step.
    pub fn observe(&mut self, estimate_ms: u64, took_ms: u64) {
        self.evidence = (self.evidence + 1.0).min(MAX_EVIDENCE);
        let weight = 1.0 / self.evidence;
        let (estimate, took) = (log(estimate_ms) - self.estimate, log(took_ms) - self.took);
        self.estimate += estimate * weight;
        self.took += took * weight;
        self.variance += (estimate * estimate * (1.0 - weight) - self.variance) * weight;
        self.covariance += (estimate * took * (1.0 - weight) - self.covariance) * weight;
    }

    /// Returns how long a step is expected to take, in milliseconds.
    pub fn expected_ms(&self, estimate_ms: u64) -> u64 {
        let slope = (self.covariance / self.variance.max(f64::MIN_POSITIVE)).clamp(0.0, 1.0);
        (self.took + slope * (log(estimate_ms) - self.estimate)).exp() as u64
    }

    /// Returns the fit rounded for the store.
    pub fn rounded(&self) -> Self {
        let round = |value: f64| (value * ROUNDING).round() / ROUNDING;
        Self {
            evidence: round(self.evidence),
            estimate: round(self.estimate),
            took: round(self.took),
            variance: round(self.variance),
            covariance: round(self.covariance),
        }
    }
}

fn log(ms: u64) -> f64 {
    (ms.max(1) as f64).ln()
}
