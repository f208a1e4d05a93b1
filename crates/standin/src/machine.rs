//! The runs on one worker, and what they hold.

use super::*;

/// The runs on one worker, and what they hold.
#[derive(Debug)]
pub(crate) struct Machine {
    pub(crate) behaviour: Behaviour,
    pub(crate) fault: faults::Fault,
    pub(crate) meter: usage::Meter,
    pub(crate) vm: config::Vm,
    clock: clock::Clock,
    /// Highest epoch seen for each cell.
    epochs: BTreeMap<cell::Id, cell::Epoch>,
    incarnation: u64,
    ledger: Ledger,
    /// Runs that are over and not yet acknowledged.
    over: BTreeMap<protocol::Run, protocol::End>,
    /// At most one run of each task.
    running: BTreeMap<task::Id, Active>,
    seen: Instant,
    /// Slots in use.
    slots: u32,
    started: Instant,
}

/// A run in progress.
#[derive(Debug)]
struct Active {
    attempt: task::Attempt,
    class: Name,
    deadline: Instant,
    /// Work done, in microseconds at full speed.
    done_us: f64,
    fails: bool,
    /// Its place in the ledger.
    index: usize,
    resources: Resources,
    /// Thousandths of its processors that it may use.
    share_milli: u32,
    /// What it really uses, in thousandths of `resources`.
    use_milli: u32,
    /// All its work, in microseconds at full speed.
    work_us: f64,
}

/// An urgent request in a slot.
#[derive(Debug)]
pub(crate) struct Slot {
    index: usize,
    service: Name,
    started: Instant,
    /// How long the request takes.
    pub(crate) work: Duration,
}

impl Machine {
    pub(crate) fn new(vm: config::Vm, behaviour: Behaviour, ledger: Ledger) -> Self {
        let clock = clock::Clock::start();
        let now = Instant::now();
        ledger.use_resources(&vm.name, &Resources::default(), &vm.resources);
        Self {
            clock,
            epochs: BTreeMap::new(),
            fault: faults::Fault::None,
            incarnation: clock.now(),
            ledger,
            meter: usage::Meter::new(now, Duration::from_millis(behaviour.usage_lag_ms)),
            behaviour,
            over: BTreeMap::new(),
            running: BTreeMap::new(),
            seen: now,
            slots: 0,
            started: now,
            vm,
        }
    }

    /// Lets time pass: runs get on, finish, fail, or lose their lease.
    pub(crate) fn advance(&mut self, now: Instant) {
        let frozen = self.fault == faults::Fault::Freeze;
        if frozen {
            return;
        }
        let seen = std::mem::replace(&mut self.seen, now);
        let ends: Vec<_> = self
            .running
            .iter_mut()
            .filter_map(|(task, run)| run.advance(seen, now).map(|end| (task.clone(), end)))
            .collect();
        for (task, (at, end)) in ends {
            self.end(&task, at, end);
        }
        if self.meter.is_due(now) {
            let runs = self.running.iter().map(Active::usage).collect();
            self.meter.measure(now, runs);
        }
    }

    /// Carries out commands that are not too late and reports, or returns the higher epoch that was seen.
    pub(crate) fn carry_out(
        &mut self,
        batch: protocol::Batch,
    ) -> Result<protocol::Report, cell::Epoch> {
        let highest = self.epochs.entry(batch.cell.clone()).or_default();
        if batch.epoch < *highest {
            let is_start = |command: &&_| matches!(command, protocol::Command::Start { .. });
            self.ledger.refuse_starts(batch.commands.iter().filter(is_start).count() as u64);
            return Err(*highest);
        }
        *highest = batch.epoch;
        if batch.validity.is_some_and(|validity| self.holds(&validity)) {
            let now = Instant::now();
            for command in batch.commands {
                self.command(command, batch.epoch, now);
            }
        }
        Ok(self.report(&batch.cell))
    }

    /// Ends everything as the process's death does.
    pub(crate) fn die(&mut self) {
        let now = self.clock.now();
        for (_, run) in std::mem::take(&mut self.running) {
            self.ledger.end_run(run.index, now, None);
        }
    }

    pub(crate) fn end_slot(&mut self, slot: Slot) {
        self.slots = self.slots.saturating_sub(1);
        self.meter.end(&slot.service, slot.started.elapsed());
        self.ledger.end_request(slot.index, self.clock.now());
    }

    pub(crate) fn is_idle(&self) -> bool {
        self.running.is_empty() && self.slots == 0
    }

    pub(crate) fn report(&mut self, cell: &cell::Id) -> protocol::Report {
        let now = Instant::now();
        let (age_ms, usage) = self.meter.told(now);
        let of_cell = |task: &task::Id| &task.job.cell == cell;
        let running = self.running.iter().filter(|(task, _)| of_cell(task));
        let over = self.over.iter().filter(|(run, _)| of_cell(&run.task));
        protocol::Report {
            age_ms,
            clock_ms: self.clock_ms(),
            epoch: self.epochs.get(cell).copied().unwrap_or_default(),
            incarnation: self.incarnation,
            over: over
                .map(|(run, end)| protocol::Over { end: end.clone(), run: run.clone() })
                .collect(),
            running: running.map(|(task, run)| run.report(task, now)).collect(),
            usage,
        }
    }

