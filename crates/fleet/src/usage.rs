//! What a cell's processors are used for, and what waits: shows whether room, contention or order binds
//! when load is at its worst.

use super::*;

/// The use of a cell at one time. Processors are in thousandths of a core.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq, Serialize)]
pub struct Usage {
    /// Unfinished jobs of which a task has started, without lasting ones.
    pub begun_jobs: usize,
    /// Processors that running filling tasks ask for.
    pub filling_milli: u64,
    /// The number of running filling tasks.
    pub filling_tasks: usize,
    /// Processors that lasting tasks hold.
    pub lasting_milli: u64,
    /// Unfinished jobs that are late or overdue, without lasting ones.
    pub late_jobs: usize,
    /// Serving tasks whose smoothed tail is over its target.
    pub over_target: usize,
    /// Processors that running filling tasks ask for, each by its pace.
    pub paced_milli: u64,
    /// Processors that all running tasks reserve.
    pub reserved_milli: u64,
    /// The number of running serving tasks.
    pub serving_tasks: usize,
    /// Processors of the workers that get new runs.
    pub total_milli: u64,
    /// Tasks that could start now and that no worker of the cell can hold. They count nowhere else.
    pub unheld_tasks: usize,
    /// Unfinished jobs of which no task has started, without lasting ones.
    pub waiting_jobs: usize,
    /// Processors that filling tasks ask for which could start now and wait.
    pub waiting_filling_milli: u64,
    /// Processors that other short tasks ask for which could start now and wait.
    pub waiting_milli: u64,
    /// Processors that lasting tasks ask for which wait.
    pub waiting_lasting_milli: u64,
}

/// Interval between reports of a cell's use, in milliseconds.
const REPORT_INTERVAL_MS: u64 = 1_000;

impl Cell {
    /// Reports the use of the cell once in `REPORT_INTERVAL_MS`.
    pub(crate) fn report_usage(&mut self, clock: Clock) {
        if clock.now < self.usage_reported_at + REPORT_INTERVAL_MS {
            return;
        }
        self.usage_reported_at = clock.now;
        let usage = self.usage(clock);
        self.report(action::Report::Usage(usage));
    }

    fn usage(&self, clock: Clock) -> Usage {
        let mut usage = Usage::default();
        for worker in self.workers.values().filter(|worker| worker.is_usable(clock.now)) {
            usage.total_milli += worker.capacity().processors_milli;
            usage.reserved_milli += worker.reserved.processors_milli;
            usage.lasting_milli += worker.lasting_milli;
            usage.filling_milli += worker.filling_milli;
        }
        for run in self.workers.values().flat_map(|worker| worker.runs.values()) {
            if run.step.fills {
                let pace = u64::from(run.pace.unwrap_or(100));
                usage.filling_tasks += 1;
                usage.paced_milli += run.step.resources.processors_milli * pace / 100;
            }
            if run.step.serves() {
                usage.serving_tasks += 1;
                usage.over_target += usize::from(run.over_target_since.is_some());
            }
        }
        for (_, _, id) in &self.unfinished_jobs {
            let Some(job) = self.jobs.get(id) else { continue };
            if !job.is_lasting() {
                usage.late_jobs +=
                    usize::from(Lateness::of(job, clock.unix, &self.forecast) > Lateness::InTime);
                let count = if job.begun { &mut usage.begun_jobs } else { &mut usage.waiting_jobs };
                *count += 1;
            }
            for (occurrence, number, step) in cell_schedule::ready_stages(job, clock.unix) {
                let waiting = job.stage(occurrence, number).map_or(0, |stage| stage.waiting.len());
                if !self.holds(job, &step) {
                    usage.unheld_tasks += waiting;
                    continue;
                }
                let milli = match (step.lasting, step.fills) {
                    (true, _) => &mut usage.waiting_lasting_milli,
                    (_, true) => &mut usage.waiting_filling_milli,
                    _ => &mut usage.waiting_milli,
                };
                let asked = step.resources.processors_milli.saturating_mul(waiting as u64);
                *milli = milli.saturating_add(asked);
            }
        }
        usage
    }
}
