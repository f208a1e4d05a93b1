//! Orders to workers: starts, stops, polls, and what their answers prove.

use {
    super::*,
    action::{Proof, Report, StopReason, WorkerState},
    event::Refusal,
    run::Phase,
    task::Standing,
};

/// How long a start is repeated before a stop fences it off, in milliseconds: long enough for a
/// lost answer, short against the work.
const START_PATIENCE_MS: u64 = 600;

impl Cell {
    /// Orders a run of a waiting task.
    pub(crate) fn start(&mut self, clock: Clock, id: &Arc<str>, name: task::Name, run: u32) {
        let Some(job) = self.jobs.get_mut(&name.job) else { return };
        let spec = job.spec.clone();
        let accepted = job.accepted_at_ms;
        let begun = !std::mem::replace(&mut job.begun, true);
        let Some(stage) = job.stage_mut(name.occurrence, name.step) else { return };
        let step = stage.step.clone();
        stage.waiting.remove(&name.index);
        let Some(task) = stage.tasks.get_mut(usize::from(name.index)) else { return };
        let Some(worker) = self.workers.get_mut(id) else { return };
        let Some(lease_until) = worker.grant(clock.now, self.limits.lease_ms) else { return };
        task.last_run = run;
        task.standing = Standing::Active { worker: id.clone(), run };
        let checkpoint = task.checkpoint.clone();
        worker.insert(name, Run::new(clock.now, run, step));
        self.actions.push(Action::Start {
            worker: id.clone(),
            task: name,
            run,
            spec,
            lease_until,
            checkpoint,
        });
        let after_ms = clock.unix.saturating_sub(accepted);
        self.report(Report::Start { task: name, run, worker: id.clone(), after_ms });
        if begun {
            self.touch(name.job);
        }
    }

    /// Orders a stop of whatever run of the task the worker holds.
    pub(crate) fn stop(&mut self, id: &Arc<str>, name: task::Name, reason: StopReason) {
        let Some(worker) = self.workers.get_mut(id) else { return };
        let Some(run) = worker.runs.get_mut(&name) else { return };
        if matches!(run.phase, Phase::Stopping { .. }) {
            return;
        }
        run.phase = Phase::Stopping { retry_at: None, confirmed: None };
        let number = run.number;
        self.actions.push(Action::Stop { worker: id.clone(), task: name, run: number });
        self.report(Report::Stop { task: name, run: number, worker: id.clone(), reason });
    }

