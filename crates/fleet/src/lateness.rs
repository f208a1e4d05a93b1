//! The expected lateness of a job. In a burst beyond capacity, serving jobs in the order of arrival
//! would make all of them late, so jobs that can still meet their objective go first.

use super::*;

/// The expected lateness of a job, in the order of placement.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum Lateness {
    /// It can still meet its latency objective.
    InTime,
    /// It will be late.
    Late,
    /// It is so late that its result is of no value to its caller.
    Overdue,
}

/// Shortest duration of a task relative to its estimate, in percent: estimates are off by up to a
/// half.
const MIN_ESTIMATE_PERCENT: u64 = 60;
/// Multiple of its objective after which a job is overdue: a later result has no value to callers.
const OVERDUE_FACTOR: u64 = 3;

impl Lateness {
    /// Returns the expected lateness of a job at `unix`, in milliseconds since 1970.
    pub fn of(job: &Job, unix: u64) -> Self {
        if job.is_lasting() || job.record.submission.is_timed() {
            return Self::InTime;
        }
        let critical_path = job.critical_path_ms(|_| true);
        let left = job.critical_path_ms(|stage| stage.remaining > 0) * MIN_ESTIMATE_PERCENT / 100;
        let objective = (critical_path as f64 * job.queue.stretch) as u64 + job.queue.objective_ms;
        let age = unix.saturating_sub(job.accepted_at_ms);
        if age + left <= objective {
            return Self::InTime;
        }
        if age + left <= objective * OVERDUE_FACTOR { Self::Late } else { Self::Overdue }
    }
}
