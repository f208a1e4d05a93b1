//! Sends starts, stops and polls to workers, handles their answers and releases runs that are known
//! to be over.

use {
    super::*,
    action::{Proof, Report, StopReason, WorkerState},
    event::Refusal,
    run::Phase,
    task::Status,
};

/// How long an unanswered start is sent again before a stop order blocks it, in milliseconds: long
/// enough to recover a lost answer, short compared with a task. A worker that drains by now, or may
/// drain, gets the stop at once.
const START_RETRY_WINDOW_MS: u64 = 600;

impl Cell {
    /// Orders the start of a run of a waiting task.
    pub(crate) fn start(&mut self, clock: Clock, id: &Arc<str>, name: task::Name, run: u32) {
        let Some(job) = self.jobs.get_mut(&name.job) else { return };
        let recovered = job.recovered;
        let first_start = !std::mem::replace(&mut job.begun, true);
        let Some(stage) = job.stage_mut(name.occurrence, name.step) else { return };
        let step = stage.step.clone();
        stage.waiting.remove(&name.index);
        // The members of a gang start together, so that one waits for the record of another.
        let suspects = stage.tasks.iter().map(|task| task.suspicion.level());
        let gang_level = suspects.max().filter(|_| step.gang).unwrap_or(0);
        let Some(task) = stage.tasks.get_mut(usize::from(name.index)) else { return };
        let Some(worker) = self.workers.get_mut(id) else { return };
        self.unlisted.remove(&(id.clone(), name));
        let unstarted = step.lasting && !task.has_run();
        task.last_run = run;
        task.status = Status::Active { worker: id.clone(), run };
        let suspicion = task.suspicion.level();
        let level = suspicion.max(gang_level);
        let has_long_lease = worker.has_long_lease(clock.now, self.limits.longest_lease_ms());
        let traced = recovered || level > 0 || has_long_lease;
        let born = worker.born;
        task.trace = traced.then(|| Trace { born, run, shared: false, worker: (**id).into() });
        task.ready_since = None;
        worker.insert(name, Run { suspicion, ..Run::new(clock.now, run, step) });
        self.note_shared(id, name);
        if first_start || traced || unstarted {
            self.mark_dirty(name.job);
        }
        if unstarted {
            self.note_overtaken(name.job);
        }
        if !traced && !unstarted {
            return self.order_start(clock, id, name);
        }
        let change = self.changes;
        let run = self.workers.get_mut(id).and_then(|worker| worker.runs.get_mut(&name));
        if let Some(run) = run {
            // A new owner holds tasks back that have never run: those that have must not wait.
            let urgent = level <= 1 && !unstarted;
            let until = urgent.then(|| clock.now + cell_crashes::RECORD_WAIT_MS);
            run.phase = Phase::Planned { change, first: unstarted, until };
            self.planned.insert((id.clone(), name));
        }
    }

    /// Sends the first start order of a run.
    pub(crate) fn order_start(&mut self, clock: Clock, id: &Arc<str>, name: task::Name) {
        let Some(job) = self.jobs.get(&name.job) else { return };
        let Some(task) = job.task(&name) else { return };
        let (spec, checkpoint) = (job.spec.clone(), task.checkpoint.clone());
        let after_ms = clock.unix.saturating_sub(job.accepted_at_ms);
        let lease_ms = self.lease_ms(clock.now);
        let Some(worker) = self.workers.get_mut(id) else { return };
        let Some(lease_ms) = lease_ms else { return };
        let Some(lease_until) = worker.grant(clock.now, lease_ms) else { return };
        let Some(run) = worker.runs.get(&name).map(|run| run.number) else { return };
        self.actions.push(Action::Start {
            worker: id.clone(),
            life: worker.born,
            fence: worker.order_fence(),
            task: name,
            run,
            spec,
            lease_until,
            checkpoint,
        });
        let (worker, born) = (id.clone(), worker.born);
        self.report(Report::Start { task: name, run, worker, born, lease_ms, after_ms });
    }

    /// Orders the stop of the task's run at the worker, unless a stop is already ordered.
    pub(crate) fn stop(&mut self, id: &Arc<str>, name: task::Name, reason: StopReason) {
        let Some(worker) = self.workers.get_mut(id) else { return };
        let Some(run) = worker.runs.get_mut(&name) else { return };
        match run.phase {
            Phase::Planned { .. } => return self.release(id, name, Proof::NotOrdered),
            Phase::Stopping { .. } => return,
            _ => {}
        }
        let number = run.number;
        if worker.life_fenced {
            run.phase = Phase::Stopping { retry_at: None, confirmed: None };
            let fence = worker.order_fence();
            self.actions.push(Action::Stop { worker: id.clone(), fence, task: name, run: number });
        } else {
            // Sent once the worker rejects orders for its earlier lives.
            run.phase = Phase::Stopping { retry_at: Some(0), confirmed: None };
        }
        self.report(Report::Stop { task: name, run: number, worker: id.clone(), reason });
    }

