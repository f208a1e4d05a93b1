//! Holds the ends of runs of jobs that the cell does not know. Once acknowledged, an end is forgotten by its
//! worker, and a cell that has the job would start the task again. Answers this load: workers that change cells,
//! and owners whose view of the records lags behind.

use {super::*, action::Report};

/// Interval between reads of the tickets of jobs with unclaimed ends, in milliseconds.
const READ_INTERVAL_MS: u64 = 1_000;
/// A value that `Cell::durable` does not reach.
const NEVER: u64 = u64::MAX;

impl Cell {
    /// Holds an end unacknowledged until its job is known here, is over, or its own cell has acknowledged it.
    pub(crate) fn hold_unclaimed(&mut self, id: &Arc<str>, end: &listing::End) {
        let Some(worker) = self.workers.get_mut(id) else { return };
        worker.unrecorded.push_back((end.number, NEVER));
        worker.unclaimed.push(end.clone());
        let (task, run, how) = (end.task, end.run, end.reason);
        self.report(Report::Unclaimed { task, run, worker: id.clone(), how });
        self.look_up(end.task.job);
    }

    fn look_up(&mut self, job: job::Id) {
        if self.lookups.insert(job) {
            self.actions.push(Action::Lookup(job));
        }
    }

    /// Reads the tickets of jobs with unclaimed ends again.
    pub(crate) fn look_up_unclaimed(&mut self, clock: Clock) {
        if clock.now < self.unclaimed_read_at + READ_INTERVAL_MS {
            return;
        }
        self.unclaimed_read_at = clock.now;
        let ends = self.workers.values().flat_map(|worker| &worker.unclaimed);
        let jobs: BTreeSet<job::Id> = ends.map(|end| end.task.job).collect();
        jobs.into_iter().for_each(|job| self.look_up(job));
    }

    /// Processes the held ends of a job that has become known.
    pub(crate) fn claim_ends(&mut self, clock: Clock, job: job::Id) {
        for (id, end) in self.take_unclaimed(job) {
            self.process_end(clock, &id, &end, None);
            let changes = self.changes;
            self.set_change(&id, end.number, changes);
        }
    }

    /// Acknowledges the held ends of a job that is over or does not exist.
    pub(crate) fn forget_unclaimed(&mut self, job: job::Id) {
        for (id, end) in self.take_unclaimed(job) {
            self.set_change(&id, end.number, 0);
        }
    }

    /// Drops held ends that a worker no longer lists: the owner of another cell has acknowledged them.
    pub(crate) fn forget_acknowledged(&mut self, id: &Arc<str>, listing: &Listing) {
        let Some(worker) = self.workers.get_mut(id) else { return };
        if worker.unclaimed.is_empty() || !listing.complete {
            return;
        }
        let listed = |end: &listing::End| listing.ended.iter().any(|row| row.number == end.number);
        let (held, gone): (Vec<listing::End>, _) =
            std::mem::take(&mut worker.unclaimed).into_iter().partition(listed);
        worker.unclaimed = held;
        let gone: Vec<listing::End> = gone;
        for end in gone {
            self.set_change(id, end.number, 0);
        }
    }

    fn take_unclaimed(&mut self, job: job::Id) -> Vec<(Arc<str>, listing::End)> {
        let mut taken = Vec::new();
        for (id, worker) in &mut self.workers {
            let ends = worker.unclaimed.extract_if(.., |end| end.task.job == job);
            taken.extend(ends.map(|end| (id.clone(), end)));
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
