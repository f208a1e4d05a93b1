//! What a decision cost.

use super::*;
use std::fmt::{self, Display, Formatter};

/// What a decision cost at one number of workers.
#[derive(Clone, Debug)]
pub(crate) struct Measure {
    pub(crate) decision: &'static str,
    /// Candidates examined by all decisions.
    pub(crate) examined: u64,
    pub(crate) number: u64,
    pub(crate) took: Duration,
    pub(crate) workers: usize,
}

impl Measure {
    /// Heads the columns of `Display`.
    pub(crate) const HEADER: &'static str =
        "decision             workers examined_each nanoseconds_each";

    /// Returns candidates examined by one decision.
    pub(crate) fn examined_each(&self) -> f64 {
        self.examined as f64 / self.number as f64
    }
}

impl Display for Measure {
    fn fmt(&self, f: &mut Formatter) -> fmt::Result {
        let nanoseconds = self.took.as_nanos() as f64 / self.number as f64;
        let (decision, workers, examined) = (self.decision, self.workers, self.examined_each());
        write!(f, "{decision:<20} {workers:>7} {examined:>13.2} {nanoseconds:>16.0}")
    }
}
