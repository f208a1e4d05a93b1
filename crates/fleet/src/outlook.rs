//! What a waiting job can still be worth to its caller. Answers bursts of more work than there is
//! room for: in the order of arrival every job would be late, so those that can still be in time go
//! first.

use super::*;

/// What a job can still be worth, best first.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum Outlook {
    /// It can be done within its latency objective.
    InTime,
    /// It will be late.
    Late,
    /// It is so late that its caller has given up on it.
    Overdue,
}

/// What tasks take of their estimates at the least, in percent: estimates are off by up to a half.
const LEAST_OF_ESTIMATE: u64 = 60;
/// Objectives after which a job is overdue: callers value nothing that comes later.
const OVERDUE_OBJECTIVES: u64 = 3;

impl Outlook {
    /// Returns the outlook of a job at a time in milliseconds since 1970.
    pub fn of(job: &Job, unix: u64) -> Self {
        if job.is_lasting() || job.record.submission.is_timed() {
            return Self::InTime;
        }
        let whole = job.chain_ms(|_| true);
        let left = job.chain_ms(|stage| stage.left > 0) * LEAST_OF_ESTIMATE / 100;
        let objective = (whole as f64 * job.queue.stretch) as u64 + job.queue.objective_ms;
        let age = unix.saturating_sub(job.accepted_at_ms);
        if age + left <= objective {
            return Self::InTime;
        }
        if age + left <= objective * OVERDUE_OBJECTIVES { Self::Late } else { Self::Overdue }
    }
}
