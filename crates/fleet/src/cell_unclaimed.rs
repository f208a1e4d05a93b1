//! Holds ends, as done or failed, of jobs that the cell does not know. Once acknowledged, an end is forgotten by its worker,
//! and the cell starts the task again if it gets to know the job. Answers this load: owners whose view of the
//! records lags behind, and jobs that follow their workers into another cell.

use {super::*, action::Report};

/// Interval between reads of the tickets of jobs with unclaimed ends, in milliseconds.
const READ_INTERVAL_MS: u64 = 1_000;
/// How long an end of a job of other cells is held, in milliseconds. It holds up the acknowledgement of later
/// ones.
const MAX_HOLD_MS: u64 = 3_000;
/// A value that `Cell::durable` does not reach.
const NEVER: u64 = u64::MAX;

impl Cell {
    /// Holds an end unacknowledged until its job is known here or over, or other cells have had it for
    /// `MAX_HOLD_MS`.
    pub(crate) fn hold_unclaimed(&mut self, clock: Clock, id: &Arc<str>, end: &listing::End) {
        let Some(worker) = self.workers.get_mut(id) else { return };
        worker.unrecorded.push_back((end.number, NEVER));
        worker.unclaimed.push((clock.now, end.clone()));
        let (task, run, how) = (end.task, end.run, end.reason);
        self.report(Report::Unclaimed { task, run, worker: id.clone(), how });
        self.look_up(end.task.job);
    }

    fn look_up(&mut self, job: job::Id) {
        if self.lookups.insert(job) {
            self.actions.push(Action::Lookup(job));
        }
    }

    /// Acknowledges the ends that have been held for long, and reads the tickets of the jobs of the others again.
    pub(crate) fn look_up_unclaimed(&mut self, clock: Clock) {
        if clock.now < self.unclaimed_read_at + READ_INTERVAL_MS {
            return;
        }
        self.unclaimed_read_at = clock.now;
        let until = self.covered_until(clock);
        let is_old = |since: u64, _: &listing::End| until >= since + MAX_HOLD_MS;
        for (id, end) in self.take_unclaimed(is_old) {
            self.set_change(&id, end.number, 0);
        }
        let ends = self.workers.values().flat_map(|worker| &worker.unclaimed);
        let jobs: BTreeSet<job::Id> = ends.map(|(_, end)| end.task.job).collect();
        jobs.into_iter().for_each(|job| self.look_up(job));
    }

    /// Holds the ends of a job whose record is on its way here.
    pub(crate) fn hold_longer(&mut self, clock: Clock, job: job::Id) {
        let held = self.workers.values_mut().flat_map(|worker| &mut worker.unclaimed);
        for (since, _) in held.filter(|(_, end)| end.task.job == job) {
            *since = clock.now;
        }
    }

    /// Processes the held ends of a job that has become known.
    pub(crate) fn claim_ends(&mut self, clock: Clock, job: job::Id) {
        if !self.jobs.contains_key(&job) {
            return;
        }
        for (id, end) in self.take_unclaimed(|_, end| end.task.job == job) {
            self.process_end(clock, &id, &end, None);
            let changes = self.changes;
            self.set_change(&id, end.number, changes);
        }
    }

    /// Acknowledges the held ends of a job that is over or does not exist.
    pub(crate) fn forget_unclaimed(&mut self, job: job::Id) {
        for (id, end) in self.take_unclaimed(|_, end| end.task.job == job) {
            self.set_change(&id, end.number, 0);
        }
    }

    fn take_unclaimed(
        &mut self,
        takes: impl Fn(u64, &listing::End) -> bool,
    ) -> Vec<(Arc<str>, listing::End)> {
        let mut taken = Vec::new();
        for (id, worker) in &mut self.workers {
            let ends = worker.unclaimed.extract_if(.., |(since, end)| takes(*since, end));
            taken.extend(ends.map(|(_, end)| (id.clone(), end)));
        }
        taken
    }

    /// Sets the value that `Cell::durable` reaches once an end may be acknowledged.
    fn set_change(&mut self, id: &Arc<str>, number: u64, change: u64) {
        let Some(worker) = self.workers.get_mut(id) else { return };
        for entry in worker.unrecorded.iter_mut().filter(|(end, _)| *end == number) {
            entry.1 = change;
        }
    }
}
