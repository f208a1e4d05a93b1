//! What filling tasks do to the tails of serving ones beside them, by pair of images. Answers
//! mixes in which a few pairs are ruinous and most are harmless: the pair decides, not the number
//! of tasks.

use super::*;

/// Contention learned from rough figures, for a whole worker's processors in use, by serving and
/// filling image. A serving task's own load is known as a range only, so each figure bounds what
/// the filling tasks beside it add; pairs move no further than the bounds ask, and pacing by the
/// same figures does not bias them.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct Pressure {
    /// By serving image, then by filling image.
    pairs: BTreeMap<String, BTreeMap<String, Pair>>,
}

/// What is known of one pair of images.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Serialize)]
struct Pair {
    /// The contention that a whole worker of the filling image adds; above zero.
    level: f64,
    /// The evidence: shares of a worker in use, summed over figures and faded.
    weight: f64,
}

/// A serving image and the bound on its tail.
#[derive(Clone, Copy, Debug)]
pub struct Served<'a> {
    /// The image.
    pub image: &'a str,
    /// Its target, in milliseconds.
    pub target_ms: u64,
}

/// A tail without load, as a share of its target: targets are set at a small multiple of it.
const IDLE: f64 = 1.0 / 4.5;
/// The contention that a serving task's own load makes in the mean.
pub(crate) const LOAD: f64 = 0.42;
/// The least and the most of it, with the noise of figures.
pub(crate) const LOAD_RANGE: (f64, f64) = (0.18, 0.66);
/// Assumed of a pair that has not been seen, for a whole worker: between the harmless and the
/// ruinous.
const UNKNOWN: f64 = 0.5;
/// Evidence that the assumption counts as: one figure with a tenth of a worker in use.
const UNKNOWN_WEIGHT: f64 = 0.1;
/// Tails saturate: beyond this contention they only tell that there is at least as much.
const SATURATED: f64 = 0.9;
/// How far a pair moves towards what one figure asks for, as a power of the ratio.
const STEP: f64 = 0.4;
/// The range of pairs: below it they are all harmless, above it all ruinous.
const LEVELS: (f64, f64) = (0.02, 6.0);
/// The least share of a worker in use from which anything is learned.
const LEAST_USE: f64 = 0.02;
/// What is left of evidence after a second: pairs change.
const KEPT_PER_S: f64 = 0.96;
/// Figures are stored to a thousandth.
const ROUNDING: f64 = 1_000.0;

/// Returns how busy what a serving task shares is, from 0 to 1, by its tail as a share of its
/// target: tails grow as those of queues do, with the inverse of what is left.
pub(crate) fn contention(tail: f64) -> f64 {
    1.0 - IDLE / tail.max(IDLE)
}

impl Pressure {
    /// Learns from the tail of a serving task beside filling tasks that use these shares of the
    /// worker's processors.
    pub fn observe(&mut self, served: Served, tail_ms: f64, uses: &[(&str, f64)]) {
        let in_use: f64 = uses.iter().map(|(_, share)| share).sum();
        if in_use < LEAST_USE || served.target_ms == 0 {
            return;
        }
        let seen = contention(tail_ms / served.target_ms as f64);
        let least = seen - LOAD_RANGE.1;
        let most = if seen < SATURATED { seen - LOAD_RANGE.0 } else { f64::INFINITY };
        let pairs = self.pairs.entry(served.image.into()).or_default();
        for (image, share) in uses {
            let pair = pairs.entry((*image).into()).or_default();
            pair.weight += share;
        }
        let added = |(image, share): &(&str, f64)| pairs[*image].level * share;
        let sum: f64 = uses.iter().map(added).sum();
        let asked = if sum < least {
            least
        } else if sum > most {
            most
        } else {
            return;
        };
        let ratio = asked.max(LEAST_USE * LEVELS.0) / sum;
        for (image, share) in uses {
            let Some(pair) = pairs.get_mut(*image) else { continue };
            let part = pair.level * share / sum;
            pair.level = (pair.level * ratio.powf(STEP * part)).clamp(LEVELS.0, LEVELS.1);
        }
    }

    /// Lets `seconds` worth of evidence fade.
    pub fn fade(&mut self, seconds: f64) {
        let kept = KEPT_PER_S.powf(seconds);
        self.pairs.values_mut().flat_map(BTreeMap::values_mut).for_each(|pair| pair.weight *= kept);
    }

    /// Adds what another owner has seen.
    pub fn add(&mut self, other: &Self) {
        for (served, seen) in &other.pairs {
            let pairs = self.pairs.entry(served.clone()).or_default();
            for (filling, seen) in seen {
                pairs.entry(filling.clone()).or_default().add(seen);
            }
        }
    }

    /// Returns the contention that a whole worker of `filling` adds for `served`.
    pub fn pair(&self, served: &str, filling: &str) -> f64 {
        let pair = self.pairs.get(served).and_then(|pairs| pairs.get(filling));
        pair.map_or(UNKNOWN, |pair| pair.level)
    }

    /// Returns the same knowledge with rounded figures, for the store.
    pub fn rounded(&self) -> Self {
        let round = |value: f64| (value * ROUNDING).round() / ROUNDING;
        let mut rounded = self.clone();
        for pair in rounded.pairs.values_mut().flat_map(BTreeMap::values_mut) {
            *pair = Pair { level: round(pair.level), weight: round(pair.weight) };
        }
        rounded
    }

    /// Returns whether nothing is known.
    pub fn is_empty(&self) -> bool {
        self.pairs.is_empty()
    }

    /// Returns how alike two serving images are pressed, from 0 to 1.
    pub fn likeness(&self, left: &str, right: &str) -> f64 {
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
    /// Adds what another owner has seen of the pair, by weight.
    fn add(&mut self, other: &Self) {
        let weight = self.weight + other.weight;
        if weight <= 0.0 {
            return;
        }
        let level = (self.level.ln() * self.weight + other.level.ln() * other.weight) / weight;
        *self = Self { level: level.exp().clamp(LEVELS.0, LEVELS.1), weight };
    }
}

impl Default for Pair {
    fn default() -> Self {
        Self { level: UNKNOWN, weight: UNKNOWN_WEIGHT }
    }
}
