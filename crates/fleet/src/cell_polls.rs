//! Processes the answers to polls: ends of runs, running tasks, runs of unknown jobs, and the tail
//! latencies by which filling tasks are paced.

use {
    super::*,
    action::{Proof, Report, StopReason, WorkerState},
    event::Refusal,
    listing::EndReason,
    run::Phase,
    task::Status,
};

/// Consecutive failed runs, of any jobs, after which a worker gets no new runs for a while.
const FAILURES_TO_PAUSE: u32 = 3;
/// How long a worker whose runs fail or hang gets no new runs, in milliseconds.
const FAILING_PAUSE_MS: u64 = 4_000;
/// Interval between polls of a worker whose address another one has taken, in milliseconds.
const REPLACED_POLL_MS: u64 = 1_000;
/// Smallest change of a pace that is ordered, in percentage points. Changes to 0 and to 100 are
/// always ordered.
const MIN_PACE_CHANGE: u32 = 8;
/// The most by which one order raises a pace, in percentage points.
const MAX_PACE_RISE: u32 = 40;
/// The pace of a task that is not slowed, in percent.
const FULL_PACE: u32 = 100;
/// How long a task that should use processors may use none before it counts as hanging, in
/// milliseconds.
const HANG_MS: u64 = 1_200;
/// How long after its start a run may use no processors without counting as idle, in milliseconds.
const WARM_UP_MS: u64 = 800;

impl Cell {
    /// Handles the answer to a poll that was sent at `sent`, in milliseconds.
    pub(crate) fn handle_poll(
        &mut self,
        clock: Clock,
        id: &Arc<str>,
        sent: u64,
        answer: Result<Listing, Refusal>,
    ) {
        let Some(worker) = self.workers.get_mut(id) else { return };
        if sent < worker.polled_at {
            return;
        }
        worker.polling = false;
        worker.poll_at = clock.now + limits::POLL_PAUSE_MS;
        match answer {
            Ok(listing) => self.apply_listing(clock, id, sent, listing),
            Err(Refusal::Reborn) if worker.has_answered_at(sent) => {
                self.handle_replacement(clock, id);
            }
            Err(refusal) => {
                worker.missed_polls += 1;
                worker.unanswered_since.get_or_insert(clock.now);
                if refusal == Refusal::Restarted {
                    worker.poll_at = clock.now;
                }
                let missed = worker.missed_polls;
                self.note_silence(clock, id);
                if missed == 1 {
                    self.report_worker(clock, id, WorkerState::Silent);
                }
            }
        }
    }

    /// Releases all runs of a worker because another one answers at the address at which it has answered.
    fn handle_replacement(&mut self, clock: Clock, id: &Arc<str>) {
        let Some(worker) = self.workers.get_mut(id) else { return };
        worker.missed_polls += 1;
        worker.unanswered_since.get_or_insert(clock.now);
        worker.poll_at = clock.now + REPLACED_POLL_MS;
        worker.has_more_ends = false;
        let runs = worker.runs.len();
        self.note_silence(clock, id);
        self.note_fenced(clock.now, id);
        if runs == 0 || self.lists_none(id) {
            return;
        }
        self.suspect_runs(id, true);
        self.report_worker(clock, id, WorkerState::Reborn);
        let Some(worker) = self.workers.get(id) else { return };
        let ordered = |(_, run): &(&task::Name, &Run)| !matches!(run.phase, Phase::Planned { .. });
        let runs = worker.runs.iter().filter(ordered);
        let runs: Vec<(task::Name, u32)> = runs.map(|(name, run)| (*name, run.number)).collect();
        for (name, run) in runs {
            self.note_unlisted(clock.now, id, name, run, Proof::Replaced);
        }
    }

