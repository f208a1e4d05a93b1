//! What a poll of a worker changes.

use {
    super::*,
    action::{Proof, Report, StopReason, WorkerState},
    event::Refusal,
    listing::How,
    run::Phase,
    task::Standing,
};

/// Failed ends in a row, of more than one job, after which a worker gets nothing for a while.
const FAILURES_TO_PAUSE: u32 = 3;
/// How long a worker that fails what it starts gets nothing new, in milliseconds.
const FAILING_PAUSE_MS: u64 = 4_000;
/// Between polls of a worker that another one has replaced, in milliseconds.
const REPLACED_POLL_MS: u64 = 1_000;
/// Paces that differ by less are left as they are, in percentage points.
const PACE_STEP: u32 = 8;
/// The most that one order raises a pace by, in percentage points.
const PACE_RISE: u32 = 40;
/// A task that should use processors and uses none for this long hangs, in milliseconds.
const HANG_MS: u64 = 1_200;
/// How long a new run may use no processor before it counts as idle, in milliseconds.
const WARM_UP_MS: u64 = 800;

impl Cell {
    pub(crate) fn polled(
        &mut self,
        clock: Clock,
        id: &Arc<str>,
        sent: u64,
        answer: Result<Listing, Refusal>,
    ) {
        let Some(worker) = self.workers.get_mut(id) else { return };
        worker.polling = false;
        worker.poll_at = clock.now + limits::POLL_PAUSE_MS;
        match answer {
            Ok(listing) => self.listed(clock, id, sent, listing),
            Err(Refusal::Reborn) => self.replaced(clock, id),
            Err(_) => {
                worker.missed += 1;
                let runs = worker.runs.len();
                if worker.missed == 1 {
                    let state = WorkerState::Silent;
                    self.report(Report::Worker { worker: id.clone(), state, runs });
                }
            }
        }
    }

    /// Another worker answers at the address: what this one ran is over.
    fn replaced(&mut self, clock: Clock, id: &Arc<str>) {
        let Some(worker) = self.workers.get_mut(id) else { return };
        worker.missed += 1;
        worker.poll_at = clock.now + REPLACED_POLL_MS;
        let runs = worker.runs.len();
        self.unfenced.remove(id);
        if runs > 0 {
            self.release_all(id, WorkerState::Reborn, Proof::Replaced);
        }
    }

    fn listed(&mut self, clock: Clock, id: &Arc<str>, sent: u64, listing: Listing) {
        let Some(worker) = self.workers.get_mut(id) else { return };
        let runs = worker.runs.len();
        let reborn = worker.fenced && worker.born != listing.born;
        let heard = !worker.fenced || worker.missed > 0;
        if reborn {
            worker.acknowledged = 0;
            worker.processed = 0;
            worker.unrecorded.clear();
            worker.granted_until = 0;
            worker.learned_at = 0;
        }
        worker.born = listing.born;
        worker.clock = Some((listing.clock_ms, clock.now));
        worker.fenced = true;
        worker.missed = 0;
        if reborn || heard {
            self.unplaced = true;
            let state = if reborn { WorkerState::Reborn } else { WorkerState::Fenced };
            self.report(Report::Worker { worker: id.clone(), state, runs });
        }
        self.unfenced.remove(id);
        for end in &listing.ended {
            self.ended(clock, id, end);
        }
        for row in &listing.running {
            self.runs_on(clock, id, row);
        }
        self.unlisted(id, sent, &listing);
        self.pace(clock, id);
    }

    /// Takes in an end, once.
    fn ended(&mut self, clock: Clock, id: &Arc<str>, end: &listing::End) {
        let name = end.task;
        let Some(worker) = self.workers.get_mut(id) else { return };
        if end.number <= worker.processed {
            return;
        }
        worker.processed = end.number;
        let held = worker.run_mut(&name, end.run).is_some();
        let run = if held { worker.remove(&name) } else { None };
        if let Some(run) = run.as_ref().filter(|run| run.step.fills) {
            let cores = run.figure.unwrap_or(0.0) / 1_000.0;
            worker.ended.push((clock.now, run.step.image.clone(), cores));
        }
        self.unplaced = true;
        let after_ms = run.as_ref().map_or(0, |run| clock.now.saturating_sub(run.started));
        if let Some(job) = self.jobs.get_mut(&name.job) {
            job.begun = true;
            let (task, run, how) = (name, end.run, end.how);
            self.report(Report::End { task, run, worker: id.clone(), how, after_ms });
        }
        self.judge(clock, id, end);
        match end.how {
            How::Done => self.done(id, end),
            How::Failed => self.failed(id, end),
            _ => {
                self.save(name, &end.checkpoint);
                self.requeue(name, id, end.run);
            }
        }
        let changes = self.changes;
        if let Some(worker) = self.workers.get_mut(id) {
            worker.unrecorded.push_back((end.number, changes));
        }
    }

