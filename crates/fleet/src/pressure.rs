//! Estimates how much filling tasks raise the tail latency of serving tasks on the same worker, by
//! pair of images. In typical mixes a few pairs are very harmful and most are harmless, so the
//! pair matters and not the number of tasks.
//!
//! Contention is how busy the resources are that a serving task shares, from 0 to 1: the sum of its
//! own load and the pressure of filling tasks.

use super::*;

/// The contention that filling images add to serving images, estimated from measured tail
/// latencies. A serving task's own load is only known as a range, so each measurement gives a lower
/// and an upper bound on the contention that filling tasks add. Estimates move only towards a
/// violated bound, so that pacing by the same measurements does not bias them.
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
    /// The amount of evidence, as the inverse of the level's variance, with decay. Measurements that
    /// agree with any level within the bounds are none.
    weight: f64,
}

/// A serving image and its latency target.
#[derive(Clone, Copy, Debug)]
pub struct ServingImage<'a> {
    /// The image.
    pub image: &'a str,
    /// The target for its tail latency, in milliseconds.
    pub target_ms: u64,
}

/// Tail latency without load relative to the target: targets are 4.5 times the idle latency.
const IDLE_TAIL: f64 = 1.0 / 4.5;
/// Contention at which a tail latency is at its target.
pub(crate) const TARGET_CONTENTION: f64 = 1.0 - IDLE_TAIL;
/// Mean contention caused by a serving task's own load.
pub(crate) const MEAN_LOAD: f64 = 0.42;
/// Range of the contention caused by a serving task's own load, including measurement noise.
pub(crate) const LOAD_RANGE: (f64, f64) = (0.18, 0.66);
/// Level assumed for a pair without measurements: between harmless and very harmful pairs.
const DEFAULT_LEVEL: f64 = 0.5;
/// Weight of the assumed level: it may be off by two.
const DEFAULT_WEIGHT: f64 = 0.25;
/// Variance of the change of contention between two measurements without a change in what fills:
/// from their noise, and from the serving task's own load.
const CHANGE_VARIANCE: f64 = 0.01;
/// Contention from which tail latencies saturate and give only a lower bound.
pub(crate) const SATURATION: f64 = 0.9;
/// Learning rate: the exponent applied to the ratio between a violated bound and the estimate.
const LEARNING_RATE: f64 = 0.4;
/// Range of levels: below it all pairs are harmless, above it all are equally harmful.
const LEVEL_RANGE: (f64, f64) = (0.02, 6.0);
/// Smallest share of a worker used by filling tasks at which a measurement counts.
const MIN_SHARE: f64 = 0.02;
/// Factor by which weights decay per second, since pairs change over time.
const WEIGHT_DECAY_PER_S: f64 = 0.96;
/// Levels and weights are stored with a precision of one thousandth.
const ROUNDING: f64 = 1_000.0;

/// Returns the contention for a tail latency given relative to its target: as in a queue, the tail
/// is proportional to the inverse of the spare capacity.
pub(crate) fn contention(tail_ratio: f64) -> f64 {
    1.0 - IDLE_TAIL / tail_ratio.max(IDLE_TAIL)
}

impl Pressure {
    /// Updates the estimates from the tail latency of a serving task while filling images use these
    /// shares of the worker's processors.
    pub fn observe(&mut self, serving: ServingImage, tail_ms: f64, shares: &[(&str, f64)]) {
        let in_use: f64 = shares.iter().map(|(_, share)| share).sum();
        if in_use < MIN_SHARE || serving.target_ms == 0 {
            return;
        }
        let measured = contention(tail_ms / serving.target_ms as f64);
        let lower_bound = measured - LOAD_RANGE.1;
        let upper_bound =
            if measured < SATURATION { measured - LOAD_RANGE.0 } else { f64::INFINITY };
        let pairs = self.pairs.entry(serving.image.into()).or_default();
        for (image, _) in shares {
            pairs.entry((*image).into()).or_default();
        }
        let added = |(image, share): &(&str, f64)| pairs[*image].level * share;
        let sum: f64 = shares.iter().map(added).sum();
        let violated_bound = if sum < lower_bound {
            lower_bound
        } else if sum > upper_bound {
            upper_bound
        } else {
            return;
        };
        let ratio = violated_bound.max(MIN_SHARE * LEVEL_RANGE.0) / sum;
        for (image, share) in shares {
            let Some(pair) = pairs.get_mut(*image) else { continue };
            let part = pair.level * share / sum;
            pair.weight += share;
            pair.level =
                (pair.level * ratio.powf(LEARNING_RATE * part)).clamp(LEVEL_RANGE.0, LEVEL_RANGE.1);
        }
    }

    /// Updates the estimates from a change of the contention of a serving task between two
    /// measurements, while the filling images' shares of the worker's processors changed by these
    /// amounts because runs began or ended. The task's own load hardly changes in between, so one
    /// start shows a very harmful pair before its load peaks. Changes of pace must be left out: they
    /// follow the load.
    pub fn observe_change(&mut self, serving: &str, change: f64, share_changes: &[(&str, f64)]) {
        let pairs = self.pairs.entry(serving.into()).or_default();
        let mut expected = 0.0;
        let mut variance = CHANGE_VARIANCE;
        for (image, share) in share_changes {
            let pair = pairs.entry((*image).into()).or_default();
            expected += pair.level * share;
            variance += share * share / pair.weight.max(DEFAULT_WEIGHT);
        }
        let error = change - expected;
        for (image, share) in share_changes {
            let Some(pair) = pairs.get_mut(*image) else { continue };
            let gain = share / pair.weight.max(DEFAULT_WEIGHT) / variance;
            pair.level = (pair.level + gain * error).clamp(LEVEL_RANGE.0, LEVEL_RANGE.1);
            pair.weight += share * share / CHANGE_VARIANCE;
        }
    }

    /// Decays the weight of the evidence by `seconds`.
    pub fn decay(&mut self, seconds: f64) {
        let kept = WEIGHT_DECAY_PER_S.powf(seconds);
        self.pairs.values_mut().flat_map(BTreeMap::values_mut).for_each(|pair| pair.weight *= kept);
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