    /// Applies a worker's listing: detects a restart, processes ends and running tasks, and
    /// releases runs that are not listed.
    fn apply_listing(&mut self, clock: Clock, id: &Arc<str>, sent: u64, listing: Listing) {
        let Some(worker) = self.workers.get_mut(id) else { return };
        let restarted = worker.fenced && worker.born != listing.born;
        if restarted || !worker.life_fenced {
            worker.life_fenced = worker.polled_fence > worker.ordered_fence;
        }
        let answers_again = !worker.fenced || worker.missed_polls > 0;
        let mut is_long = false;
        if restarted {
            worker.acknowledged = 0;
            worker.processed = 0;
            worker.unrecorded.clear();
            worker.unclaimed.clear();
            // Orders by the clock of the last life give the new one the longest lease.
            let granted = worker.poll_grants || std::mem::take(&mut worker.grant_in_doubt);
            let may_hold = granted || !listing.running.is_empty();
            let longest = listing.clock_ms.saturating_add(self.limits.max_lease_ms);
            worker.granted_until = if may_hold { longest } else { 0 };
            is_long = may_hold;
            worker.observed_at = 0;
            self.unlisted.retain(|(holder, _), _| holder != id);
        }
        if !worker.fenced {
            let left_ms = worker.long_lease_until.saturating_sub(clock.now);
            worker.granted_until = listing.clock_ms.saturating_add(left_ms);
        }
        worker.born = listing.born;
        worker.clock = Some((listing.clock_ms, clock.now));
        worker.fenced = true;
        worker.missed_polls = 0;
        worker.unanswered_since = None;
        worker.has_more_ends = !listing.complete;
        let is_new_life = restarted || worker.answered_poll_at.is_none();
        worker.answered_poll_at = Some(sent);
        if is_new_life {
            self.note_life(clock.now, id);
        }
        if restarted || answers_again {
            self.placement_due = true;
            self.inventory_due = true;
            let state = if restarted { WorkerState::Reborn } else { WorkerState::Fenced };
            self.report_worker(clock, id, state);
        }
        if answers_again {
            self.note_answer(clock.now);
        }
        if listing.complete {
            self.note_fenced(clock.now, id);
        }
        if restarted {
            self.note_long_lease(id, is_long);
            self.note_silence(clock, id);
            self.suspect_runs(id, true);
        } else {
            self.retract_lapsed(id);
        }
        if let Some(worker) = self.workers.get_mut(id) {
            worker.silent_since = None;
        }
        for end in &listing.ended {
            self.apply_end(clock, id, end);
        }
        for row in &listing.running {
            self.apply_running(clock, id, sent, row);
        }
        self.find_unlisted(clock, id, sent, &listing);
        if restarted {
            self.record_long_runs(clock.now, id);
        }
        self.update_paces(clock, id);
    }

    /// Processes an end unless an earlier poll already listed it.
    fn apply_end(&mut self, clock: Clock, id: &Arc<str>, end: &listing::End) {
        let name = end.task;
        let Some(worker) = self.workers.get_mut(id) else { return };
        if end.number <= worker.processed {
            return;
        }
        worker.processed = end.number;
        let held = worker.run_mut(&name, end.run).is_some();
        let run = if held { worker.remove(&name) } else { None };
        let is_over = self.removed.get(&name.job).is_some_and(|removal| !removal.moved);
        let is_unknown = !self.jobs.contains_key(&name.job) && !is_over;
        if is_unknown && matches!(end.reason, EndReason::Done | EndReason::Failed) {
            return self.hold_unclaimed(clock, id, end);
        }
        self.process_end(clock, id, end, run);
        let changes = self.changes;
        if let Some(worker) = self.workers.get_mut(id) {
            worker.unrecorded.push_back((end.number, changes));
        }
    }