    /// Counts failures in a row at a worker, and pauses it.
    fn judge(&mut self, clock: Clock, id: &Arc<str>, end: &listing::End) {
        let Some(worker) = self.workers.get_mut(id) else { return };
        match end.how {
            How::Done => worker.failures = 0,
            How::Failed => worker.failures += 1,
            _ => {}
        }
        if end.how == How::Failed && worker.failures >= FAILURES_TO_PAUSE {
            worker.paused_until = clock.now + FAILING_PAUSE_MS;
            let runs = worker.runs.len();
            let state = WorkerState::Failing;
            self.report(Report::Worker { worker: id.clone(), state, runs });
        }
    }

    fn done(&mut self, id: &Arc<str>, end: &listing::End) {
        let name = end.task;
        let Some(job) = self.jobs.get_mut(&name.job) else { return };
        let Some(stage) = job.stage_mut(name.occurrence, name.step) else { return };
        if stage.step.lasting {
            return self.requeue(name, id, end.run);
        }
        let members: Vec<u16> =
            if stage.step.gang { (0..stage.step.count).collect() } else { vec![name.index] };
        let mut others = Vec::new();
        for index in members {
            let Some(task) = stage.tasks.get(usize::from(index)) else { continue };
            if let Standing::Active { worker, run } = &task.standing
                && (worker != id || *run != end.run)
                && !stage.step.gang
            {
                others.push((worker.clone(), task::Name { index, ..name }));
            }
            stage.finish(index);
        }
        let done = job.is_done();
        self.touch(name.job);
        for (worker, name) in others {
            self.stop(&worker, name, StopReason::Unwanted);
        }
        let open = self.jobs.get(&name.job).is_some_and(|job| job.outcome.is_none());
        if done && open {
            self.finish(name.job, State::Completed);
        }
    }

    fn failed(&mut self, id: &Arc<str>, end: &listing::End) {
        let name = end.task;
        let Some(job) = self.jobs.get_mut(&name.job) else { return };
        let attempts = job.queue.max_attempts;
        let Some(stage) = job.stage_mut(name.occurrence, name.step) else { return };
        let (gang, lasting) = (stage.step.gang, stage.step.lasting);
        let Some(task) = stage.tasks.get_mut(usize::from(name.index)) else { return };
        task.last_run = task.last_run.max(end.run);
        task.failed_at = Some(id.clone());
        if !end.checkpoint.is_empty() {
            task.checkpoint.clone_from(&end.checkpoint);
        }
        if lasting {
            return self.requeue(name, id, end.run);
        }
        if !task.failed.contains(&end.run) {
            task.failed.push(end.run);
        }
        let failures = if gang {
            let runs: BTreeSet<u32> =
                stage.tasks.iter().flat_map(|task| task.failed.iter().copied()).collect();
            runs.len()
        } else {
            task.failed.len()
        };
        let spent = failures >= attempts as usize;
        let open = job.outcome.is_none();
        self.touch(name.job);
        self.requeue(name, id, end.run);
        if spent && open {
            self.finish(name.job, State::Failed);
            self.stop_job(name.job, StopReason::Failed);
        }
    }

    /// Keeps saved progress to resume from.
    fn save(&mut self, name: task::Name, checkpoint: &str) {
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

    /// Takes in a run that the worker lists.
    fn runs_on(&mut self, clock: Clock, id: &Arc<str>, row: &listing::Running) {
        let name = row.task;
        let Some(worker) = self.workers.get_mut(id) else { return };
        let Some(run) = worker.run_mut(&name, row.run) else {
            return self.adopt(clock, id, row);
        };
        if matches!(run.phase, Phase::Starting { .. }) {
            run.phase = Phase::Confirmed { since: clock.now };
        }
        run.progress = row.progress;
        run.figure = Some(row.figure);
        let old = clock.now >= run.started + WARM_UP_MS;
        let serves = run.step.target_ms > 0;
        if serves || run.step.fills || row.figure > 0.0 || !old {
            run.idle_since = None;
        } else {
            run.idle_since.get_or_insert(clock.now);
        }
        let hangs = run.idle_since.is_some_and(|since| clock.now >= since + HANG_MS);
        self.save(name, &row.checkpoint);
        if hangs {
            if let Some(worker) = self.workers.get_mut(id) {
                worker.failures += 1;
                worker.paused_until = clock.now + FAILING_PAUSE_MS;
            }
            self.stop(id, name, StopReason::Hanging);
        }
    }

    /// Takes over a run that an earlier owner ordered, or has it stopped.
    fn adopt(&mut self, clock: Clock, id: &Arc<str>, row: &listing::Running) {
        let name = row.task;
        let Some(job) = self.jobs.get_mut(&name.job) else {
            if self.lookups.insert(name.job) {
                self.actions.push(Action::Lookup(name.job));
            }
            return;
        };
        let over = job.outcome.is_some();
        let Some(stage) = job.stage_mut(name.occurrence, name.step) else { return };
        let step = stage.step.clone();
        let Some(task) = stage.tasks.get_mut(usize::from(name.index)) else { return };
        let wanted = !over && task.standing == Standing::Waiting;
        task.last_run = task.last_run.max(row.run);
        let Some(worker) = self.workers.get_mut(id) else { return };
        if worker.runs.get(&name).is_some_and(|run| run.number > row.run) {
            return;
        }
        let mut run = Run::new(clock.now, row.run, step);
        run.phase = Phase::Confirmed { since: clock.now };
        run.pace = None;
        run.progress = row.progress;
        worker.insert(name, run);
        if wanted {
            stage.waiting.remove(&name.index);
            task.standing = Standing::Active { worker: id.clone(), run: row.run };
            self.save(name, &row.checkpoint);
            if !job_begun(&mut self.jobs, name.job) {
                self.touch(name.job);
            }
        } else {
            self.stop(id, name, StopReason::Unwanted);
        }
    }

    /// Stops the runs of a job that is over or was never accepted.
    pub(crate) fn looked_up(&mut self, clock: Clock, id: job::Id, ticket: Option<&Ticket>) {
        self.lookups.remove(&id);
        let open = ticket.is_some_and(|ticket| !ticket.state.is_final());
        if open || self.jobs.contains_key(&id) {
            return;
        }
        self.stop_unknown(clock, id);
    }

    fn stop_unknown(&mut self, clock: Clock, job: job::Id) {
        let workers: Vec<Arc<str>> = self.workers.keys().cloned().collect();
        for id in workers {
            self.stopped_unknown(clock, &id, job);
        }
    }

    fn stopped_unknown(&mut self, clock: Clock, id: &Arc<str>, job: job::Id) {
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
            worker.insert(name, run);
            self.stop(id, name, StopReason::Unwanted);
        }
    }

