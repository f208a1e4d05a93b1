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

/// Shortest duration of a step that reserves processors relative to the expected one, in percent: its job
/// would lose the room that was kept for it to jobs that came later.
const MIN_RESERVED_PERCENT: u64 = 60;
/// Multiple of its objective after which a job is overdue: a later result has no value to callers.
const OVERDUE_FACTOR: u64 = 3;

impl Lateness {
    /// Returns the expected lateness of a job at `unix`, in milliseconds since 1970.
    pub fn of(job: &Job, unix: u64, forecast: &Forecast) -> Self {
        if job.is_lasting() || job.record.submission.is_timed() {
            return Self::InTime;
        }
        let stage_ms =
            |stage: &job::Stage| forecast.step_ms(&job.queue.name, stage.step.estimate_ms);
        let left_ms = |stage: &job::Stage| match stage.remaining {
            0 => 0,
            _ if stage.step.fills => stage_ms(stage),
            _ => stage_ms(stage) * MIN_RESERVED_PERCENT / 100,
        };
        let left = job.critical_path_ms(left_ms);
        let objective = job.queue.latency_objective_ms(job.critical_path_ms(stage_ms));
        let age = unix.saturating_sub(job.accepted_at_ms);
        let done_at = age.saturating_add(left);
        if done_at <= objective {
            return Self::InTime;
        }
        let is_late = done_at <= objective.saturating_mul(OVERDUE_FACTOR);
        if is_late { Self::Late } else { Self::Overdue }
    }
}
