//! What batch work really does to the service; no policy sees it.

use super::*;

/// Spread of request times: standard deviation of their logarithm.
const SPREAD: f64 = 0.3;
/// Mean request time over the median, for `SPREAD`: exp(SPREAD² / 2).
pub(crate) const MEAN_OF_MEDIAN: f64 = 1.046_027_859_908_717;
/// Slowdown of requests by a worker whose slots are all in use.
const OWN_SLOWDOWN: f64 = 0.15;
/// Interference at no load, as a share of a class's slowdown.
const IDLE_SHARE: f64 = 0.6;
/// Interference added at full load.
const LOAD_SHARE: f64 = 0.8;
/// Spread of what a report says of the mean.
const REPORT_SPREAD: f64 = 0.03;

/// The hidden slowdowns.
#[derive(Clone, Debug)]
pub(crate) struct Truth {
    /// The classes.
    pub(crate) classes: Vec<Class>,
    random: Pcg64Mcg,
}

impl Truth {
    pub(crate) fn new(seed: u64) -> Self {
        let mut random = Pcg64Mcg::seed_from_u64(seed);
        Self { classes: Class::all(&mut random), random }
    }

    /// Returns how long a request takes, in milliseconds.
    pub(crate) fn request_ms(&mut self, deployment: &Deployment, vm: &Vm) -> f64 {
        let occupancy = f64::from(vm.outstanding) / f64::from(deployment::SLOTS);
        let slowdown: f64 = vm
            .pressure
            .iter()
            .zip(&self.classes)
            .map(|(share, class)| share * class.slowdown)
            .sum();
        let batch = 1.0 + slowdown * (IDLE_SHARE + LOAD_SHARE * occupancy);
        deployment.service_ms * alone(occupancy) * batch * self.scatter(SPREAD)
    }

    /// Returns what a report says of a mean, in milliseconds.
    pub(crate) fn reported_ms(&mut self, mean_ms: f64) -> f64 {
        mean_ms * self.scatter(REPORT_SPREAD)
    }

    /// Swaps the slowdowns of quiet and noisy classes.
    pub(crate) fn shift(&mut self) {
        let slowdowns: Vec<f64> = self.classes.iter().map(|class| class.slowdown).collect();
        for (class, slowdown) in self.classes.iter_mut().zip(slowdowns.iter().rev()) {
            class.slowdown = *slowdown;
        }
    }

    /// Returns a log-normal factor with median 1.
    fn scatter(&mut self, spread: f64) -> f64 {
        let radius = (-2.0 * (1.0 - self.random.random::<f64>()).ln()).sqrt();
        let angle = std::f64::consts::TAU * self.random.random::<f64>();
        (spread * radius * angle.cos()).exp()
    }
}

/// Returns the factor by which requests in progress slow each other down.
pub(crate) fn alone(occupancy: f64) -> f64 {
    1.0 + OWN_SLOWDOWN * occupancy * occupancy
}
