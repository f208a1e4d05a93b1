//! What a cell's processors are used for, and what waits: shows whether room, contention or order binds
//! when load is at its worst.

use super::*;

/// The use of a cell at one time. Processors are in thousandths of a core.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq, Serialize)]
pub struct Usage {
    /// Lasting jobs that wait because lasting tasks hold all that they may.
    pub delayed_jobs: usize,
    /// How long the first of them has waited, in milliseconds.
    pub longest_delay_ms: u64,
    /// Those of them that a younger job has overtaken.
    pub overtaken_jobs: usize,
    /// Unfinished jobs of which a task has started, without lasting ones.
    pub begun_jobs: usize,
    /// Processors that running filling tasks ask for.
    pub filling_milli: u64,
    /// The number of running filling tasks.
    pub filling_tasks: usize,
    /// The memory that the jobs take, in bytes.
    pub held_bytes: u64,
    /// Processors that lasting tasks may hold when another one starts.
    pub lasting_limit_milli: u64,
    /// Processors that lasting tasks hold.
    pub lasting_milli: u64,
    /// Tasks of unfinished lasting jobs, without those of other cells.
    pub lasting_tasks: usize,
    /// Those of them that are at a worker.
    pub lasting_active: usize,
    /// Lasting tasks of the largest tenth of lasting jobs, by processors.
    pub largest_tasks: usize,
    /// Those of them that are at a worker.
    pub largest_active: usize,
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
/// The largest jobs are one in so many.
const LARGEST_PART: usize = 10;

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
        let mut usage = Usage {
            lasting_limit_milli: self.quota().limit_milli,
            held_bytes: self.held_bytes(),
            delayed_jobs: self.delays.len(),
            overtaken_jobs: self.delays.values().filter(|delay| delay.overtaken).count(),
            ..Usage::default()
        };
        let accepted = self.delays.keys().filter_map(|id| Some(self.jobs.get(id)?.accepted_at_ms));
        usage.longest_delay_ms = accepted.min().map_or(0, |at| clock.unix.saturating_sub(at));
        self.count_lasting(&mut usage);
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

    /// Counts the tasks of lasting jobs, and apart from all those of the largest tenth.
    fn count_lasting(&self, usage: &mut Usage) {
        let jobs = self.unfinished_jobs.iter().filter_map(|(_, _, id)| self.jobs.get(id));
        let sized = jobs.filter(|job| job.is_lasting()).map(|job| {
            let steps = job.record.submission.steps.iter();
            let milli =
                |step: &Step| step.reserved().processors_milli.saturating_mul(step.count.into());
            let size = steps.map(milli);
            (size.fold(0, u64::saturating_add), job.own_tasks().len(), job.active_tasks())
        });
        let mut sized: Vec<(u64, usize, usize)> = sized.collect();
        sized.sort_unstable_by_key(|&(size, ..)| std::cmp::Reverse(size));
        let largest = sized.len().div_ceil(LARGEST_PART);
        for (position, &(_, tasks, active)) in sized.iter().enumerate() {
            usage.lasting_tasks += tasks;
            usage.lasting_active += active;
            if position < largest {
                usage.largest_tasks += tasks;
                usage.largest_active += active;
            }
        }
    }
}
