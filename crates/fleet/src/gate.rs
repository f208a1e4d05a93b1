//! Decides whether a job is accepted, by the time at which it would be done. Answers this load: for a while
//! more filling work of an image comes than the workers beside whose serving tasks it may run get through.
//! Accepted all the same, its jobs would be late one and all: each takes from the others, and its caller
//! learns that only from waiting.

use super::*;

/// When a job would be done.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize)]
pub struct Outlook {
    /// The expected time until it is done, in the cell that is fastest, in milliseconds.
    pub expected_ms: u64,
    /// Its latency objective, in milliseconds.
    pub objective_ms: u64,
}

/// What happens to a job.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Verdict {
    /// It is accepted.
    Accept,
    /// It is rejected, and may be in time when it is submitted again after so many milliseconds.
    Reject {
        /// The wait until then.
        retry_after_ms: u64,
    },
}

/// The images of which jobs are rejected now.
#[derive(Debug, Default)]
pub struct Gate {
    closed: BTreeSet<String>,
}

/// Expected time from which an image's jobs are rejected, in percent of the objective.
const CLOSE_PERCENT: u64 = 100;
/// Expected time up to which they are accepted again, in percent of the objective: an image doesn't change
/// sides with every job.
const OPEN_PERCENT: u64 = 80;
/// Range of the wait that callers are told, in percent of the expected one: those rejected together don't
/// return together.
const SPREAD_PERCENT: (u64, u64) = (80, 120);
/// The longest wait that callers are told, in milliseconds: forecasts further ahead are of no use.
const MAX_RETRY_AFTER_MS: u64 = 30_000;

impl Gate {
    /// Decides on a job with filling work of an image. Without an outlook it is accepted.
    pub fn decide(&mut self, id: job::Id, image: &str, outlook: Option<Outlook>) -> Verdict {
        let Some(outlook) = outlook else {
            self.closed.remove(image);
            return Verdict::Accept;
        };
        let percent = if self.closed.contains(image) { OPEN_PERCENT } else { CLOSE_PERCENT };
        let objective = outlook.objective_ms.saturating_mul(percent);
        if outlook.expected_ms.saturating_mul(100) <= objective {
            self.closed.remove(image);
            return Verdict::Accept;
        }
        self.closed.insert(image.to_owned());
        Verdict::Reject { retry_after_ms: retry_after_ms(id, outlook) }
    }
}

/// Returns the wait after which the job would be in time if nothing else came, spread by its ID.
fn retry_after_ms(id: job::Id, outlook: Outlook) -> u64 {
    let wait_ms = outlook.expected_ms.saturating_sub(outlook.objective_ms).min(MAX_RETRY_AFTER_MS);
    let (least, most) = SPREAD_PERCENT;
    let hash = xxhash_rust::xxh3::xxh3_64(id.as_str().as_bytes());
    wait_ms * (least + hash % (most - least + 1)) / 100
}
