//! How much filling work of an image a cell has before it, and how fast it gets through it.

use super::*;

/// The filling work of an image in a cell, as its owner publishes it.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Throughput {
    /// Work of jobs that can still be in time, in core-milliseconds. New jobs go behind it, and before
    /// all other work.
    pub backlog: u64,
    /// Processors that the image's tasks use, and could use at workers with room for them, in thousandths
    /// of a core.
    pub milli: u64,
}

/// The measured rate of an image.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Rate {
    milli: f64,
    observations: u32,
}

/// Weight of the newest observation: rates follow the waves of the serving load, which last seconds.
const WEIGHT: f64 = 0.15;
/// Number of observations before a rate is published: a new owner learns first what runs.
const MIN_OBSERVATIONS: u32 = 6;

impl Rate {
    /// Records the processors that an image uses and could use now, in thousandths of a core.
    pub fn observe(&mut self, milli: f64) {
        let weight = if self.observations == 0 { 1.0 } else { WEIGHT };
        self.milli += (milli - self.milli) * weight;
        self.observations = self.observations.saturating_add(1);
    }

    /// Returns the rate in thousandths of a core; `None` while too little is known.
    pub fn milli(&self) -> Option<u64> {
        (self.observations >= MIN_OBSERVATIONS).then_some(self.milli as u64)
    }
}
