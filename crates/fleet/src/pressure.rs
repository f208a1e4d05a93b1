//! Estimates how much filling tasks raise the tail latency of serving tasks on the same worker, by
//! pair of images. In typical mixes a few pairs are very harmful and most are harmless, so the
//! pair matters and not the number of tasks.
//!
//! Contention is how busy the resources are that a serving task shares, from 0 to 1: the sum of its
//! own load and the pressure of filling tasks.

use super::*;

/// The contention that filling images add to serving images, estimated from measured tail
/// latencies less the load of the serving task's job.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct Pressure {
    /// By serving image, then by filling image.
    pairs: BTreeMap<String, BTreeMap<String, Pair>>,
}

/// The estimate for one pair of images.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Serialize)]
struct Pair {
    /// The contention added when the filling image uses all processors of a worker; above zero.
    level: f64,
    /// The amount of evidence, as the inverse of the level's variance, with decay.
    weight: f64,
}

/// Tail latency without load relative to the target: targets are 4.5 times the idle latency.
const IDLE_TAIL: f64 = 1.0 / 4.5;
/// Contention at which a tail latency is at its target.
pub(crate) const TARGET_CONTENTION: f64 = 1.0 - IDLE_TAIL;
/// Mean contention caused by a serving task's own load.
pub(crate) const MEAN_LOAD: f64 = 0.42;
/// The highest contention by a serving task's own load.
pub(crate) const MAX_LOAD: f64 = 0.66;
/// Level assumed for a pair without measurements: between harmless and very harmful pairs.
const DEFAULT_LEVEL: f64 = 0.5;
/// Weight of the assumed level: it may be off by two.
const DEFAULT_WEIGHT: f64 = 0.25;
/// Contention from which tail latencies saturate and give only a lower bound.
pub(crate) const SATURATION: f64 = 0.9;
/// Range of levels: below it all pairs are harmless, above it all are equally harmful.
const LEVEL_RANGE: (f64, f64) = (0.02, 6.0);
/// Smallest share of a worker used by an image at which a measurement counts for it: less is lost in
/// the noise.
const MIN_SHARE: f64 = 0.02;
/// The most evidence kept for a pair: levels change within seconds, and the errors of measurements
/// have a common part.
const MAX_WEIGHT: f64 = 25.0;
/// Factor by which weights decay per second, since pairs change over time.
const WEIGHT_DECAY_PER_S: f64 = 0.96;
/// Maximum size of all pairs as they are written. They have to fit into a value of the store.
const MAX_BYTES: usize = 512 << 10;
/// What is written beside the name of an image, in bytes.
const FIGURES_BYTES: usize = 64;
/// Levels and weights are stored with a precision of one thousandth.
const ROUNDING: f64 = 1_000.0;

/// Returns the contention for a tail latency given relative to its target: as in a queue, the tail
/// is proportional to the inverse of the spare capacity.
pub(crate) fn contention(tail_ratio: f64) -> f64 {
    1.0 - IDLE_TAIL / tail_ratio.max(IDLE_TAIL)
}

/// Returns the most bytes in which an image is written with its figures. Characters of its name may be escaped.
pub(crate) fn image_bytes(image: &str) -> usize {
    2 * image.len() + FIGURES_BYTES
}

impl Pressure {
    /// Updates the estimates from the contention that filling images add for a serving image while
    /// they use these shares of the worker's processors. Images that are less well known take more of
    /// the error.
    pub fn observe(&mut self, serving: &str, added: load::Added, shares: &[(&str, f64)]) {
        if shares.is_empty() {
            return;
        }
        let pairs = self.pairs.entry(serving.into()).or_default();
        let mut expected = 0.0;
        let mut total_variance = added.variance;
        for (image, share) in shares {
            let pair = pairs.entry((*image).into()).or_default();
            expected += pair.level * share;
            total_variance += share * share * pair.variance();
        }
        let error = added.level - expected;
        for (image, share) in shares.iter().filter(|(_, share)| share.abs() >= MIN_SHARE) {
            let Some(pair) = pairs.get_mut(*image) else { continue };
            let gain = share * pair.variance() / total_variance;
            pair.level = (pair.level + gain * error).clamp(LEVEL_RANGE.0, LEVEL_RANGE.1);
            pair.weight = (pair.weight + share * share / added.variance).min(MAX_WEIGHT);
        }
    }

    /// Returns the contention that filling images are expected to add for a serving image while they
    /// use these shares of the worker's processors, and its variance.
    pub fn added(&self, serving: &str, shares: &[(&str, f64)]) -> (f64, f64) {
        let pairs = self.pairs.get(serving);
        let of =
            |image: &str| pairs.and_then(|pairs| pairs.get(image)).copied().unwrap_or_default();
        shares.iter().fold((0.0, 0.0), |(added, variance), (image, share)| {
            let pair = of(image);
            (added + pair.level * share, variance + share * share * pair.variance())
        })
    }

