//! What filling tasks do to the tails of serving ones beside them, by pair of images. Answers
//! mixes in which a few pairs are ruinous and most are harmless: the pair decides, not the number
//! of tasks.

use super::*;

/// Slowdowns learned from rough figures, as logarithms of the tail for a whole worker's
/// processors in use: for each serving image a regression on the share of the processors that each
/// filling image uses, never below zero.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct Pressure {
    /// Filling images, in the order in which they were first seen.
    filling: Vec<String>,
    served: BTreeMap<String, Moments>,
}

/// A serving image and the bound on its tail.
#[derive(Clone, Copy, Debug)]
pub struct Served<'a> {
    /// The image.
    pub image: &'a str,
    /// Its target, in milliseconds.
    pub target_ms: u64,
}

/// Sums of a regression and its solution, by number of the filling image.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
struct Moments {
    products: Vec<Vec<f64>>,
    responses: Vec<f64>,
    pairs: Vec<f64>,
}

/// A tail beside nothing that fills, as a share of its target: targets are set at a small multiple
/// of the tail alone.
const ALONE: f64 = 0.45;
/// The share of its target that a tail may take.
const AIM: f64 = 0.85;
/// Assumed of a pair that has not been seen, for a whole worker: slightly harmful.
const UNKNOWN: f64 = 1.0;
/// Evidence that the assumption counts as: polls with a tenth of a worker in use, about half a dozen.
const UNKNOWN_WEIGHT: f64 = 0.06;
/// Tails saturate: nothing is learned beyond this logarithm.
const SATURATED: f64 = 3.0;
/// What is left of evidence after a second: pairs change.
const KEPT_PER_S: f64 = 0.96;
/// Sums are stored to a thousandth: evidence of one poll weighs about ten.
const ROUNDING: f64 = 1_000.0;
/// Rounds of the solution; each refines every pair once.
const ROUNDS: usize = 12;
/// A logarithm below this for a whole worker is a serving task's own load, not pressure.
const HARMLESS: f64 = 1.5;

impl Pressure {
    /// Learns from the tail of a serving task beside filling tasks that use these shares of the worker's
    /// processors.
    pub fn observe(&mut self, served: Served, tail_ms: f64, uses: &[(&str, f64)]) {
        if uses.is_empty() || served.target_ms == 0 {
            return;
        }
        let alone = ALONE * served.target_ms as f64;
        let seen = (tail_ms / alone).max(1.0).ln().min(SATURATED);
        let uses: Vec<(usize, f64)> =
            uses.iter().map(|(image, share)| (self.number(image), *share)).collect();
        let count = self.filling.len();
        let moments = self.served.entry(served.image.into()).or_default();
        moments.grow(count);
        for (i, x) in &uses {
            moments.responses[*i] += x * seen;
            for (j, y) in &uses {
                moments.products[*i][*j] += x * y;
            }
        }
    }

    fn number(&mut self, image: &str) -> usize {
        if let Some(number) = self.filling.iter().position(|known| known == image) {
            return number;
        }
        self.filling.push(image.into());
        self.filling.len() - 1
    }

    /// Solves for the pairs, with what `others` have seen too, and lets `seconds` worth of evidence
    /// fade.
    pub fn settle(&mut self, seconds: f64, others: &Self) {
        let mut whole = self.clone();
        whole.add(others);
        whole.served.values_mut().for_each(Moments::solve);
        let kept = KEPT_PER_S.powf(seconds);
        self.served.values_mut().for_each(|moments| moments.fade(kept));
        for image in &whole.filling {
            self.number(image);
        }
        for (image, solved) in whole.served {
            let moments = self.served.entry(image).or_default();
            moments.grow(whole.filling.len());
            moments.pairs = solved.pairs;
        }
    }

    /// Adds what another owner has seen.
    pub fn add(&mut self, other: &Self) {
        let numbers: Vec<usize> = other.filling.iter().map(|image| self.number(image)).collect();
        let count = self.filling.len();
        self.served.values_mut().for_each(|moments| moments.grow(count));
        for (image, seen) in &other.served {
            let moments = self.served.entry(image.clone()).or_default();
            moments.grow(count);
            for (&i, response) in numbers.iter().zip(&seen.responses) {
                moments.responses[i] += response;
            }
            for (&i, row) in numbers.iter().zip(&seen.products) {
                for (&j, product) in numbers.iter().zip(row) {
                    moments.products[i][j] += product;
                }
            }
        }
    }

    /// Returns the logarithm by which a whole worker of `filling` raises the tail of `served`.
    pub fn pair(&self, served: &str, filling: &str) -> f64 {
        let number = self.filling.iter().position(|known| known == filling);
        let pair = number.and_then(|number| self.served.get(served)?.pairs.get(number)).copied();
        let pair = pair.unwrap_or(UNKNOWN);
        if pair < HARMLESS { 0.0 } else { pair }
    }

    /// Returns the same knowledge with rounded sums, for the store.
    pub fn rounded(&self) -> Self {
        let round = |value: &mut f64| *value = (*value * ROUNDING).round() / ROUNDING;
        let mut rounded = self.clone();
        for moments in rounded.served.values_mut() {
            moments.products.iter_mut().flatten().for_each(round);
            moments.responses.iter_mut().for_each(round);
            moments.pairs.iter_mut().for_each(round);
        }
        rounded
    }

    /// Returns whether nothing is known.
    pub fn is_empty(&self) -> bool {
        self.served.is_empty()
    }

    /// Returns the logarithm by which tails may rise.
    pub fn budget() -> f64 {
        (AIM / ALONE).ln()
    }

    /// Returns how alike two serving images are pressed, from 0 to 1.
    pub fn likeness(&self, left: &str, right: &str) -> f64 {
        if left == right {
            return 1.0;
        }
        let (Some(a), Some(b)) = (self.served.get(left), self.served.get(right)) else {
            return 0.0;
        };
        let dot: f64 = a.pairs.iter().zip(&b.pairs).map(|(x, y)| x * y).sum();
        let length = |pairs: &[f64]| pairs.iter().map(|x| x * x).sum::<f64>().sqrt();
        let lengths = length(&a.pairs) * length(&b.pairs);
        if lengths > 0.0 { dot / lengths } else { 0.0 }
    }
}

impl Moments {
    fn grow(&mut self, count: usize) {
        self.products.iter_mut().for_each(|row| row.resize(count, 0.0));
        self.products.resize_with(count, || vec![0.0; count]);
        self.responses.resize(count, 0.0);
        self.pairs.resize(count, UNKNOWN);
    }

    fn solve(&mut self) {
        for _ in 0..ROUNDS {
            for i in 0..self.pairs.len() {
                let others: f64 = (0..self.pairs.len())
                    .filter(|&j| j != i)
                    .map(|j| self.products[i][j] * self.pairs[j])
                    .sum();
                let response = self.responses[i] + UNKNOWN * UNKNOWN_WEIGHT - others;
                self.pairs[i] = (response / (self.products[i][i] + UNKNOWN_WEIGHT)).max(0.0);
            }
        }
    }

    fn fade(&mut self, kept: f64) {
        self.responses.iter_mut().for_each(|sum| *sum *= kept);
        self.products.iter_mut().flatten().for_each(|sum| *sum *= kept);
    }
}
