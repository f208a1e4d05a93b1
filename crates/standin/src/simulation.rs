//! Simulation of one worker: its runs, its slots and the resources that they use.

use super::*;

/// State of a simulated worker: its runs, its slots and the resources that they use.
#[derive(Debug)]
pub(crate) struct Simulation {
    pub(crate) behaviour: Behaviour,
    pub(crate) fault: faults::Fault,
    pub(crate) meter: usage::Meter,
    pub(crate) vm: config::Vm,
    clock: clock::Clock,
    /// Highest epoch seen for each cell.
    epochs: BTreeMap<cell::Id, cell::Epoch>,
    /// Identifies this process: when it started, in microseconds since the Unix epoch.
    incarnation: u64,
    ledger: Ledger,
    /// Runs that are over and not yet acknowledged.
    ended: BTreeMap<protocol::Run, protocol::End>,
    /// Runs in progress, at most one of each task.
    running: BTreeMap<task::Id, Execution>,
    /// The time up to which the runs have been simulated.
    advanced_to: Instant,
    /// Slots in use.
    slots: u32,
    started: Instant,
}

/// A run in progress.
#[derive(Debug)]
struct Execution {
    attempt: task::Attempt,
    class: Name,
    /// When the lease ends.
    deadline: Instant,
    /// Work done, in microseconds at full speed.
    done_us: f64,
    /// Whether the run fails at the next advance.
    fails: bool,
    /// Index of the run in the ledger.
    ledger_index: usize,
    /// Reserved resources.
    resources: Resources,
    /// Throttle: thousandths of its processors that it may use.
    share_milli: u32,
    /// Actual use, in thousandths of `resources`.
    use_milli: u32,
    /// Total work, in microseconds at full speed.
    work_us: f64,
}

/// An urgent request in a slot.
#[derive(Debug)]
pub(crate) struct Slot {
    /// Index of the request in the ledger.
    ledger_index: usize,
    service: Name,
    started: Instant,
    /// How long the request takes, with the slowdown by the runs at its start.
    pub(crate) duration: Duration,
}

impl Simulation {
    pub(crate) fn new(vm: config::Vm, behaviour: Behaviour, ledger: Ledger) -> Self {
        let clock = clock::Clock::start();
        let now = Instant::now();
        ledger.record_resources(&vm.name, &Resources::default(), &vm.resources);
        Self {
            clock,
            epochs: BTreeMap::new(),
            fault: faults::Fault::None,
            incarnation: clock.now(),
            ledger,
            meter: usage::Meter::new(now, Duration::from_millis(behaviour.usage_lag_ms)),
            behaviour,
            ended: BTreeMap::new(),
            running: BTreeMap::new(),
            advanced_to: now,
            slots: 0,
            started: now,
            vm,
        }
    }

    /// Advances the simulation to `now`: runs progress, finish, fail, or lose their lease. Does
    /// nothing during a freeze; the first advance after it covers the time in between.
    pub(crate) fn advance(&mut self, now: Instant) {
        let frozen = self.fault == faults::Fault::Freeze;
        if frozen {
            return;
        }
        let last = std::mem::replace(&mut self.advanced_to, now);
        let ends: Vec<_> = self
            .running
            .iter_mut()
            .filter_map(|(task, run)| run.advance(last, now).map(|end| (task.clone(), end)))
            .collect();
        for (task, (at, end)) in ends {
            self.end(&task, at, end);
        }
        if self.meter.is_due(now) {
            let runs = self.running.iter().map(Execution::usage).collect();
            self.meter.measure(now, runs);
        }
    }

    /// Executes the batch's commands, unless their validity is over, and returns a report. Returns
    /// the highest epoch seen instead if the batch comes from an older one.
    pub(crate) fn execute_batch(
        &mut self,
        batch: protocol::Batch,
    ) -> Result<protocol::Report, cell::Epoch> {
        let highest = self.epochs.entry(batch.cell.clone()).or_default();
        if batch.epoch < *highest {
            let is_start = |command: &&_| matches!(command, protocol::Command::Start { .. });
            self.ledger.count_stale_starts(batch.commands.iter().filter(is_start).count() as u64);
            return Err(*highest);
        }
        *highest = batch.epoch;
        if batch.validity.is_some_and(|validity| self.is_valid(&validity)) {
            let now = Instant::now();
            for command in batch.commands {
                self.execute(command, batch.epoch, now);
            }
        }
        Ok(self.report(&batch.cell))
    }

