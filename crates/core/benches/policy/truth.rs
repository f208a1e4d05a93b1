//! Ground truth of the interference between batch work and the service. No policy has access to it;
//! they only get the reports.

use super::*;

/// Standard deviation of the logarithm of request times.
const REQUEST_SIGMA: f64 = 0.3;
/// Mean of the request times over their median: exp(REQUEST_SIGMA² / 2).
pub(crate) const MEAN_PER_MEDIAN: f64 = 1.046_027_859_908_717;
/// Added relative latency on a worker whose slots are all in use, without batch work.
const OWN_SLOWDOWN: f64 = 0.15;
/// Interference with no slot in use, as a share of a class's slowdown.
const IDLE_SHARE: f64 = 0.6;
/// Interference added when all slots are in use, as a share of a class's slowdown.
const LOAD_SHARE: f64 = 0.8;
/// Standard deviation of the logarithm of the error of a reported mean.
const REPORT_SIGMA: f64 = 0.03;

/// The true slowdowns by batch classes.
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

    /// Returns a random time of a request on `vm` in its present state, in milliseconds.
    pub(crate) fn request_ms(&mut self, deployment: &Deployment, vm: &Vm) -> f64 {
        let occupancy = f64::from(vm.outstanding) / f64::from(deployment::SLOTS);
        let slowdown: f64 = vm
            .class_utilisation
            .iter()
            .zip(&self.classes)
            .map(|(share, class)| share * class.slowdown)
            .sum();
        let batch = 1.0 + slowdown * (IDLE_SHARE + LOAD_SHARE * occupancy);
        deployment.service_ms * own_slowdown(occupancy) * batch * self.log_normal(REQUEST_SIGMA)
    }

    /// Returns a mean with the random error of a report, in milliseconds.
    pub(crate) fn reported_ms(&mut self, mean_ms: f64) -> f64 {
        mean_ms * self.log_normal(REPORT_SIGMA)
    }

    /// Reverses the order of the slowdowns, so that quiet classes become noisy and vice versa.
    pub(crate) fn shift(&mut self) {
        let slowdowns: Vec<f64> = self.classes.iter().map(|class| class.slowdown).collect();
        for (class, slowdown) in self.classes.iter_mut().zip(slowdowns.iter().rev()) {
            class.slowdown = *slowdown;
        }
    }

    /// Returns a log-normal factor with median 1; `sigma` is the standard deviation of its logarithm.
    fn log_normal(&mut self, sigma: f64) -> f64 {
        let radius = (-2.0 * (1.0 - self.random.random::<f64>()).ln()).sqrt();
        let angle = std::f64::consts::TAU * self.random.random::<f64>();
        (sigma * radius * angle.cos()).exp()
    }
}

/// Returns the factor by which requests in progress slow each other down.
pub(crate) fn own_slowdown(occupancy: f64) -> f64 {
    1.0 + OWN_SLOWDOWN * occupancy * occupancy
}
