//! Measured cost of a decision.

use super::*;
use std::fmt::{self, Display, Formatter};

/// Cost of a decision at one number of workers.
#[derive(Clone, Debug)]
pub(crate) struct Measure {
    /// Name of the decision in the output.
    pub(crate) decision: &'static str,
    /// Candidates examined by all decisions.
    pub(crate) examined: u64,
    /// Number of decisions.
    pub(crate) count: u64,
    /// Wall time of all decisions.
    pub(crate) elapsed: Duration,
    pub(crate) workers: usize,
}

impl Measure {
    /// Column headings of `Display`.
    pub(crate) const HEADER: &'static str =
        "decision             workers examined_each nanoseconds_each";

    /// Returns the mean number of candidates examined by a decision.
    pub(crate) fn examined_each(&self) -> f64 {
        self.examined as f64 / self.count as f64
    }
}

impl Display for Measure {
    fn fmt(&self, f: &mut Formatter) -> fmt::Result {
        let nanoseconds = self.elapsed.as_nanos() as f64 / self.count as f64;
        let (decision, workers, examined) = (self.decision, self.workers, self.examined_each());
        write!(f, "{decision:<20} {workers:>7} {examined:>13.2} {nanoseconds:>16.0}")
    }
}
