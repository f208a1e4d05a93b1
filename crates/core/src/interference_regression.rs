//! A linear regression of a service's request time on load and on the batch work of the worker, in
//! one load band.

use super::*;

/// Time after which the weight of a report has halved.
const HALF_LIFE: Duration = Duration::from_secs(240);
/// Factor applied to the weight of earlier reports after a shift.
const SHIFT_RETAINED: f64 = 0.1;
/// Cumulative sum (CUSUM) of standardised residuals beyond the allowance that counts as a shift.
const SHIFT_THRESHOLD: f64 = 16.0;
/// Residual per report, in standard deviations, that does not raise the cumulative sum.
const SHIFT_ALLOWANCE: f64 = 0.4;
/// Passes of coordinate descent for each report.
const DESCENT_PASSES: usize = 4;
/// Weight of the prior of a class's slowdown, in requests on a worker full of that class.
const CLASS_PRIOR: f64 = 6.0;
/// Weight of the prior that load does not slow requests, in requests at full load.
const LOAD_PRIOR: f64 = 2.0;
/// Column of the constant term.
const CONSTANT_COLUMN: usize = 0;
/// Column of the load.
const LOAD_COLUMN: usize = 1;
/// Column of the first class.
const FIRST_CLASS_COLUMN: usize = 2;

/// A regression with exponentially decaying sums of products and coefficients in milliseconds. The
/// time of a request is modelled as a constant, plus a coefficient times the load, plus for each
/// class a coefficient times its share of the worker's processors.
#[derive(Clone, Debug, Default)]
pub(super) struct Regression {
    coefficients: Vec<f64>,
    /// Sums of products of columns, each report weighted by its requests.
    products: Vec<Vec<f64>>,
    /// CUSUM of the residuals of the reports in which each column is positive, upwards and
    /// downwards.
    shifts: Vec<[f64; 2]>,
    /// Sums of products of columns with the request time.
    targets: Vec<f64>,
    updated: Instant,
    /// Mean of requests times squared residual, in square milliseconds.
    variance: f64,
}

impl Regression {
    /// Returns the time of a request without batch work at this load, in milliseconds, or zero
    /// before the first report.
    pub(super) fn baseline_ms(&self, load: f64) -> f64 {
        self.coefficient(CONSTANT_COLUMN) + self.coefficient(LOAD_COLUMN) * load
    }

    /// Returns the slowdown by a class that uses all processors of a worker, and the weight of the
    /// reports behind it, or zeros without data.
    pub(super) fn class_slowdown(&self, class: usize, load: f64) -> (f64, f64) {
        let column = FIRST_CLASS_COLUMN + class;
        let baseline_ms = self.baseline_ms(load);
        if baseline_ms <= 0.0 || column >= self.coefficients.len() {
            return (0.0, 0.0);
        }
        (self.coefficient(column) / baseline_ms, self.products[column][column])
    }

    /// Records a report. `priors` holds the expected slowdown of each class, by class number.
    pub(super) fn observe(&mut self, now: Instant, report: &Observation, priors: &[f64]) {
        let mut row = vec![1.0, report.load];
        row.extend_from_slice(report.shares);
        self.add_columns(row.len());
        self.decay(now);
        self.detect_shift(&row, report);
        for (i, x) in row.iter().enumerate() {
            self.targets[i] += report.requests * x * report.mean_ms;
            for (j, y) in row.iter().enumerate() {
                self.products[i][j] += report.requests * x * y;
            }
        }
        if self.coefficients[CONSTANT_COLUMN] == 0.0 {
            self.coefficients[CONSTANT_COLUMN] = report.mean_ms;
        }
        (0..DESCENT_PASSES).for_each(|_| self.solve(report.load, priors));
    }

    /// Decays the sums by the time since the last report.
    fn decay(&mut self, now: Instant) {
        let elapsed = now.since(self.updated).as_secs_f64();
        self.updated = now;
        self.scale(0.5_f64.powf(elapsed / HALF_LIFE.as_secs_f64()));
    }

    /// Tests for a shift once 100 requests are recorded, with residuals clipped at 3 standard
    /// deviations, and reduces the weight of earlier reports after one.
    fn detect_shift(&mut self, row: &[f64], report: &Observation) {
        if self.products[CONSTANT_COLUMN][CONSTANT_COLUMN] < 100.0 {
            return;
        }
        let predicted: f64 = row.iter().zip(&self.coefficients).map(|(x, c)| x * c).sum();
        let residual = report.mean_ms - predicted;
        let square = report.requests * residual * residual;
        let variance = if self.variance == 0.0 { square } else { self.variance };
        let standardised = (residual * (report.requests / variance).sqrt()).clamp(-3.0, 3.0);
        self.variance = variance + (square.min(9.0 * variance) - variance) * 0.02;
        for (sums, _) in self.shifts.iter_mut().zip(row).filter(|(_, x)| **x > 0.0) {
            sums[0] = (sums[0] + standardised - SHIFT_ALLOWANCE).max(0.0);
            sums[1] = (sums[1] - standardised - SHIFT_ALLOWANCE).max(0.0);
        }
        if self.shifts.iter().flatten().any(|sum| *sum > SHIFT_THRESHOLD) {
            self.shifts.fill([0.0; 2]);
            self.scale(SHIFT_RETAINED);
        }
    }

    fn coefficient(&self, column: usize) -> f64 {
        self.coefficients.get(column).copied().unwrap_or(0.0)
    }

    fn scale(&mut self, factor: f64) {
        self.targets.iter_mut().for_each(|target| *target *= factor);
        self.products.iter_mut().flatten().for_each(|product| *product *= factor);
    }

    /// Makes one pass of coordinate descent on the least squares with priors; no coefficient
    /// becomes negative.
    fn solve(&mut self, load: f64, priors: &[f64]) {
        let baseline_ms = self.baseline_ms(load).max(0.0);
        for column in 0..self.coefficients.len() {
            let (weight, mean) = match column {
                CONSTANT_COLUMN => (0.0, 0.0),
                LOAD_COLUMN => (LOAD_PRIOR, 0.0),
                _ => (CLASS_PRIOR, priors[column - FIRST_CLASS_COLUMN] * baseline_ms),
            };
            let products = &self.products[column];
            let explained: f64 =
                products.iter().zip(&self.coefficients).map(|(p, c)| p * c).sum::<f64>()
                    - products[column] * self.coefficients[column];
            let rest = self.targets[column] - explained + weight * mean;
            self.coefficients[column] = (rest / (products[column] + weight)).max(0.0);
        }
    }

    fn add_columns(&mut self, columns: usize) {
        self.coefficients.resize(columns, 0.0);
        self.shifts.resize(columns, [0.0; 2]);
        self.targets.resize(columns, 0.0);
        self.products.resize_with(columns, Vec::new);
        self.products.iter_mut().for_each(|row| row.resize(columns, 0.0));
    }
}

/// A report on one service of one worker.
#[derive(Clone, Copy, Debug)]
pub(super) struct Observation<'a> {
    /// Share of the slots in use, 0 to 1.
    pub(super) load: f64,
    /// Mean time of a request, in milliseconds.
    pub(super) mean_ms: f64,
    /// Number of requests behind the mean.
    pub(super) requests: f64,
    /// Share of the worker's processors in use by each class, by class number.
    pub(super) shares: &'a [f64],
}
