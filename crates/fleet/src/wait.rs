//! Why lasting tasks wait that have run before, for the decision log. They are to run again at once.

use {super::*, action::Report};

/// How long a job has had such tasks, and what was last reported of them.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Wait {
    /// Since when, in milliseconds.
    since: u64,
    /// The cause last reported.
    reported: Option<Cause>,
}

/// What keeps a task from being placed.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Cause {
    /// A worker takes it in the next placement pass.
    Due,
    /// The task is on its way to another cell.
    Moving,
    /// No worker has room for it.
    Room,
    /// The workers with room hold tasks that may have crashed workers, as this one may.
    Suspects,
    /// Another task of its job is tried alone, and may settle the job's fate.
    Trial,
    /// Workers that may run it for an earlier owner have not answered.
    Unanswered,
    /// No worker of its service gets new runs.
    Workers,
}

/// Interval between searches for tasks that wait, in milliseconds.
const REPORT_INTERVAL_MS: u64 = 1_000;
/// How long a task waits before it is reported, in milliseconds.
const REPORT_AFTER_MS: u64 = 1_000;
/// Most jobs reported in one search.
const MAX_REPORTS: usize = 32;

impl Cell {
    /// Reports jobs with lasting tasks that have run and wait, each time the cause changes.
    pub(crate) fn report_waits(&mut self, clock: Clock) {
        if clock.now < self.waits_reported_at + REPORT_INTERVAL_MS {
            return;
        }
        self.waits_reported_at = clock.now;
        let lasting = self.unfinished_jobs.iter().map(|(_, _, id)| *id);
        let waiting: Vec<(job::Id, Vec<task::Name>)> = lasting
            .filter_map(|id| Some((id, self.jobs.get(&id)?.restarts(id))))
            .filter(|(_, tasks)| !tasks.is_empty())
            .collect();
        let ids: BTreeSet<job::Id> = waiting.iter().map(|(id, _)| *id).collect();
        self.waits.retain(|id, _| ids.contains(id));
        let mut reports = 0;
        for (id, tasks) in waiting {
            let wait = *self.waits.entry(id).or_insert(Wait { since: clock.now, reported: None });
            let Some(&task) = tasks.first() else { continue };
            let waited_ms = clock.now - wait.since;
            if waited_ms < REPORT_AFTER_MS || reports >= MAX_REPORTS {
                continue;
            }
            let Some((cause, census, suspicion)) = self.cause_of_wait(clock, task) else {
                continue;
            };
            if wait.reported == Some(cause) {
                continue;
            }
            reports += 1;
            self.waits.insert(id, Wait { reported: Some(cause), ..wait });
            self.report(Report::Waiting {
                task,
                tasks: tasks.len(),
                cause,
                waited_ms,
                usable: census.usable,
                fitting: census.fitting,
                suspicion,
            });
        }
    }

    /// Returns why a task is not placed, the workers that might take it, and the crashes under it.
    fn cause_of_wait(
        &self,
        clock: Clock,
        name: task::Name,
    ) -> Option<(Cause, placement::Census, usize)> {
        let job = self.jobs.get(&name.job)?;
        let stage = job.stage(name.occurrence, name.step)?;
        let task = job.task(&name)?;
        let criteria = placement::Criteria {
            apart: self.is_kept_apart(clock.now, &stage.step, task),
            suspicion: &task.suspicion,
            now: clock.now,
            service: &job.queue.service,
            step: &stage.step,
            avoid: None,
            policy: self.policy,
            pressure: &self.pressure,
            min_pace: 0,
            placed: &cell_schedule::tasks_per_worker(stage),
            reservations: &reservation::Book::default(),
            duration_ms: None,
        };
        let census = placement::Census::of(&self.workers, &criteria);
        let cause = if job.moving_to.is_some() || job.splitting.is_some() {
            Cause::Moving
        } else if job.recovered && !self.unfenced.is_empty() {
            Cause::Unanswered
        } else if self.waits_for_trial(&name) {
            Cause::Trial
        } else if placement::choose(&self.workers, &criteria).is_some() {
            Cause::Due
        } else if census.fitting > 0 {
            Cause::Suspects
        } else if census.usable > 0 {
            Cause::Room
        } else {
            Cause::Workers
        };
        Some((cause, census, task.suspicion.level()))
    }
}
