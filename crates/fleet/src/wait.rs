//! Why lasting tasks wait that have run before, or whose start is planned, for the decision log.

use {super::*, action::Report, census::Census};

/// How long a job has had such tasks, and what was last reported of them.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Wait {
    /// Since when, in milliseconds.
    since: u64,
    /// The cause last reported.
    reported: Option<Cause>,
}

/// What keeps a task from being placed or, once it is, from being ordered.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Cause {
    /// A worker takes it in the next placement pass.
    Due,
    /// The worker that it is placed at has started again, and does not reject orders for its last life yet.
    Life,
    /// The task is on its way to another cell.
    Moving,
    /// The store has not recorded its start yet.
    Record,
    /// No worker has room for it.
    Room,
    /// The workers with room hold tasks that may have crashed workers, as this one may.
    Suspects,
    /// Another task of its job is tried alone, and may settle the job's fate.
    Trial,
    /// Workers that may run it for an earlier owner have not answered.
    Unanswered,
    /// Its start is planned, and the workers' entries are too old.
    View,
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
    /// Reports jobs with lasting tasks that have run and wait, or whose start is planned, each time the cause changes.
    pub(crate) fn report_waits(&mut self, clock: Clock) {
        if clock.now < self.waits_reported_at + REPORT_INTERVAL_MS {
            return;
        }
        self.waits_reported_at = clock.now;
        let lasting = self.unfinished_jobs.iter().map(|(_, _, id)| *id);
        let mut planned: BTreeMap<job::Id, Vec<task::Name>> = BTreeMap::new();
        for (_, name) in &self.planned {
            planned.entry(name.job).or_default().push(*name);
        }
        let tasks_of = |id: job::Id| {
            let job = self.jobs.get(&id).filter(|job| job.is_lasting())?;
            let mut tasks = job.restarts(id);
            tasks.extend(planned.remove(&id).unwrap_or_default());
            Some((id, tasks))
        };
        let waiting: Vec<(job::Id, Vec<task::Name>)> =
            lasting.filter_map(tasks_of).filter(|(_, tasks)| !tasks.is_empty()).collect();
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
    fn cause_of_wait(&self, clock: Clock, name: task::Name) -> Option<(Cause, Census, usize)> {
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
        let census = Census::of(&self.workers, &criteria);
        let cause = if let task::Status::Active { worker, .. } = &task.status {
            let takes_starts = self.workers.get(worker).is_some_and(Worker::takes_starts);
            match (self.view_stale, takes_starts) {
                (true, _) => Cause::View,
                (false, false) => Cause::Life,
                (false, true) => Cause::Record,
            }
        } else if job.moving_to.is_some() || job.splitting.is_some() {
            Cause::Moving
        } else if self.is_unsettled(job) {
            Cause::Unanswered
        } else if criteria.apart && self.waits_for_trial(&name) {
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