    pub(crate) fn start_answered(
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
            Refusal::Room => worker.paused_until = clock.now + limits::FULL_PAUSE_MS,
            Refusal::Unhealthy | Refusal::Unreachable | Refusal::Unknown | Refusal::Reborn => {
                worker.paused_until = clock.now + limits::UNHEALTHY_PAUSE_MS;
            }
            _ => {}
        }
        match reason {
            // The run, or a later one, has been there: the next poll tells its end.
            Refusal::Old => run.phase = Phase::Confirmed { since: clock.now },
            Refusal::Unknown => {
                let retry_at = Some(clock.now + limits::RETRY_MS);
                run.phase = Phase::Starting { retry_at, uncertain: true };
            }
            // Earlier orders went to a life that is over, or carried an earlier deadline.
            Refusal::Reborn | Refusal::Late => self.release(id, name, Proof::Refused),
            _ if uncertain => {
                let retry_at = Some(clock.now + limits::RETRY_MS);
                run.phase = Phase::Stopping { retry_at, confirmed: None };
            }
            _ => self.release(id, name, Proof::Refused),
        }
        self.report(Report::Refused { task: name, run: number, worker: id.clone(), reason });
    }

    pub(crate) fn stop_answered(
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
            Err(_) => {
                Phase::Stopping { retry_at: Some(clock.now + limits::RETRY_MS), confirmed: None }
            }
        };
    }

    /// Sends unanswered orders again.
    pub(crate) fn resend(&mut self, clock: Clock) {
        let due = |at: Option<u64>| at.is_some_and(|at| at <= clock.now);
        let mut again: Vec<(Arc<str>, task::Name)> = Vec::new();
        for (id, worker) in self.workers.iter().filter(|(_, worker)| worker.missed == 0) {
            for (name, run) in &worker.runs {
                match run.phase {
                    Phase::Starting { retry_at, .. } | Phase::Stopping { retry_at, .. }
                        if due(retry_at) =>
                    {
                        again.push((id.clone(), *name));
                    }
                    _ => {}
                }
            }
        }
        for (id, name) in again {
            self.resend_one(clock, &id, name);
        }
    }

    fn resend_one(&mut self, clock: Clock, id: &Arc<str>, name: task::Name) {
        let lease_ms = self.limits.lease_ms;
        let job = self.jobs.get(&name.job);
        let spec = job.map(|job| job.spec.clone());
        let checkpoint = job
            .and_then(|job| job.task(&name))
            .map(|task| task.checkpoint.clone())
            .unwrap_or_default();
        let Some(worker) = self.workers.get_mut(id) else { return };
        let lease_until = worker.grant(clock.now, lease_ms);
        let Some(run) = worker.runs.get_mut(&name) else { return };
        let number = run.number;
        let patient = clock.now < run.started + START_PATIENCE_MS;
        match (run.phase, spec, lease_until) {
            (Phase::Starting { uncertain, .. }, Some(spec), Some(lease_until)) if patient => {
                run.phase = Phase::Starting { retry_at: None, uncertain };
                self.actions.push(Action::Start {
                    worker: id.clone(),
                    task: name,
                    run: number,
                    spec,
                    lease_until,
                    checkpoint,
                });
            }
            (Phase::Starting { .. }, ..) => self.stop(id, name, StopReason::NoAnswer),
            _ => {
                run.phase = Phase::Stopping { retry_at: None, confirmed: None };
                self.actions.push(Action::Stop { worker: id.clone(), task: name, run: number });
            }
        }
    }

    /// Polls each worker of which no poll is under way at.
    pub(crate) fn poll(&mut self, clock: Clock) {
        let lease_ms = self.limits.lease_ms;
        let durable = self.durable;
        for (id, worker) in &mut self.workers {
            if worker.polling || worker.registration.is_none() {
                continue;
            }
            while worker.unrecorded.front().is_some_and(|&(_, change)| change <= durable) {
                let Some((number, _)) = worker.unrecorded.pop_front() else { break };
                worker.acknowledged = number;
            }
            // A poll would return at once with the ends that wait for their record.
            if !worker.unrecorded.is_empty() && clock.now < worker.poll_at {
                continue;
            }
            if worker.missed > 0 && clock.now < worker.poll_at {
                continue;
            }
            worker.polling = true;
            // A silent worker gets no longer lease: it would never be proven over.
            let lease_until =
                if worker.missed > 0 { None } else { worker.grant(clock.now, lease_ms) };
            let wait_ms = match worker.fenced {
                true if worker.is_shared() => limits::SHARED_POLL_WAIT_MS,
                true => limits::POLL_WAIT_MS,
                false => 0,
            };
            self.actions.push(Action::Poll {
                worker: id.clone(),
                acknowledged: worker.acknowledged,
                lease_until,
                wait_ms,
            });
        }
    }

    /// Releases the runs of workers whose lease has surely run out.
    pub(crate) fn expire(&mut self, clock: Clock) {
        let assumed = self.acquired_at
            + self.limits.owner_silence_ms
            + self.limits.lease_ms * 100 / (100 - limits::CLOCK_SLOW_PERCENT)
            + limits::LEASE_SLACK_MS;
        if !self.unfenced.is_empty() && clock.now >= assumed {
            self.unfenced.clear();
            self.unplaced = true;
        }
        let left: Vec<Arc<str>> = self
            .workers
            .iter()
            .filter(|(_, worker)| worker.has_left() && !worker.runs.is_empty())
            .map(|(id, _)| id.clone())
            .collect();
        for id in left {
            self.release_all(&id, WorkerState::Left, Proof::Left);
        }
        let lapsed: Vec<Arc<str>> = self
            .workers
            .iter()
            .filter(|(_, worker)| {
                worker.missed > 0
                    && !worker.runs.is_empty()
                    && worker.lapsed_at().is_some_and(|at| at <= clock.now)
            })
            .map(|(id, _)| id.clone())
            .collect();
        for id in lapsed {
            self.release_all(&id, WorkerState::Lapsed, Proof::Lapsed);
        }
    }

    /// Releases every run of a worker.
    pub(crate) fn release_all(&mut self, id: &Arc<str>, state: WorkerState, proof: Proof) {
        let Some(worker) = self.workers.get(id) else { return };
        let names: Vec<task::Name> = worker.runs.keys().copied().collect();
        let runs = names.len();
        self.report(Report::Worker { worker: id.clone(), state, runs });
        for name in names {
            self.release(id, name, proof);
        }
    }

    /// Takes a run that is proven over out of its worker, and lets its task wait again.
    pub(crate) fn release(&mut self, id: &Arc<str>, name: task::Name, proof: Proof) {
        let Some(run) = self.workers.get_mut(id).and_then(|worker| worker.remove(&name)) else {
            return;
        };
        self.unplaced = true;
        let report = Report::Released { task: name, run: run.number, worker: id.clone(), proof };
        self.report(report);
        self.requeue(name, id, run.number);
    }

    /// Lets a task wait again if `run` at the worker was its run.
    pub(crate) fn requeue(&mut self, name: task::Name, id: &Arc<str>, run: u32) {
        let Some(job) = self.jobs.get_mut(&name.job) else { return };
        let over = job.outcome.is_some();
        let Some(stage) = job.stage_mut(name.occurrence, name.step) else { return };
        let Some(task) = stage.tasks.get_mut(usize::from(name.index)) else { return };
        let active = Standing::Active { worker: id.clone(), run };
        if task.standing != active {
            return;
        }
        task.standing = Standing::Waiting;
        if !over {
            stage.waiting.insert(name.index);
        }
        if stage.step.gang {
            self.break_gang(name, run);
        }
    }

    /// Notes that another owner has the cell.
    pub(crate) fn lose(&mut self) {
        self.lost = true;
        self.actions.push(Action::Lost);
    }
}
