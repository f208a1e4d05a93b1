//! Leases that last longer than a new owner waits for. A worker that has started again may have carried out an order
//! for its last life, whose deadline is on the clock of that life and may ask for the longest lease. Its owner knows
//! when that lease is over and tells its successor, with the runs that the worker gets meanwhile. The successor starts
//! these tasks elsewhere once the worker has answered or that lease is over; no other job waits for it. Answers this
//! load: workers that start again and are cut off, beside an owner that is lost.

use super::*;

impl Cell {
    /// Takes over what the last owner knew of long leases.
    pub(crate) fn inherit_long_leases(&mut self) {
        let acquired_at = self.acquired_at;
        for (id, left_ms) in self.predecessor.long_leases.clone() {
            let fence = self.fence();
            let absent = || Worker { fence, is_member: false, ..Worker::new(None) };
            let worker = self.workers.entry(id.as_str().into()).or_insert_with(absent);
            worker.long_lease_until = acquired_at + left_ms;
            self.long_leases.insert(id.as_str().into());
        }
    }

    /// Notes how long the lease of a life may last that has started in this owner's time, if an order for the last life
    /// may have reached it.
    pub(crate) fn note_long_lease(&mut self, id: &Arc<str>, is_long: bool) {
        let Some(worker) = self.workers.get_mut(id) else { return };
        worker.long_lease_until = worker.lapsed_at().filter(|_| is_long).unwrap_or(0);
        match is_long {
            true => self.long_leases.insert(id.clone()),
            false => self.long_leases.remove(id),
        };
    }

    /// Records where the runs are that a worker with a long lease has listed.
    pub(crate) fn record_long_runs(&mut self, now: u64, id: &Arc<str>) {
        let longest_ms = self.limits.longest_lease_ms();
        let Some(worker) = self.workers.get(id) else { return };
        if !worker.has_long_lease(now, longest_ms) {
            return;
        }
        let born = worker.born;
        let runs: Vec<(task::Name, u32)> =
            worker.runs.iter().map(|(name, run)| (*name, run.number)).collect();
        for (name, run) in runs {
            let task = self.jobs.get_mut(&name.job).and_then(|job| job.task_mut(&name));
            let Some(task) = task else { continue };
            let active = task::Status::Active { worker: id.clone(), run };
            if task.status != active {
                continue;
            }
            let trace = || Trace { born, run, shared: false, worker: (**id).into() };
            task.trace.get_or_insert_with(trace);
            self.mark_dirty(name.job);
        }
    }

    /// Drops long leases that are over. A later owner may have renewed them.
    pub(crate) fn end_long_leases(&mut self, clock: Clock) {
        let until =
            |id: &Arc<str>| self.workers.get(id).map_or(0, |worker| worker.long_lease_until);
        let over = |id: &&Arc<str>| until(id) <= clock.now;
        let over: Vec<Arc<str>> = self.long_leases.iter().filter(over).cloned().collect();
        for id in over {
            let until = self.workers.get(&id).map_or(0, |worker| worker.long_lease_until);
            if !self.is_covered(until) {
                continue;
            }
            self.long_leases.remove(&id);
            if let Some(worker) = self.workers.get_mut(&id) {
                worker.long_lease_until = 0;
            }
            self.placement_due = true;
        }
    }

    /// Returns the workers whose leases may last longer than the next owner waits for, with how long they may last, in
    /// milliseconds.
    pub(crate) fn next_long_leases(&self, now: u64) -> BTreeMap<String, u64> {
        let longest_ms = self.limits.longest_lease_ms();
        let left_ms = |id: &Arc<str>| {
            let worker = self.workers.get(id)?;
            let is_long = worker.has_long_lease(now, longest_ms);
            is_long.then(|| ((**id).to_owned(), worker.long_lease_until - now))
        };
        self.long_leases.iter().filter_map(left_ms).collect()
    }

    /// Returns whether a worker has a long lease that the last head doesn't tell of.
    pub(crate) fn is_long_lease_untold(&self, now: u64, id: &Arc<str>) -> bool {
        let longest_ms = self.limits.longest_lease_ms();
        let Some(worker) = self.workers.get(id) else { return false };
        // An earlier life may have had one.
        let told_ms = self.head.long_leases.get(&**id).copied().unwrap_or(0);
        worker.has_long_lease(now, longest_ms) && now + told_ms < worker.long_lease_until
    }

    /// Returns whether a planned start waits for a head that tells of the long lease of its worker.
    pub(crate) fn has_untold_long_lease(&self, now: u64) -> bool {
        self.planned.iter().any(|(id, _)| self.is_long_lease_untold(now, id))
    }

    /// Returns whether a waiting task may still run where an earlier owner has started it: its worker has not told yet, and
    /// has a long lease.
    pub(crate) fn may_still_run(&self, task: &task::Task) -> bool {
        let Some(trace) = &task.trace else { return false };
        let id = trace.worker.as_str();
        self.long_leases.contains(id) && self.awaits(id)
    }

    /// Returns whether a worker has not told yet what runs there.
    fn awaits(&self, id: &str) -> bool {
        self.workers.get(id).is_some_and(|worker| !worker.has_told(self.confirmed_at))
    }

    /// Returns whether it is unknown of some tasks of a job whether orders of earlier owners still run them.
    pub(crate) fn is_unsettled(&self, job: &Job) -> bool {
        if !job.recovered || self.unfenced.is_empty() && self.long_leases.is_empty() {
            return false;
        }
        let stages = job.occurrences.iter().flat_map(|occurrence| &occurrence.stages);
        let may_run =
            |task: &task::Task| task.status == task::Status::Waiting && self.may_still_run(task);
        let awaits_any = self.long_leases.iter().any(|id| self.awaits(id));
        !self.unfenced.is_empty()
            || awaits_any && stages.flat_map(|stage| &stage.tasks).any(may_run)
    }
}