    /// Processes the end of a run, which this owner may have ordered.
    pub(crate) fn process_end(
        &mut self,
        clock: Clock,
        id: &Arc<str>,
        end: &listing::End,
        run: Option<Run>,
    ) {
        let name = end.task;
        if let Some(run) = run.as_ref().filter(|run| run.step.fills)
            && let Some(worker) = self.workers.get_mut(id)
        {
            let cores = run.measurement.unwrap_or(0.0) / 1_000.0;
            worker.ended_filling.push((clock.now, run.step.image.clone(), cores));
        }
        self.placement_due = true;
        let after_ms = run.as_ref().map_or(0, |run| clock.now.saturating_sub(run.started));
        if let Some(job) = self.jobs.get_mut(&name.job) {
            job.begun = true;
            let (task, run, how) = (name, end.run, end.reason);
            self.report(Report::End { task, run, worker: id.clone(), how, after_ms });
        }
        if let Some(run) = run.as_ref().filter(|_| end.reason == EndReason::Done) {
            self.observe_duration(name, run, after_ms);
        }
        self.note_unrecorded_start(name, end.run);
        self.count_failure(clock, id, end);
        match end.reason {
            EndReason::Done => self.apply_done(id, end),
            EndReason::Failed => self.apply_failed(id, end),
            _ => {
                self.set_checkpoint(name, &end.checkpoint);
                self.requeue(name, id, end.run);
            }
        }
    }

    /// Records that a lasting task has run, if the store doesn't tell: owners of earlier versions left starts
    /// unrecorded.
    fn note_unrecorded_start(&mut self, name: task::Name, run: u32) {
        let Some(job) = self.jobs.get_mut(&name.job) else { return };
        let Some(stage) = job.stage_mut(name.occurrence, name.step) else { return };
        let lasting = stage.step.lasting;
        let Some(task) = stage.tasks.get_mut(usize::from(name.index)) else { return };
        if lasting && !task.has_run() {
            task.last_run = run;
            self.mark_dirty(name.job);
        }
    }

    /// Records how long a run took that was done. Runs that were paced down when last seen are left out,
    /// and those of an earlier owner.
    fn observe_duration(&mut self, name: task::Name, run: &Run, took_ms: u64) {
        let paced = run.step.fills && run.pace != Some(FULL_PACE);
        if run.step.lasting || run.adopted || paced {
            return;
        }
        let Some(job) = self.jobs.get_mut(&name.job) else { return };
        let queue = job.queue.name.clone();
        if !run.step.fills {
            self.forecast.observe(&queue, run.step.estimate_ms, took_ms);
        }
        let Some(stage) = job.stage_mut(name.occurrence, name.step) else { return };
        stage.longest_ms = stage.longest_ms.max(took_ms);
        if stage.remaining == 1 {
            self.forecast.observe_step(&queue, stage.step.estimate_ms, stage.longest_ms);
        }
    }

    /// Counts a worker's consecutive failed runs and pauses it at `FAILURES_TO_PAUSE`.
    fn count_failure(&mut self, clock: Clock, id: &Arc<str>, end: &listing::End) {
        let Some(worker) = self.workers.get_mut(id) else { return };
        match end.reason {
            EndReason::Done => worker.failures = 0,
            EndReason::Failed => worker.failures += 1,
            _ => {}
        }
        if end.reason == EndReason::Failed && worker.failures >= FAILURES_TO_PAUSE {
            worker.paused_until = clock.now + FAILING_PAUSE_MS;
            self.report_worker(clock, id, WorkerState::Failing);
        }
    }

    /// Marks the task of a run as done, for a gang all its tasks, and stops other runs of it. A
    /// lasting task waits again instead.
    fn apply_done(&mut self, id: &Arc<str>, end: &listing::End) {
        let name = end.task;
        let Some(job) = self.jobs.get_mut(&name.job) else { return };
        let Some(stage) = job.stage_mut(name.occurrence, name.step) else { return };
        if stage.step.lasting {
            if let Some(task) = stage.tasks.get_mut(usize::from(name.index)) {
                // It ran to its end, and its worker lives.
                task.suspicion = Suspicion::default();
            }
            return self.requeue(name, id, end.run);
        }
        let members: Vec<u16> =
            if stage.step.gang { (0..stage.step.count).collect() } else { vec![name.index] };
        let mut others = Vec::new();
        for index in members {
            let Some(task) = stage.tasks.get(usize::from(index)) else { continue };
            if let Status::Active { worker, run } = &task.status
                && (worker != id || *run != end.run)
                && !stage.step.gang
            {
                others.push((worker.clone(), task::Name { index, ..name }));
            }
            stage.mark_done(index);
        }
        let done = job.is_done();
        self.mark_dirty(name.job);
        for (worker, name) in others {
            self.stop(&worker, name, StopReason::Unwanted);
        }
        let open = self.jobs.get(&name.job).is_some_and(|job| job.final_state.is_none());
        if done && open {
            self.set_final_state(name.job, State::Completed);
        }
    }