    /// Ends every run without an outcome, as the death of the process does.
    pub(crate) fn kill(&mut self) {
        let now = self.clock.now();
        for (_, run) in std::mem::take(&mut self.running) {
            self.ledger.end_run(run.ledger_index, now, None);
        }
    }

    pub(crate) fn end_slot(&mut self, slot: Slot) {
        self.slots = self.slots.saturating_sub(1);
        self.meter.end_request(&slot.service, slot.started.elapsed());
        self.ledger.end_request(slot.ledger_index, self.clock.now());
    }

    pub(crate) fn is_idle(&self) -> bool {
        self.running.is_empty() && self.slots == 0
    }

    pub(crate) fn report(&mut self, cell: &cell::Id) -> protocol::Report {
        let now = Instant::now();
        let (age_ms, usage) = self.meter.delayed_usage(now);
        let of_cell = |task: &task::Id| &task.job.cell == cell;
        let running = self.running.iter().filter(|(task, _)| of_cell(task));
        let ended = self.ended.iter().filter(|(run, _)| of_cell(&run.task));
        protocol::Report {
            age_ms,
            clock_ms: self.clock_ms(),
            epoch: self.epochs.get(cell).copied().unwrap_or_default(),
            incarnation: self.incarnation,
            over: ended
                .map(|(run, end)| protocol::Over { end: end.clone(), run: run.clone() })
                .collect(),
            running: running.map(|(task, run)| run.report(task, now)).collect(),
            usage,
        }
    }

    /// Starts a request in a free slot, or returns the reason of the refusal.
    pub(crate) fn start_slot(
        &mut self,
        request: ledger::Request,
        work_ms: Option<u64>,
    ) -> Result<Slot, &'static str> {
        if !self.vm.services.contains(&request.service) {
            return Err("not-hosted");
        }
        if self.slots >= self.vm.slots {
            return Err("no-slot");
        }
        self.slots += 1;
        self.ledger.record_slots(&self.vm.name, self.slots);
        self.meter.start_request(&request.service);
        let work_us = 1_000 * work_ms.unwrap_or(self.behaviour.service_ms);
        let duration =
            Duration::from_micros(work_us * self.slowdown_milli(&request.service) / 1_000);
        let service = request.service.clone();
        let ledger_index = self.ledger.start_request(request);
        Ok(Slot { ledger_index, service, started: Instant::now(), duration })
    }

    fn execute(&mut self, command: protocol::Command, epoch: cell::Epoch, now: Instant) {
        match command {
            protocol::Command::Acknowledge { run } => {
                self.ended.remove(&run);
            }
            protocol::Command::Checkpoint { run } => {
                if let Some(execution) = self.execution(&run) {
                    let token = format!("{} {}", execution.progress_milli(), run.task);
                    self.end(&run.task, now, protocol::End::Checkpointed { token });
                }
            }
            protocol::Command::Renew { lease_ms, run } => {
                if let Some(execution) = self.execution(&run) {
                    execution.deadline = now + Duration::from_millis(lease_ms);
                }
            }
            protocol::Command::Start { .. } => self.start(command, epoch, now),
            protocol::Command::Stop { run } => {
                if self.execution(&run).is_some() {
                    self.end(&run.task, now, protocol::End::Stopped);
                }
            }
            protocol::Command::Throttle { run, share_milli } => {
                if let Some(execution) = self.execution(&run) {
                    execution.share_milli = share_milli.clamp(1, 1_000);
                }
            }
        }
    }

    /// Returns the run if it is in progress; another attempt of its task doesn't count.
    fn execution(&mut self, run: &protocol::Run) -> Option<&mut Execution> {
        self.running.get_mut(&run.task).filter(|execution| execution.attempt == run.attempt)
    }

    fn end(&mut self, task: &task::Id, at: Instant, end: protocol::End) {
        if let Some(execution) = self.running.remove(task) {
            self.ledger.end_run(execution.ledger_index, self.clock.at(at), Some(end.clone()));
            let run = protocol::Run { attempt: execution.attempt, task: task.clone() };
            self.ended.insert(run, end);
        }
    }

    /// Returns a request's time in thousandths of its time on an idle worker.
    fn slowdown_milli(&self, service: &Name) -> u64 {
        let added_milli = |run: &Execution| {
            self.behaviour.slowdown_milli(service, &run.class) * u64::from(run.share_milli) / 1_000
        };
        1_000 + self.running.values().map(added_milli).sum::<u64>()
    }

    fn start(&mut self, command: protocol::Command, epoch: cell::Epoch, now: Instant) {
        let protocol::Command::Start {
            class,
            checkpoint,
            lease_ms,
            payload,
            resources,
            run_ms,
            run,
        } = command
        else {
            return;
        };
        if self.execution(&run).is_some() || self.ended.contains_key(&run) {
            return;
        }
        if let Some(reason) = self.refusal_reason(&run.task, &resources) {
            self.ended.insert(run, protocol::End::Refused { reason: reason.into() });
            return;
        }
        let payload = payload::Payload::from(payload.as_str());
        let work_us = 1_000.0 * payload.run_ms.unwrap_or(run_ms) as f64;
        let ledger_index = self.ledger.start_run(ledger::Run {
            checkpoint: checkpoint.clone(),
            end: None,
            end_us: None,
            epoch,
            run: run.clone(),
            start_us: self.clock.at(now),
            vm: self.vm.name.clone(),
        });
        let execution = Execution {
            attempt: run.attempt,
            class,
            deadline: now + Duration::from_millis(lease_ms),
            done_us: work_us * checkpoint_share(checkpoint.as_deref()),
            fails: payload.fail || self.fault == faults::Fault::FailEverything,
            ledger_index,
            resources,
            share_milli: 1_000,
            use_milli: payload.use_milli.unwrap_or(1_000),
            work_us,
        };
        self.running.insert(run.task, execution);
        self.ledger.record_resources(&self.vm.name, &self.reserved(), &self.vm.resources);
    }

    /// Returns why a start of the task is refused, if it is.
    fn refusal_reason(&self, task: &task::Id, resources: &Resources) -> Option<&'static str> {
        if self.running.contains_key(task) {
            return Some("already-running");
        }
        let fits = (self.reserved() + *resources).fits(&self.vm.resources);
        (!fits).then_some("no-room")
    }

    /// Returns the time since the process started, in milliseconds.
    fn clock_ms(&self) -> u64 {
        self.started.elapsed().as_millis() as u64
    }

    /// Returns whether commands of this validity may still be executed.
    fn is_valid(&self, validity: &protocol::Validity) -> bool {
        validity.incarnation == self.incarnation && self.clock_ms() <= validity.until_ms
    }

    /// Returns the resources reserved by all runs in progress.
    fn reserved(&self) -> Resources {
        self.running.values().fold(Resources::default(), |sum, run| sum + run.resources)
    }
}

