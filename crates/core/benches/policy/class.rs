//! Batch classes.

use super::*;

/// A batch class with what only the fake knows of it.
#[derive(Clone, Debug)]
pub(crate) struct Class {
    /// Whether its tasks write checkpoints.
    pub(crate) checkpoints: bool,
    /// Share of the ordinary batch work.
    pub(crate) mix: f64,
    /// The class.
    pub(crate) name: Name,
    /// Slowdown of the service by a worker full of the class, at the reference load.
    pub(crate) slowdown: f64,
}

/// Name, share of the ordinary work, slowdown, whether it writes checkpoints.
const CLASSES: [(&str, f64, f64, bool); 6] = [
    ("archive", 0.25, 0.03, true),
    ("translate", 0.25, 0.05, false),
    ("render", 0.15, 0.12, true),
    ("linkcheck", 0.15, 0.20, false),
    ("rebuild", 0.10, 0.50, true),
    ("transcode", 0.10, 0.90, false),
];
/// The first of the noisy classes.
pub(crate) const NOISY: usize = 4;

impl Class {
    /// Returns the classes, their slowdowns varied by up to a fifth.
    pub(crate) fn all(random: &mut Pcg64Mcg) -> Vec<Self> {
        let class = |(name, mix, slowdown, checkpoints): &(&str, f64, f64, bool)| Self {
            checkpoints: *checkpoints,
            mix: *mix,
            name: super::unit::name(name),
            slowdown: slowdown * random.random_range(0.8..1.2),
        };
        CLASSES.iter().map(class).collect()
    }
}
