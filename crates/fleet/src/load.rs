//! The contention that the serving tasks of a job cause by their own load. Callers spread over a
//! job's tasks, so these loads rise and fall together, within seconds. A single measurement is noisy
//! and half a second old; those of all tasks of the job show the level of the wave and where it is
//! going, so that filling tasks give way before it peaks and start where it falls.

use super::*;

/// The load of a job's tasks: a Kalman filter of its level and slope.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Load {
    /// The time of the last observation, in milliseconds; `None` before the first one.
    at: Option<u64>,
    /// The contention caused by the load, from 0 to 1.
    level: f64,
    /// Its change per second.
    slope: f64,
    /// Its mean over the last waves.
    mean: f64,
    /// The covariance of level and slope; symmetric.
    covariance: [[f64; 2]; 2],
}

/// The contention that filling tasks add for a serving task, as measured.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Added {
    /// The contention added.
    pub level: f64,
    /// The variance of the measurement.
    pub variance: f64,
}

/// The time between the middle of a measurement's period and its arrival, in milliseconds.
const MEASUREMENT_DELAY_MS: u64 = 250;
/// Variance of the contention that one measurement shows.
const MEASUREMENT_VARIANCE: f64 = 0.0025;
/// Variance of the level before the first observation: it may be anywhere in the wave.
const START_VARIANCE: f64 = 0.0225;
/// Variance of the slope before the first observation.
const START_SLOPE_VARIANCE: f64 = 0.0125;
/// How fast the slope becomes uncertain, in its variance per second.
const SLOPE_DRIFT: f64 = 0.001;
/// How strongly a load returns to its mean, per square second: as in a wave of eleven seconds.
const RESTORING_RATE: f64 = 0.33;
/// How fast the mean follows the level, in seconds: a wave or two.
const MEAN_PERIOD_S: f64 = 10.0;
/// The points in time at which the highest load of a span is looked for.
const FORECAST_POINTS: u64 = 4;
/// The peak of a load that is not known better.
const PEAK: f64 = 0.63;
/// Standard deviations from which a measurement is left out: its worker is slow or starting.
const OUTLIER_DEVIATIONS: f64 = 4.0;

impl Default for Load {
    fn default() -> Self {
        Self {
            at: None,
            level: pressure::MEAN_LOAD,
            slope: 0.0,
            mean: pressure::MEAN_LOAD,
            covariance: [[START_VARIANCE, 0.0], [0.0, START_SLOPE_VARIANCE]],
        }
    }
}

impl Load {
    /// Updates the load from a measurement that arrived at `now`, in milliseconds, on a worker where
    /// filling tasks are expected to add `added` to the contention, with a variance. Returns the
    /// contention added as measured, given the load known before; `None` for an outlier, and for a
    /// saturated tail where saturation was expected.
    pub fn observe(
        &mut self,
        now: u64,
        contention: f64,
        added: f64,
        added_variance: f64,
    ) -> Option<Added> {
        self.advance(now.saturating_sub(MEASUREMENT_DELAY_MS));
        let [[level_variance, covariance], _] = self.covariance;
        let variance = level_variance + MEASUREMENT_VARIANCE;
        let total_variance = variance + added_variance;
        let measured = contention - self.level;
        let error = measured - added;
        let is_outlier = error * error > OUTLIER_DEVIATIONS.powi(2) * total_variance;
        let is_expected = contention >= pressure::SATURATION && error < 0.0;
        if is_outlier || is_expected {
            return None;
        }
        let gains = [level_variance / total_variance, covariance / total_variance];
        self.level = (self.level + gains[0] * error).clamp(0.0, pressure::MAX_LOAD);
        self.slope += gains[1] * error;
        let [[a, b], [_, d]] = self.covariance;
        self.covariance =
            [[a - gains[0] * a, b - gains[0] * b], [b - gains[0] * b, d - gains[1] * b]];
        Some(Added { level: measured, variance })
    }

    /// Moves the estimate forward to the time `at`, in milliseconds.
    fn advance(&mut self, at: u64) {
        let last = *self.at.get_or_insert(at);
        let seconds = at.saturating_sub(last) as f64 / 1_000.0;
        if seconds <= 0.0 {
            return;
        }
        self.at = Some(at);
        let (level, slope) = self.forecast(seconds);
        self.level = level.clamp(0.0, pressure::MAX_LOAD);
        self.slope = slope;
        self.mean += (self.level - self.mean) * (seconds / MEAN_PERIOD_S).min(1.0);
        let pull = RESTORING_RATE * seconds;
        let [[a, b], [_, d]] = self.covariance;
        let cross = b + d * seconds - pull * (a + b * seconds);
        self.covariance = [
            [a + 2.0 * b * seconds + d * seconds.powi(2), cross],
            [cross, d - 2.0 * pull * b + pull.powi(2) * a + SLOPE_DRIFT * seconds],
        ];
    }

    /// Returns level and slope after some seconds, as of a wave around the mean.
    fn forecast(&self, seconds: f64) -> (f64, f64) {
        let rate = RESTORING_RATE.sqrt();
        let (sin, cos) = (rate * seconds).sin_cos();
        let offset = self.level - self.mean;
        (self.mean + offset * cos + self.slope / rate * sin, self.slope * cos - offset * rate * sin)
    }

    /// Returns a load that stays at the present level.
    pub fn steady(&self) -> Self {
        Self { mean: self.level, slope: 0.0, ..*self }
    }

    /// Returns the highest load expected from `from` to `to`, in milliseconds. The peak is expected of
    /// an unknown load.
    pub fn highest(&self, from: u64, to: u64) -> f64 {
        let Some(known_at) = self.at else { return PEAK };
        let level_at = |point: u64| {
            let time = from + to.saturating_sub(from) * point / FORECAST_POINTS;
            self.forecast(time.saturating_sub(known_at) as f64 / 1_000.0).0
        };
        let highest = (0..=FORECAST_POINTS).map(level_at).fold(0.0, f64::max);
        highest.min(PEAK.max(self.level))
    }
}