    /// Records a failed run and makes its task wait again; fails the job once the attempts are used
    /// up. Failures of a lasting task are not counted.
    fn apply_failed(&mut self, id: &Arc<str>, end: &listing::End) {
        let name = end.task;
        let Some(job) = self.jobs.get_mut(&name.job) else { return };
        let attempts = job.queue.max_attempts;
        let Some(stage) = job.stage_mut(name.occurrence, name.step) else { return };
        let lasting = stage.step.lasting;
        let Some(task) = stage.tasks.get_mut(usize::from(name.index)) else { return };
        task.last_run = task.last_run.max(end.run);
        task.last_failed_worker = Some(id.clone());
        if !end.checkpoint.is_empty() {
            task.checkpoint.clone_from(&end.checkpoint);
        }
        if lasting {
            return self.requeue(name, id, end.run);
        }
        if !task.failed_runs.contains(&end.run) {
            task.failed_runs.push(end.run);
        }
        let exhausted = stage.is_exhausted(attempts);
        let open = job.final_state.is_none();
        self.mark_dirty(name.job);
        self.requeue(name, id, end.run);
        if exhausted && open {
            self.fail_job(name.job);
        }
    }

    /// Stores a checkpoint for the next run of the task to resume from.
    fn set_checkpoint(&mut self, name: task::Name, checkpoint: &str) {
        if checkpoint.is_empty() {
            return;
        }
        let Some(task) = self.jobs.get_mut(&name.job).and_then(|job| job.task_mut(&name)) else {
            return;
        };
        if task.checkpoint != checkpoint {
            task.checkpoint = checkpoint.into();
        }
    }

    /// Updates a run that the worker lists as running, and stops it if it hangs.
    fn apply_running(&mut self, clock: Clock, id: &Arc<str>, sent: u64, row: &listing::Running) {
        let name = row.task;
        self.forget_unlisted(id, name);
        let Some(worker) = self.workers.get_mut(id) else { return };
        let Some(run) = worker.run_mut(&name, row.run) else {
            return self.adopt(clock, id, row);
        };
        if matches!(run.phase, Phase::Starting { .. }) {
            run.phase = Phase::Confirmed { since: clock.now };
        }
        run.seen_at = run.seen_at.max(Some(sent));
        run.progress = row.progress;
        run.measurement = Some(row.measurement);
        let warmed_up = clock.now >= run.started + WARM_UP_MS;
        let serves = run.step.target_ms > 0;
        if serves || run.step.fills || row.measurement > 0.0 || !warmed_up {
            run.idle_since = None;
        } else {
            run.idle_since.get_or_insert(clock.now);
        }
        let hangs = run.idle_since.is_some_and(|since| clock.now >= since + HANG_MS);
        self.set_checkpoint(name, &row.checkpoint);
        self.clear_survivor(id, name);
        if hangs {
            if let Some(worker) = self.workers.get_mut(id) {
                worker.failures += 1;
                worker.paused_until = clock.now + FAILING_PAUSE_MS;
            }
            self.stop(id, name, StopReason::Hanging);
        }
    }

