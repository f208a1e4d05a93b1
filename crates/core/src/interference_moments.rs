//! A regression of a service's request time on the batch work beside it, in one load band.

use super::*;

/// Time after which a report counts half.
const HALF_LIFE: Duration = Duration::from_secs(240);
/// What the past counts after a shift.
const SHIFT_KEEP: f64 = 0.1;
/// Sum of standardised residuals beyond the allowance that counts as a shift.
const SHIFT_LIMIT: f64 = 16.0;
/// Residual, in standard deviations, that a shift is not suspected for.
const SHIFT_ALLOWANCE: f64 = 0.4;
/// Passes of coordinate descent a report.
const PASSES: usize = 4;
/// Weight of the prior of a class's slowdown, in requests beside a worker full of the class.
const CLASS_PRIOR: f64 = 6.0;
/// Weight of the prior that load alone doesn't slow requests, in requests at full load.
const LOAD_PRIOR: f64 = 2.0;
/// Column of the constant term.
const CONSTANT: usize = 0;
/// Column of the load.
const LOAD: usize = 1;
/// Column of the first class.
const CLASSES: usize = 2;

/// Aged sums of products, and the coefficients that follow from them, in milliseconds. The time of
/// a request is taken as constant + load + the sum over classes of coefficient times share of the
/// worker's processors.
#[derive(Clone, Debug, Default)]
pub(super) struct Moments {
    coefficients: Vec<f64>,
    /// Sums of products of columns, each report weighted by its requests.
    products: Vec<Vec<f64>>,
    /// Cumulative residuals of reports that show each column, above and below the allowance.
    shifts: Vec<[f64; 2]>,
    /// Sums of products of columns with the request time.
    targets: Vec<f64>,
    updated: Instant,
    /// Mean of requests times squared residual, in square milliseconds.
    variance: f64,
}

impl Moments {
    /// Returns the time of a request without batch work at this load, in milliseconds, or zero
    /// before the first report.
    pub(super) fn alone(&self, load: f64) -> f64 {
        self.coefficient(CONSTANT) + self.coefficient(LOAD) * load
    }

    /// Returns the slowdown by a worker full of `class` and the weight of its evidence.
    pub(super) fn class(&self, class: usize, load: f64) -> (f64, f64) {
        let column = CLASSES + class;
        let alone = self.alone(load);
        if alone <= 0.0 || column >= self.coefficients.len() {
            return (0.0, 0.0);
        }
        (self.coefficient(column) / alone, self.products[column][column])
    }

    /// Takes in a mean of `requests` times in milliseconds. `shares` holds the share of the
    /// processors of each class, by class number; `priors` the slowdown expected of each.
    pub(super) fn observe(&mut self, now: Instant, report: &Observation, priors: &[f64]) {
        let mut row = vec![1.0, report.load];
        row.extend_from_slice(report.shares);
        self.widen(row.len());
        self.age(now);
        self.check_shift(&row, report);
        for (i, x) in row.iter().enumerate() {
            self.targets[i] += report.requests * x * report.mean_ms;
            for (j, y) in row.iter().enumerate() {
                self.products[i][j] += report.requests * x * y;
            }
        }
        if self.coefficients[CONSTANT] == 0.0 {
            self.coefficients[CONSTANT] = report.mean_ms;
        }
        (0..PASSES).for_each(|_| self.solve(report.load, priors));
    }

    fn age(&mut self, now: Instant) {
        let elapsed = now.since(self.updated).as_secs_f64();
        self.updated = now;
        self.scale(0.5_f64.powf(elapsed / HALF_LIFE.as_secs_f64()));
    }

    fn check_shift(&mut self, row: &[f64], report: &Observation) {
        if self.products[CONSTANT][CONSTANT] < 100.0 {
            return;
        }
        let predicted: f64 = row.iter().zip(&self.coefficients).map(|(x, c)| x * c).sum();
        let residual = report.mean_ms - predicted;
        let square = report.requests * residual * residual;
        let known = if self.variance == 0.0 { square } else { self.variance };
        let standardised = (residual * (report.requests / known).sqrt()).clamp(-3.0, 3.0);
        self.variance = known + (square.min(9.0 * known) - known) * 0.02;
        for (sums, _) in self.shifts.iter_mut().zip(row).filter(|(_, x)| **x > 0.0) {
            sums[0] = (sums[0] + standardised - SHIFT_ALLOWANCE).max(0.0);
            sums[1] = (sums[1] - standardised - SHIFT_ALLOWANCE).max(0.0);
        }
        if self.shifts.iter().flatten().any(|sum| *sum > SHIFT_LIMIT) {
            self.shifts.fill([0.0; 2]);
            self.scale(SHIFT_KEEP);
        }
    }

    fn coefficient(&self, column: usize) -> f64 {
        self.coefficients.get(column).copied().unwrap_or(0.0)
    }

    fn scale(&mut self, factor: f64) {
        self.targets.iter_mut().for_each(|target| *target *= factor);
        self.products.iter_mut().flatten().for_each(|product| *product *= factor);
    }

    /// Makes one pass of coordinate descent on the least squares with priors.
    fn solve(&mut self, load: f64, priors: &[f64]) {
        let alone = self.alone(load).max(0.0);
        for column in 0..self.coefficients.len() {
            let (weight, mean) = match column {
                CONSTANT => (0.0, 0.0),
                LOAD => (LOAD_PRIOR, 0.0),
                _ => (CLASS_PRIOR, priors[column - CLASSES] * alone),
            };
            let products = &self.products[column];
            let explained: f64 =
                products.iter().zip(&self.coefficients).map(|(p, c)| p * c).sum::<f64>()
                    - products[column] * self.coefficients[column];
            let rest = self.targets[column] - explained + weight * mean;
            self.coefficients[column] = (rest / (products[column] + weight)).max(0.0);
        }
    }

    fn widen(&mut self, columns: usize) {
        self.coefficients.resize(columns, 0.0);
        self.shifts.resize(columns, [0.0; 2]);
        self.targets.resize(columns, 0.0);
        self.products.resize_with(columns, Vec::new);
        self.products.iter_mut().for_each(|row| row.resize(columns, 0.0));
    }
}

/// One report on one service.
#[derive(Clone, Copy, Debug)]
pub(super) struct Observation<'a> {
    /// Share of the slots in use, 0 to 1.
    pub(super) load: f64,
    /// Mean time of a request, in milliseconds.
    pub(super) mean_ms: f64,
    /// Requests that the mean is of.
    pub(super) requests: f64,
    /// Share of the worker's processors in use by each class, by class number.
    pub(super) shares: &'a [f64],
}