    /// Releases runs that a poll sent after their confirmation does not list.
    fn unlisted(&mut self, id: &Arc<str>, sent: u64, listing: &Listing) {
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
        let over: Vec<(task::Name, Proof)> = worker
            .runs
            .iter()
            .filter(|(name, run)| listed.get(name) != Some(&run.number))
            .filter_map(|(name, run)| match run.phase {
                Phase::Confirmed { since } if sent > since => Some((*name, Proof::NotListed)),
                Phase::Stopping { confirmed: Some(at), .. } if sent > at => {
                    Some((*name, Proof::Stopped))
                }
                _ => None,
            })
            .collect();
        for (name, proof) in over {
            self.release(id, name, proof);
        }
    }

    /// Stops the other members of a gang's run, so that all start again together.
    pub(crate) fn break_gang(&mut self, name: task::Name, number: u32) {
        let Some(stage) =
            self.jobs.get(&name.job).and_then(|job| job.stage(name.occurrence, name.step))
        else {
            return;
        };
        let members: Vec<(Arc<str>, task::Name)> = (0..)
            .zip(&stage.tasks)
            .filter_map(|(index, task)| match &task.standing {
                Standing::Active { worker, run } if *run == number => {
                    Some((worker.clone(), task::Name { index, ..name }))
                }
                _ => None,
            })
            .collect();
        for (worker, member) in members {
            self.stop(&worker, member, StopReason::Gang);
        }
    }

    /// Paces the filling tasks of a worker by the tails of its serving ones.
    fn pace(&mut self, clock: Clock, id: &Arc<str>) {
        let Some(worker) = self.workers.get_mut(id) else { return };
        let worst = worker.observe_tails(clock.now, &self.pressure, &mut self.learned);
        self.order_paces(clock, id, worst);
    }

    /// Orders the paces that the worker's filling tasks may have, where they differ from the last.
    pub(crate) fn order_paces(&mut self, clock: Clock, id: &Arc<str>, worst: f64) {
        let Some(worker) = self.workers.get_mut(id) else { return };
        let paces: BTreeMap<String, u32> = worker
            .paces(clock.now, &self.pressure)
            .into_iter()
            .map(|(image, pace)| (image.to_owned(), pace))
            .collect();
        let mut orders = Vec::new();
        for (name, run) in &mut worker.runs {
            let Some(&pace) = paces.get(&run.step.image) else { continue };
            let running = matches!(run.phase, Phase::Confirmed { .. });
            let near = run.pace.is_some_and(|old| {
                old.abs_diff(pace) < PACE_STEP && (old == pace || (pace != 0 && pace != 100))
            });
            if !run.step.fills || !running || near {
                continue;
            }
            // A rise goes in steps, since figures tell of a pace half a second later.
            let next = run.pace.map_or(pace, |old| pace.min(old + PACE_RISE));
            run.pace = Some(next);
            orders.push((*name, run.number, next));
        }
        let tail_percent = (worst * 100.0) as u32;
        for (task, run, percent) in orders {
            self.actions.push(Action::Pace { worker: id.clone(), task, run, percent });
            self.report(Report::Pace { worker: id.clone(), task, run, tail_percent, percent });
        }
    }
}

/// Marks a job as begun and returns whether it was.
fn job_begun(jobs: &mut HashMap<job::Id, Job>, id: job::Id) -> bool {
    jobs.get_mut(&id).is_some_and(|job| std::mem::replace(&mut job.begun, true))
}