impl Execution {
    /// Advances the run from `from` to `to`, and returns when and how it ended, if it did.
    fn advance(&mut self, from: Instant, to: Instant) -> Option<(Instant, protocol::End)> {
        if self.fails {
            let reason = "the task exited with status 1".into();
            return Some((from, protocol::End::Failed { reason }));
        }
        let speed = f64::from(self.share_milli) / 1_000.0;
        let remaining =
            Duration::from_micros(((self.work_us - self.done_us).max(0.0) / speed) as u64);
        let finished = from + remaining;
        if finished <= to.min(self.deadline) {
            return Some((finished, protocol::End::Finished));
        }
        if self.deadline <= to {
            return Some((self.deadline, protocol::End::Lapsed));
        }
        self.done_us += to.saturating_duration_since(from).as_micros() as f64 * speed;
        None
    }

    fn progress_milli(&self) -> u32 {
        match self.work_us > 0.0 {
            true => (self.done_us * 1_000.0 / self.work_us) as u32,
            false => 0,
        }
    }

    fn report(&self, task: &task::Id, now: Instant) -> protocol::Running {
        let lease = self.deadline.saturating_duration_since(now);
        protocol::Running {
            lease_ms: lease.as_millis() as u64,
            progress_milli: self.progress_milli(),
            run: protocol::Run { attempt: self.attempt, task: task.clone() },
        }
    }

    fn usage((task, execution): (&task::Id, &Self)) -> protocol::RunUsage {
        let use_milli = u64::from(execution.use_milli);
        let reserved = execution.resources;
        let processors_milli = reserved.processors_milli * u64::from(execution.share_milli) / 1_000;
        protocol::RunUsage {
            resources: Resources {
                accelerators: reserved.accelerators,
                memory_mib: reserved.memory_mib * use_milli / 1_000,
                processors_milli: processors_milli * use_milli / 1_000,
            },
            run: protocol::Run { attempt: execution.attempt, task: task.clone() },
        }
    }
}

/// Returns the share of the work that is done in a checkpoint (0 to 1), 0 without one.
fn checkpoint_share(checkpoint: Option<&str>) -> f64 {
    let milli: f64 = checkpoint
        .and_then(|token| token.split_once(' '))
        .and_then(|(milli, _)| milli.parse().ok())
        .unwrap_or(0.0);
    milli / 1_000.0
}