    /// Decays the weight of the evidence by `seconds`, and drops the pairs with the least of it beyond `MAX_BYTES`.
    pub fn decay(&mut self, seconds: f64) {
        let kept = WEIGHT_DECAY_PER_S.powf(seconds);
        self.pairs.values_mut().flat_map(BTreeMap::values_mut).for_each(|pair| pair.weight *= kept);
        self.prune();
    }

    /// Drops the pairs with the least evidence until the others fit into `MAX_BYTES`.
    fn prune(&mut self) {
        let of_pair = |(filling, _): (&String, &Pair)| image_bytes(filling);
        let of_serving = |(serving, pairs): (&String, &BTreeMap<String, Pair>)| {
            image_bytes(serving) + pairs.iter().map(of_pair).sum::<usize>()
        };
        let mut bytes: usize = self.pairs.iter().map(of_serving).sum();
        if bytes <= MAX_BYTES {
            return;
        }
        let mut pairs: Vec<(f64, String, String)> = Vec::new();
        for (serving, fillings) in &self.pairs {
            let of =
                |(filling, pair): (&String, &Pair)| (pair.weight, serving.clone(), filling.clone());
            pairs.extend(fillings.iter().map(of));
        }
        pairs.sort_by(|a, b| a.0.total_cmp(&b.0));
        for (_, serving, filling) in pairs {
            if bytes <= MAX_BYTES {
                return;
            }
            let Some(fillings) = self.pairs.get_mut(&serving) else { continue };
            fillings.remove(&filling);
            bytes -= image_bytes(&filling);
            if fillings.is_empty() {
                self.pairs.remove(&serving);
                bytes -= image_bytes(&serving);
            }
        }
    }

    /// Merges the estimates of another owner.
    pub fn merge(&mut self, other: &Self) {
        for (serving, theirs) in &other.pairs {
            let pairs = self.pairs.entry(serving.clone()).or_default();
            for (filling, theirs) in theirs {
                pairs.entry(filling.clone()).or_default().merge(theirs);
            }
        }
    }

    /// Returns the contention that `filling` adds for `serving` when it uses a whole worker.
    pub fn level(&self, serving: &str, filling: &str) -> f64 {
        let pair = self.pairs.get(serving).and_then(|pairs| pairs.get(filling));
        pair.map_or(DEFAULT_LEVEL, |pair| pair.level)
    }

    /// Returns the estimates rounded for the store.
    pub fn rounded(&self) -> Self {
        let round = |value: f64| (value * ROUNDING).round() / ROUNDING;
        let mut rounded = self.clone();
        for pair in rounded.pairs.values_mut().flat_map(BTreeMap::values_mut) {
            *pair = Pair { level: round(pair.level), weight: round(pair.weight) };
        }
        rounded
    }

    /// Returns whether there are no estimates.
    pub fn is_empty(&self) -> bool {
        self.pairs.is_empty()
    }

    /// Returns how similarly filling images affect two serving images, from 0 to 1: the cosine
    /// similarity of their levels over the filling images known for both.
    pub fn similarity(&self, left: &str, right: &str) -> f64 {
        if left == right {
            return 1.0;
        }
        let (Some(a), Some(b)) = (self.pairs.get(left), self.pairs.get(right)) else {
            return 0.0;
        };
        let both = a.iter().filter_map(|(image, pair)| Some((pair.level, b.get(image)?.level)));
        let (mut dot, mut lengths) = (0.0, (0.0, 0.0));
        for (x, y) in both {
            dot += x * y;
            lengths.0 += x * x;
            lengths.1 += y * y;
        }
        let length = f64::sqrt(lengths.0 * lengths.1);
        if length > 0.0 { dot / length } else { 0.0 }
    }
}

impl Pair {
    /// Returns the variance of the level.
    fn variance(&self) -> f64 {
        1.0 / self.weight.max(DEFAULT_WEIGHT)
    }

    /// Merges another owner's estimate of the pair: the mean by weight.
    fn merge(&mut self, other: &Self) {
        let weight = self.weight + other.weight;
        if weight <= 0.0 {
            return;
        }
        let level = (self.level * self.weight + other.level * other.weight) / weight;
        *self = Self { level, weight };
    }
}

impl Default for Pair {
    fn default() -> Self {
        Self { level: DEFAULT_LEVEL, weight: DEFAULT_WEIGHT }
    }
}