    /// Handles the answer to a start order.
    pub(crate) fn handle_start_answer(
        &mut self,
        clock: Clock,
        id: &Arc<str>,
        name: task::Name,
        number: u32,
        answer: Result<(), Refusal>,
    ) {
        let Some(worker) = self.workers.get_mut(id) else { return };
        let Some(run) = worker.runs.get_mut(&name).filter(|run| run.number == number) else {
            return;
        };
        let Phase::Starting { uncertain, .. } = run.phase else { return };
        let Err(reason) = answer else {
            run.phase = Phase::Confirmed { since: clock.now };
            if run.step.fills {
                self.order_paces(clock, id, 0.0);
            }
            return;
        };
        match reason {
            Refusal::Room => worker.paused_until = clock.now + limits::NO_ROOM_PAUSE_MS,
            Refusal::Unhealthy | Refusal::Unreachable | Refusal::Unknown | Refusal::Reborn => {
                worker.paused_until = clock.now + limits::UNHEALTHY_PAUSE_MS;
            }
            _ => {}
        }
        match reason {
            // The worker has had this run or a later one; the next poll lists its end.
            Refusal::Old => run.phase = Phase::Confirmed { since: clock.now },
            Refusal::Unknown => {
                let retry_at = Some(clock.now + limits::ORDER_RETRY_DELAY_MS);
                run.phase = Phase::Starting { retry_at, uncertain: true };
            }
            // An earlier order may have been carried out, or may still be.
            _ if uncertain => {
                let retry_at = Some(clock.now + limits::ORDER_RETRY_DELAY_MS);
                run.phase = Phase::Stopping { retry_at, confirmed: None };
            }
            _ => self.release(id, name, Proof::Refused),
        }
        self.report(Report::Refused { task: name, run: number, worker: id.clone(), reason });
        if reason == Refusal::Restarted
            && let Some(worker) = self.workers.get_mut(id)
        {
            worker.expect_new_life(clock.now);
        }
    }

    /// Handles the answer to a stop order; a failed one is sent again.
    pub(crate) fn handle_stop_answer(
        &mut self,
        clock: Clock,
        id: &Arc<str>,
        name: task::Name,
        number: u32,
        answer: Result<(), Refusal>,
    ) {
        let worker = self.workers.get_mut(id);
        let Some(run) = worker.and_then(|worker| worker.run_mut(&name, number)) else { return };
        if !matches!(run.phase, Phase::Stopping { .. }) {
            return;
        }
        run.phase = match answer {
            Ok(()) => Phase::Stopping { retry_at: None, confirmed: Some(clock.now) },
            Err(_) => Phase::Stopping {
                retry_at: Some(clock.now + limits::ORDER_RETRY_DELAY_MS),
                confirmed: None,
            },
        };
    }

    /// Sends orders again whose retry is due, to workers that answer polls and reject orders for earlier lives.
    pub(crate) fn resend_orders(&mut self, clock: Clock) {
        let due = |at: Option<u64>| at.is_some_and(|at| at <= clock.now);
        let mut due_orders: Vec<(Arc<str>, task::Name)> = Vec::new();
        let takes_orders = |worker: &Worker| worker.missed_polls == 0 && worker.life_fenced;
        for (id, worker) in self.workers.iter().filter(|(_, worker)| takes_orders(worker)) {
            for (name, run) in &worker.runs {
                match run.phase {
                    Phase::Starting { retry_at, .. } | Phase::Stopping { retry_at, .. }
                        if due(retry_at) =>
                    {
                        due_orders.push((id.clone(), *name));
                    }
                    _ => {}
                }
            }
        }
        for (id, name) in due_orders {
            self.resend_order(clock, &id, name);
        }
    }

