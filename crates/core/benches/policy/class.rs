//! Batch classes.

use super::*;

/// A batch class with its interference, which the policies don't know.
#[derive(Clone, Debug)]
pub(crate) struct Class {
    /// Whether its tasks write checkpoints.
    pub(crate) checkpoints: bool,
    /// Share of the ordinary batch work.
    pub(crate) mix: f64,
    /// Name of the class.
    pub(crate) name: Name,
    /// Added relative latency of the service on a worker whose processors are all used by the
    /// class, at a load of half the slots.
    pub(crate) slowdown: f64,
}

/// Name, share of the ordinary work, slowdown and whether it writes checkpoints, of each class.
const CLASSES: [(&str, f64, f64, bool); 6] = [
    ("archive", 0.25, 0.03, true),
    ("translate", 0.25, 0.05, false),
    ("render", 0.15, 0.12, true),
    ("linkcheck", 0.15, 0.20, false),
    ("rebuild", 0.10, 0.50, true),
    ("transcode", 0.10, 0.90, false),
];
/// Index of the first noisy class; all later ones are noisy too.
pub(crate) const NOISY: usize = 4;

impl Class {
    /// Returns the classes, each slowdown varied at random by up to a fifth.
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