    /// Adds a listed run that this owner did not order: adopts it if its task is waiting, else
    /// stops it. Looks up the ticket when the job is unknown.
    fn adopt(&mut self, clock: Clock, id: &Arc<str>, row: &listing::Running) {
        let name = row.task;
        let Some(job) = self.jobs.get_mut(&name.job) else {
            if self.lookups.insert(name.job) {
                self.actions.push(Action::Lookup(name.job));
            }
            return;
        };
        let over = job.final_state.is_some();
        let Some(stage) = job.stage_mut(name.occurrence, name.step) else { return };
        let step = stage.step.clone();
        let Some(task) = stage.tasks.get_mut(usize::from(name.index)) else { return };
        let suspicion = task.suspicion.level();
        let longest_ms = self.limits.longest_lease_ms();
        let wanted = !over && task.status == Status::Waiting;
        let unrecorded = step.lasting && !task.has_run();
        task.last_run = task.last_run.max(row.run);
        let Some(worker) = self.workers.get_mut(id) else { return };
        if worker.runs.get(&name).is_some_and(|run| run.number > row.run) {
            return;
        }
        let mut run = Run::new(clock.now, row.run, step);
        run.phase = Phase::Confirmed { since: clock.now };
        run.adopted = true;
        run.suspicion = suspicion;
        run.pace = None;
        run.progress = row.progress;
        let trace = Trace { born: worker.born, run: row.run, shared: false, worker: (**id).into() };
        let is_long = worker.has_long_lease(clock.now, longest_ms);
        worker.insert(name, run);
        let (worker, born) = (id.clone(), worker.born);
        let report = Report::Adopted { task: name, run: row.run, worker, born, wanted };
        if wanted {
            task.trace = Some(trace);
            stage.waiting.remove(&name.index);
            task.status = Status::Active { worker: id.clone(), run: row.run };
            self.set_checkpoint(name, &row.checkpoint);
            self.note_shared(id, name);
            if !mark_begun(&mut self.jobs, name.job) || unrecorded || is_long {
                self.mark_dirty(name.job);
            }
        } else {
            self.stop(id, name, StopReason::Unwanted);
        }
        self.report(report);
    }

    /// Stops all runs of an unknown job whose ticket shows that it is over or does not exist.
    pub(crate) fn handle_ticket(&mut self, clock: Clock, id: job::Id, ticket: Option<&Ticket>) {
        self.lookups.remove(&id);
        let open = ticket.filter(|ticket| !ticket.state.is_final());
        let is_coming = |ticket: &Ticket| {
            ticket.cell == self.head.cell || ticket.also.contains(&self.head.cell)
        };
        if open.is_some_and(is_coming) {
            self.hold_longer(clock, id);
        }
        if open.is_some() || self.jobs.contains_key(&id) {
            return;
        }
        self.forget_unclaimed(id);
        self.stop_unknown_runs(clock, id);
    }

    fn stop_unknown_runs(&mut self, clock: Clock, job: job::Id) {
        let workers: Vec<Arc<str>> = self.workers.keys().cloned().collect();
        for id in workers {
            self.stop_unknown_runs_at(clock, &id, job);
        }
    }

    fn stop_unknown_runs_at(&mut self, clock: Clock, id: &Arc<str>, job: job::Id) {
        let names: Vec<(task::Name, u32)> = match self.workers.get(id) {
            Some(worker) => {
                worker.unknown_runs.iter().copied().filter(|(n, _)| n.job == job).collect()
            }
            None => return,
        };
        for (name, number) in names {
            let Some(worker) = self.workers.get_mut(id) else { return };
            let step = Arc::new(Step { count: 1, ..Step::default() });
            let mut run = Run::new(clock.now, number, step);
            run.phase = Phase::Confirmed { since: clock.now };
            run.foreign = true;
            worker.insert(name, run);
            self.stop(id, name, StopReason::Unwanted);
        }
    }