    fn resend_order(&mut self, clock: Clock, id: &Arc<str>, name: task::Name) {
        let lease_ms = self.lease_ms(clock.now);
        let job = self.jobs.get(&name.job);
        let spec = job.map(|job| job.spec.clone());
        let checkpoint = job
            .and_then(|job| job.task(&name))
            .map(|task| task.checkpoint.clone())
            .unwrap_or_default();
        let Some(worker) = self.workers.get_mut(id) else { return };
        // With a long lease, a run has to be recorded first.
        let has_long_lease = worker.has_long_lease(clock.now, self.limits.longest_lease_ms());
        let accepts_runs = worker.accepts_runs() && worker.takes_starts() && !has_long_lease;
        let Some(run) = worker.runs.get(&name) else { return };
        let (phase, number) = (run.phase, run.number);
        let is_recent = clock.now < run.started + START_RETRY_WINDOW_MS;
        let may_retry = is_recent && accepts_runs && !self.view_stale;
        // Only a start asks for a lease.
        let starts = matches!(phase, Phase::Starting { .. }) && may_retry;
        let lease_ms = lease_ms.filter(|_| starts && spec.is_some());
        let lease =
            lease_ms.and_then(|lease_ms| Some((worker.grant(clock.now, lease_ms)?, lease_ms)));
        let (born, fence) = (worker.born, worker.order_fence());
        let Some(run) = worker.runs.get_mut(&name) else { return };
        match (phase, spec, lease) {
            (Phase::Starting { uncertain, .. }, Some(spec), Some((lease_until, lease_ms))) => {
                run.phase = Phase::Starting { retry_at: None, uncertain };
                self.actions.push(Action::Start {
                    worker: id.clone(),
                    life: born,
                    fence,
                    task: name,
                    run: number,
                    spec,
                    lease_until,
                    checkpoint,
                });
                let worker = id.clone();
                self.report(Report::Repeated { task: name, run: number, worker, born, lease_ms });
            }
            (Phase::Starting { .. }, ..) => self.stop(id, name, StopReason::NoAnswer),
            _ => {
                run.phase = Phase::Stopping { retry_at: None, confirmed: None };
                self.actions.push(Action::Stop {
                    worker: id.clone(),
                    fence,
                    task: name,
                    run: number,
                });
            }
        }
    }

    /// Polls each worker that has no poll in flight.
    pub(crate) fn poll_workers(&mut self, clock: Clock) {
        let lease_ms = self.lease_ms(clock.now);
        let longest_wait_ms = self.poll_wait_ms(clock.now);
        let (durable, fence) = (self.durable, self.fence());
        for (id, worker) in &mut self.workers {
            if worker.polling || worker.registration.is_none() {
                continue;
            }
            while worker.unrecorded.front().is_some_and(|&(_, change)| change <= durable) {
                let Some((number, _)) = worker.unrecorded.pop_front() else { break };
                worker.acknowledged = number;
            }
            // The poll would return at once with ends that are not recorded yet.
            if !worker.unrecorded.is_empty() && clock.now < worker.poll_at {
                continue;
            }
            worker.raise_fence(fence);
            let paused = worker.missed_polls > 0 || worker.awaits_fence(fence);
            if paused && clock.now < worker.poll_at {
                continue;
            }
            worker.polling = true;
            let is_heard = worker.missed_polls == 0 && worker.life_fenced;
            // An unresponsive worker's lease is not extended: it could then never be shown to have
            // expired.
            let lease_until = lease_ms
                .filter(|_| is_heard)
                .and_then(|lease_ms| worker.grant(clock.now, lease_ms));
            worker.poll_grants = lease_until.is_some();
            let wait_ms = match is_heard {
                // Whether it has restarted shows in any answer.
                false => 0,
                // Such a run may have no end for which the poll would return.
                true if stops_unseen_run(worker) => limits::POLL_PAUSE_MS.min(longest_wait_ms),
                true if worker.is_shared() => limits::SHARED_POLL_WAIT_MS.min(longest_wait_ms),
                true => longest_wait_ms,
            };
            // An unresponsive worker may have restarted. The ends of its new incarnation are numbered
            // anew, and would be forgotten unseen.
            let acknowledged = if is_heard { worker.acknowledged } else { 0 };
            worker.polled_fence = worker.fence;
            worker.polled_at = clock.now;
            if acknowledged > 0 || worker.poll_grants {
                worker.order_fence();
            }
            self.actions.push(Action::Poll {
                worker: id.clone(),
                // Without a lease and acknowledged ends it does no harm in any life.
                life: worker.born.filter(|_| acknowledged > 0 || worker.poll_grants),
                fence: worker.fence,
                acknowledged,
                lease_until,
                wait_ms,
            });
        }
    }

    /// Ends the wait for orders of earlier owners once their leases are over. Workers that answer renew
    /// their leases, so that their ends count until all are listed.
    pub(crate) fn settle(&mut self, clock: Clock) {
        if self.settled {
            return;
        }
        if !self.unfenced.is_empty() {
            // A later owner may have renewed the leases.
            let over = clock.now >= self.leases_over_at && self.is_covered(self.leases_over_at);
            let covered_until = self.covered_until(clock);
            let may_list_more = |id: &Arc<str>| {
                self.workers.get(id).is_some_and(|worker| worker.may_list_more_ends(covered_until))
            };
            if !over || self.unfenced.iter().any(may_list_more) {
                return;
            }
        }
        self.settled = true;
        self.placement_due = true;
        let unanswered = std::mem::take(&mut self.unfenced).into_iter().collect();
        let after_ms = clock.now.saturating_sub(self.acquired_at);
        self.report(Report::Settled { after_ms, unanswered });
    }

