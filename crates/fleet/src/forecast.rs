//! When workers will have room, and how long jobs will take: from estimates and from how far these were off
//! so far in the same queue.

use super::*;

/// How long runs take compared with their estimates, by queue.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Forecast {
    ratios: BTreeMap<String, f64>,
    /// How long steps take, by queue.
    steps: BTreeMap<String, Fit>,
}

/// Weight of the newest run in a queue's ratio.
const RATIO_WEIGHT: f64 = 0.05;
/// Range of the ratio that one run may show: a stuck or lost run says nothing of others.
const RATIO_RANGE: (f64, f64) = (0.2, 5.0);
/// The remaining time of a run that takes longer than expected, as a share of its expected time.
const LATE_SHARE: f64 = 0.25;

impl Forecast {
    /// Records how long a run that ended as done took.
    pub fn observe(&mut self, queue: &str, estimate_ms: u64, took_ms: u64) {
        let shown = took_ms as f64 / estimate_ms.max(1) as f64;
        let shown = shown.clamp(RATIO_RANGE.0, RATIO_RANGE.1);
        match self.ratios.get_mut(queue) {
            Some(ratio) => *ratio += (shown - *ratio) * RATIO_WEIGHT,
            None => drop(self.ratios.insert(queue.to_owned(), shown)),
        }
    }

    /// Records the longest run of a step.
    pub fn observe_step(&mut self, queue: &str, estimate_ms: u64, took_ms: u64) {
        match self.steps.get_mut(queue) {
            Some(fit) => fit.observe(estimate_ms, took_ms),
            None => drop(self.steps.insert(queue.to_owned(), Fit::new(estimate_ms))),
        }
    }

    /// Returns how long the steps of each queue take.
    pub fn steps(&self) -> &BTreeMap<String, Fit> {
        &self.steps
    }

    /// Returns how long a step is expected to take, in milliseconds.
    pub fn step_ms(&self, queue: &str, estimate_ms: u64) -> u64 {
        self.steps.get(queue).map_or(estimate_ms, |fit| fit.expected_ms(estimate_ms))
    }

    /// Returns how long a run is expected to take, in milliseconds.
    pub fn duration_ms(&self, queue: &str, estimate_ms: u64) -> u64 {
        (estimate_ms as f64 * self.ratios.get(queue).copied().unwrap_or(1.0)) as u64
    }

    /// Returns the expected end of a run, in milliseconds; `None` for a lasting one.
    pub fn end(&self, now: u64, queue: &str, run: &Run) -> Option<u64> {
        if run.step.lasting {
            return None;
        }
        let duration_ms = self.duration_ms(queue, run.step.estimate_ms);
        let end = run.started + duration_ms;
        Some(end.max(now + (duration_ms as f64 * LATE_SHARE) as u64))
    }
}