    /// Finds runs that are missing from a complete listing although the poll was sent after their start or
    /// stop was confirmed.
    fn find_unlisted(&mut self, clock: Clock, id: &Arc<str>, sent: u64, listing: &Listing) {
        let listed: BTreeMap<task::Name, u32> =
            listing.running.iter().map(|row| (row.task, row.run)).collect();
        let Some(worker) = self.workers.get_mut(id) else { return };
        worker.unknown_runs = listing
            .running
            .iter()
            .filter(|row| !self.jobs.contains_key(&row.task.job))
            .map(|row| (row.task, row.run))
            .filter(|(name, _)| !worker.runs.contains_key(name))
            .collect();
        if !listing.complete || !worker.life_fenced {
            return;
        }
        let over: Vec<(task::Name, u32, Proof)> = worker
            .runs
            .iter()
            .filter(|(name, run)| listed.get(name) != Some(&run.number))
            .filter(|(name, _)| !listing.unreadable.contains(name))
            .filter_map(|(name, run)| match run.phase {
                Phase::Confirmed { since } if sent > since => {
                    Some((*name, run.number, Proof::NotListed))
                }
                Phase::Stopping { confirmed: Some(at), .. } if sent > at => {
                    Some((*name, run.number, Proof::Stopped))
                }
                _ => None,
            })
            .collect();
        for (name, run, proof) in over {
            self.note_unlisted(clock.now, id, name, run, proof);
        }
    }

    /// Stops the other members of a gang's run, so that all of them restart together.
    pub(crate) fn stop_gang(&mut self, name: task::Name, number: u32) {
        let Some(stage) =
            self.jobs.get(&name.job).and_then(|job| job.stage(name.occurrence, name.step))
        else {
            return;
        };
        let members: Vec<(Arc<str>, task::Name)> = (0..)
            .zip(&stage.tasks)
            .filter_map(|(index, task)| match &task.status {
                Status::Active { worker, run } if *run == number => {
                    Some((worker.clone(), task::Name { index, ..name }))
                }
                _ => None,
            })
            .collect();
        for (worker, member) in members {
            self.stop(&worker, member, StopReason::Gang);
        }
    }

    /// Updates the paces of a worker's filling tasks from the tail latencies of its serving tasks.
    fn update_paces(&mut self, clock: Clock, id: &Arc<str>) {
        let Some(worker) = self.workers.get_mut(id) else { return };
        let worst_tail_ratio = worker.observe_tails(
            clock.now,
            self.policy,
            &self.pressure,
            &mut self.own_pressure,
            &mut self.loads,
        );
        self.order_paces(clock, id, worst_tail_ratio);
    }

    /// Orders new paces for the worker's filling tasks where they differ enough from the last ones.
    /// The decision log shows them with `worst_tail_ratio`, the highest tail latency on the worker
    /// relative to its target.
    pub(crate) fn order_paces(&mut self, clock: Clock, id: &Arc<str>, worst_tail_ratio: f64) {
        let Some(worker) = self.workers.get_mut(id).filter(|worker| worker.life_fenced) else {
            return;
        };
        let paces: BTreeMap<String, u32> = worker
            .paces(clock.now, &self.pressure)
            .into_iter()
            .map(|(image, pace)| (image.to_owned(), pace))
            .collect();
        let mut orders = Vec::new();
        for (name, run) in &mut worker.runs {
            let Some(&pace) = paces.get(&run.step.image) else { continue };
            let running = matches!(run.phase, Phase::Confirmed { .. });
            let too_small = run.pace.is_some_and(|old| {
                old.abs_diff(pace) < MIN_PACE_CHANGE && (old == pace || (pace != 0 && pace != 100))
            });
            if !run.step.fills || !running || too_small {
                continue;
            }
            // Raise in steps: measurements reflect a new pace only half a second later.
            let next = run.pace.map_or(pace, |old| pace.min(old + MAX_PACE_RISE));
            run.pace = Some(next);
            orders.push((*name, run.number, next));
        }
        if orders.is_empty() {
            return;
        }
        let fence = worker.order_fence();
        let tail_percent = (worst_tail_ratio * 100.0) as u32;
        for (task, run, percent) in orders {
            self.actions.push(Action::Pace { worker: id.clone(), fence, task, run, percent });
            self.report(Report::Pace { worker: id.clone(), task, run, tail_percent, percent });
        }
    }
}

/// Marks a job as begun and returns whether it already was.
fn mark_begun(jobs: &mut HashMap<job::Id, Job>, id: job::Id) -> bool {
    jobs.get_mut(&id).is_some_and(|job| std::mem::replace(&mut job.begun, true))
}
