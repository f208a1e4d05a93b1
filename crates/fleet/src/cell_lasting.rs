//! Holds lasting tasks back that have never run: they keep their room for minutes, so each waits until lasting
//! tasks are below their limit, and those of younger jobs wait behind it.

use {super::*, cell_schedule::Pass};

impl Cell {
    /// Returns whether lasting tasks that reserve `milli` processors together may start for the first time, so that
    /// room is left for urgent short tasks. Otherwise none of a younger job may, whatever it needs.
    pub(crate) fn may_start_lasting(&self, milli: u64, pass: &mut Pass) -> bool {
        if pass.lasting_closed {
            return false;
        }
        let allowed = pass.quota.get_or_insert_with(|| self.quota()).allows(milli);
        pass.lasting_closed = !allowed && self.policy.turns;
        allowed
    }

    /// Returns what lasting tasks hold of the cell, and what they may hold. While workers don't answer, what they
    /// have is not there for others, and their tasks may need room elsewhere; so do those that wait to run again.
    pub(crate) fn quota(&self) -> Quota {
        let mut quota = Quota::default();
        for worker in self.workers.values().filter(|worker| !worker.evacuated) {
            quota.held_milli += worker.lasting_milli;
            quota.reserved_milli += worker.reserved.processors_milli;
            if worker.fenced && worker.missed_polls == 0 && worker.accepts_runs() {
                quota.total_milli += worker.capacity().processors_milli;
            }
        }
        let restarts = self.restarts_milli();
        quota.held_milli = quota.held_milli.saturating_add(restarts);
        quota.reserved_milli = quota.reserved_milli.saturating_add(restarts);
        quota.limit_milli = match self.policy.headroom {
            true => self.headroom.lasting_limit(quota.total_milli),
            false => quota.total_milli * headroom::BASE_PERCENT / 100,
        };
        quota
    }

    /// Returns what lasting tasks reserve that wait to run again, in thousandths of a core.
    fn restarts_milli(&self) -> u64 {
        let jobs = self.unfinished_jobs.iter().filter_map(|(_, _, id)| self.jobs.get(id));
        let mut restarts_milli: u64 = 0;
        for job in jobs.filter(|job| job.is_lasting() && job.may_have_begun()) {
            let stages = job.occurrences.first().into_iter().flat_map(|first| &first.stages);
            for stage in stages.filter(|stage| stage.step.lasting && !stage.waiting.is_empty()) {
                let restarts = stage.waiting.iter().filter(|&&index| !stage.is_unstarted(index));
                let milli = stage.step.reserved().processors_milli;
                let wanted = milli.saturating_mul(restarts.count() as u64);
                if wanted > 0 && self.holds(job, &stage.step) {
                    restarts_milli = restarts_milli.saturating_add(wanted);
                }
            }
        }
        restarts_milli
    }

    /// Reserves a worker for a lasting task that fits nowhere now: otherwise smaller ones would take each gap that comes
    /// free. The limit of lasting tasks has to allow a first start. Short tasks are kept out only where they hold the
    /// room that it needs.
    pub(crate) fn reserve_for_lasting(
        &mut self,
        clock: Clock,
        id: job::Id,
        step_number: u16,
        pass: &mut Pass,
    ) {
        let Some(job) = self.jobs.get(&id) else { return };
        let Some(stage) = job.stage(0, step_number) else { return };
        let step = stage.step.clone();
        let Some(index) = stage.to_place(pass.restarts).next() else { return };
        let Some(task) = stage.tasks.get(usize::from(index)) else { return };
        if !pass.restarts && !self.may_start_lasting(step.reserved().processors_milli, pass) {
            return self.note_delay(clock, id);
        }
        if !pass.restarts {
            self.delays.remove(&id);
        }
        if !self.policy.turns || pass.reservations.is_full_for_lasting() {
            return;
        }
        let placed = cell_schedule::tasks_per_worker(stage);
        let criteria = placement::Criteria {
            apart: self.is_kept_apart(clock.now, &step, task),
            suspicion: &task.suspicion,
            now: clock.now,
            service: &job.queue.service,
            step: &step,
            avoid: None,
            policy: self.policy,
            pressure: &self.pressure,
            min_pace: 0,
            placed: &placed,
            reservations: &pass.reservations,
            duration_ms: None,
        };
        let ends = |worker: &Worker| self.expected_ends(clock.now, worker);
        let found = placement::reserve(&self.workers, &criteria, ends)
            .or_else(|| placement::reserve_for_lasting(&self.workers, &criteria));
        if let Some((worker, reservation)) = found {
            let ready_at = Some(reservation.ready_at).filter(|&at| at < u64::MAX);
            pass.reservations.insert_for_lasting(worker.clone(), reservation);
            self.note_reserved(clock, id, worker, ready_at);
        }
    }
}