    /// Releases the runs of workers whose lease has certainly expired. Nothing else shows that a worker that
    /// does not answer runs nothing: one that is cut off loses its entry, too.
    pub(crate) fn release_expired(&mut self, clock: Clock) {
        let lapsed_at = |worker: &Worker| {
            let at = worker.lapsed_at()?.max(self.earlier_lease_over_at(worker));
            (at <= clock.now).then_some(at)
        };
        let lapsed: Vec<(Arc<str>, u64)> = self
            .workers
            .iter()
            .filter(|(_, worker)| worker.missed_polls > 0 && !worker.runs.is_empty())
            .filter_map(|(id, worker)| Some((id.clone(), lapsed_at(worker)?)))
            .collect();
        for (id, at) in lapsed {
            // A later owner may have renewed the lease.
            if !self.is_covered(at) {
                continue;
            }
            self.suspect_lapsed(&id);
            self.release_all(clock, &id, WorkerState::Lapsed, Proof::Lapsed);
        }
    }

    /// Returns when the leases of earlier owners are over at a worker that runs their orders, in milliseconds; 0 if it
    /// runs none. It has rejected those owners since it answered this one, which may have granted shorter leases since,
    /// or none.
    fn earlier_lease_over_at(&self, worker: &Worker) -> u64 {
        if !worker.runs.values().any(|run| run.adopted) {
            return 0;
        }
        let longest = worker.lives_since + self.limits.longest_lease_ms();
        longest.min(self.leases_over_at)
    }

    /// Releases all runs of a worker.
    pub(crate) fn release_all(
        &mut self,
        clock: Clock,
        id: &Arc<str>,
        state: WorkerState,
        proof: Proof,
    ) {
        let Some(worker) = self.workers.get(id) else { return };
        let names: Vec<task::Name> = worker.runs.keys().copied().collect();
        self.report_worker(clock, id, state);
        for name in names {
            self.release(id, name, proof);
        }
    }

    /// Reports the state of a worker, with what tells whether its runs may go on.
    pub(crate) fn report_worker(&mut self, clock: Clock, id: &Arc<str>, state: WorkerState) {
        let Some(worker) = self.workers.get(id) else { return };
        self.report(Report::Worker {
            worker: id.clone(),
            state,
            born: worker.born,
            runs: worker.runs.len(),
            lease_left_ms: worker.lapsed_at().map(|at| at.saturating_sub(clock.now)),
            draining: worker.registration.as_ref().is_some_and(|entry| entry.draining),
            missing_ms: worker.missing_since.map(|since| clock.now.saturating_sub(since)),
        });
    }

    /// Removes a run that is known to be over from its worker and makes its task wait again.
    pub(crate) fn release(&mut self, id: &Arc<str>, name: task::Name, proof: Proof) {
        self.forget_unlisted(id, name);
        let Some(worker) = self.workers.get_mut(id) else { return };
        let Some(run) = worker.remove(&name) else { return };
        let (lifetime, number, worker) = (worker.lifetime(&run), run.number, id.clone());
        self.placement_due = true;
        self.report(Report::Released { task: name, run: number, worker, proof, lifetime });
        self.requeue(name, id, number);
        if let Phase::Planned { first: true, .. } = run.phase
            && let Some(task) = self.jobs.get_mut(&name.job).and_then(|job| job.task_mut(&name))
        {
            task.last_run = 0;
        }
    }

    /// Makes a task wait again if `run` at the worker is its active run.
    pub(crate) fn requeue(&mut self, name: task::Name, id: &Arc<str>, run: u32) {
        let Some(job) = self.jobs.get_mut(&name.job) else { return };
        let over = job.final_state.is_some();
        let Some(stage) = job.stage_mut(name.occurrence, name.step) else { return };
        let Some(task) = stage.tasks.get_mut(usize::from(name.index)) else { return };
        let active = Status::Active { worker: id.clone(), run };
        if task.status != active {
            return;
        }
        task.status = Status::Waiting;
        let traced = task.trace.take().is_some();
        if !over {
            stage.waiting.insert(name.index);
        }
        let gang = stage.step.gang;
        if traced {
            self.mark_dirty(name.job);
        }
        if gang {
            self.stop_gang(name, run);
        }
    }

    /// Marks the cell as lost to another owner.
    pub(crate) fn mark_lost(&mut self) {
        self.lost = true;
        self.actions.push(Action::Lost);
    }
}

/// Returns whether a run was stopped at a worker that may never have started there.
fn stops_unseen_run(worker: &Worker) -> bool {
    let is_unseen = |run: &Run| run.seen_at.is_none() && !run.adopted && !run.foreign;
    worker.runs.values().any(|run| matches!(run.phase, Phase::Stopping { .. }) && is_unseen(run))
}
