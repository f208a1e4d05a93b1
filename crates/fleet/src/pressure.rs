//! What filling tasks do to the tails of serving ones beside them, by pair of images. Answers
//! mixes in which a few pairs are ruinous and most are harmless: the pair decides, not the number
//! of tasks.

use super::*;

/// Slowdowns learned from rough figures, as logarithms of the tail for each core in use.
#[derive(Clone, Debug, Default)]
pub struct Pressure {
    pairs: BTreeMap<String, BTreeMap<String, f64>>,
}

/// A serving image and the bound on its tail.
#[derive(Clone, Copy, Debug)]
pub struct Served<'a> {
    /// The image.
    pub image: &'a str,
    /// Its target, in milliseconds.
    pub target_ms: u64,
}

/// A tail beside nothing that fills, as a share of its target: targets are set at a small multiple
/// of the tail alone.
const ALONE: f64 = 0.45;
/// The share of its target that a tail may take.
const AIM: f64 = 0.80;
/// Assumed of a pair that has not been seen, for each core: slightly harmful.
const UNKNOWN: f64 = 0.06;
/// The most that a pair is believed to do, for each core.
const MOST: f64 = 1.5;
/// Tails saturate: nothing is learned beyond this logarithm.
const SATURATED: f64 = 3.0;
/// How much of an error one observation corrects.
const RATE: f64 = 0.5;
/// Keeps small uses from moving an estimate far, in square cores.
const DAMPING: f64 = 0.5;

impl Pressure {
    /// Learns from the tail of a serving task beside filling tasks with these cores in use.
    pub fn observe(&mut self, served: Served, tail_ms: f64, uses: &[(&str, f64)]) {
        if uses.is_empty() || served.target_ms == 0 {
            return;
        }
        let alone = ALONE * served.target_ms as f64;
        let seen = (tail_ms / alone).max(1.0).ln().min(SATURATED);
        let expected: f64 = uses.iter().map(|(image, cores)| self.pair(served.image, image) * cores).sum();
        if seen >= SATURATED && expected >= SATURATED {
            return;
        }
        let norm: f64 = uses.iter().map(|(_, cores)| cores * cores).sum::<f64>() + DAMPING;
        let step = RATE * (seen - expected) / norm;
        for (image, cores) in uses {
            let pair = self.pair(served.image, image) + step * cores;
            let row = self.pairs.entry(served.image.into()).or_default();
            row.insert((*image).into(), pair.clamp(0.0, MOST));
        }
    }

    /// Returns the logarithm by which a core of `filling` raises the tail of `served`.
    pub fn pair(&self, served: &str, filling: &str) -> f64 {
        self.pairs.get(served).and_then(|row| row.get(filling)).copied().unwrap_or(UNKNOWN)
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
        let (Some(a), Some(b)) = (self.pairs.get(left), self.pairs.get(right)) else { return 0.0 };
        let dot: f64 = a.iter().filter_map(|(image, x)| Some(x * b.get(image)?)).sum();
        let length = |row: &BTreeMap<String, f64>| row.values().map(|x| x * x).sum::<f64>().sqrt();
        let lengths = length(a) * length(b);
        if lengths > 0.0 { dot / lengths } else { 0.0 }
    }
}