    /// Takes a slot for a request that runs from now on, or returns the guard that refused.
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
        self.ledger.use_slots(&self.vm.name, self.slots);
        self.meter.begin(&request.service);
        let work_us = 1_000 * work_ms.unwrap_or(self.behaviour.service_ms);
        let work = Duration::from_micros(work_us * self.slowdown_milli(&request.service) / 1_000);
        let service = request.service.clone();
        let index = self.ledger.start_request(request);
        Ok(Slot { index, service, started: Instant::now(), work })
    }

    fn command(&mut self, command: protocol::Command, epoch: cell::Epoch, now: Instant) {
        match command {
            protocol::Command::Acknowledge { run } => {
                self.over.remove(&run);
            }
            protocol::Command::Checkpoint { run } => {
                if let Some(active) = self.active(&run) {
                    let token = format!("{} {}", active.progress_milli(), run.task);
                    self.end(&run.task, now, protocol::End::Checkpointed { token });
                }
            }
            protocol::Command::Renew { lease_ms, run } => {
                if let Some(active) = self.active(&run) {
                    active.deadline = now + Duration::from_millis(lease_ms);
                }
            }
            protocol::Command::Start { .. } => self.start(command, epoch, now),
            protocol::Command::Stop { run } => {
                if self.active(&run).is_some() {
                    self.end(&run.task, now, protocol::End::Stopped);
                }
            }
            protocol::Command::Throttle { run, share_milli } => {
                if let Some(active) = self.active(&run) {
                    active.share_milli = share_milli.clamp(1, 1_000);
                }
            }
        }
    }

    fn active(&mut self, run: &protocol::Run) -> Option<&mut Active> {
        self.running.get_mut(&run.task).filter(|active| active.attempt == run.attempt)
    }

    fn end(&mut self, task: &task::Id, at: Instant, end: protocol::End) {
        if let Some(active) = self.running.remove(task) {
            self.ledger.end_run(active.index, self.clock.at(at), Some(end.clone()));
            let run = protocol::Run { attempt: active.attempt, task: task.clone() };
            self.over.insert(run, end);
        }
    }

    fn slowdown_milli(&self, service: &Name) -> u64 {
        let each = |run: &Active| {
            self.behaviour.slowdown_milli(service, &run.class) * u64::from(run.share_milli) / 1_000
        };
        1_000 + self.running.values().map(each).sum::<u64>()
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
        if self.active(&run).is_some() || self.over.contains_key(&run) {
            return;
        }
        if let Some(reason) = self.guard(&run.task, &resources) {
            self.over.insert(run, protocol::End::Refused { reason: reason.into() });
            return;
        }
        let payload = payload::Payload::from(payload.as_str());
        let work_us = 1_000.0 * payload.run_ms.unwrap_or(run_ms) as f64;
        let index = self.ledger.start_run(ledger::Run {
            checkpoint: checkpoint.clone(),
            end: None,
            end_us: None,
            epoch,
            run: run.clone(),
            start_us: self.clock.at(now),
            vm: self.vm.name.clone(),
        });
        let active = Active {
            attempt: run.attempt,
            class,
            deadline: now + Duration::from_millis(lease_ms),
            done_us: work_us * resumed(checkpoint.as_deref()),
            fails: payload.fail || self.fault == faults::Fault::FailEverything,
            index,
            resources,
            share_milli: 1_000,
            use_milli: payload.use_milli.unwrap_or(1_000),
            work_us,
        };
        self.running.insert(run.task, active);
        self.ledger.use_resources(&self.vm.name, &self.used(), &self.vm.resources);
    }

    /// Returns the guard that refuses to start the task.
    fn guard(&self, task: &task::Id, resources: &Resources) -> Option<&'static str> {
        if self.running.contains_key(task) {
            return Some("already-running");
        }
        let fits = (self.used() + *resources).fits(&self.vm.resources);
        (!fits).then_some("no-room")
    }

    /// Returns the time since the process started, in milliseconds.
    fn clock_ms(&self) -> u64 {
        self.started.elapsed().as_millis() as u64
    }

    /// Returns whether commands may still be carried out.
    fn holds(&self, validity: &protocol::Validity) -> bool {
        validity.incarnation == self.incarnation && self.clock_ms() <= validity.until_ms
    }

    fn used(&self) -> Resources {
        self.running.values().fold(Resources::default(), |sum, run| sum + run.resources)
    }
}

impl Active {
    /// Lets time pass, and returns when and how the run ended, if it did.
    fn advance(&mut self, from: Instant, to: Instant) -> Option<(Instant, protocol::End)> {
        if self.fails {
            let reason = "the task exited with status 1".into();
            return Some((from, protocol::End::Failed { reason }));
        }
        let speed = f64::from(self.share_milli) / 1_000.0;
        let left = Duration::from_micros(((self.work_us - self.done_us).max(0.0) / speed) as u64);
        let finished = from + left;
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
        let left = self.deadline.saturating_duration_since(now);
        protocol::Running {
            lease_ms: left.as_millis() as u64,
            progress_milli: self.progress_milli(),
            run: protocol::Run { attempt: self.attempt, task: task.clone() },
        }
    }

    fn usage((task, active): (&task::Id, &Self)) -> protocol::RunUsage {
        let share = u64::from(active.use_milli);
        let used = active.resources;
        let processors = used.processors_milli * u64::from(active.share_milli) / 1_000;
        protocol::RunUsage {
            resources: Resources {
                accelerators: used.accelerators,
                memory_mib: used.memory_mib * share / 1_000,
                processors_milli: processors * share / 1_000,
            },
            run: protocol::Run { attempt: active.attempt, task: task.clone() },
        }
    }
}

/// Returns the share of the work that a checkpoint holds, 0 without one.
fn resumed(checkpoint: Option<&str>) -> f64 {
    let milli: f64 = checkpoint
        .and_then(|token| token.split_once(' '))
        .and_then(|(milli, _)| milli.parse().ok())
        .unwrap_or(0.0);
    milli / 1_000.0
}
