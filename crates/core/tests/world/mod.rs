//! A simulation of the schedulers of one cell, a key-value service and workers in virtual time,
//! with faults.

#![allow(clippy::unwrap_used, dead_code, unreachable_pub)]

use {
    oleanderstage_core::{
        Answer, Config, Faults, Holder, Instant, Key, Listing, Name, Owner, Relief, Resources,
        Stage, Ticket, cell, config, contact, job, lease,
        owner::{Action, Call, Event},
        store, task, worker,
    },
    rand::{Rng, SeedableRng},
    rand_pcg::Pcg64Mcg,
    std::{
        collections::{BTreeMap, BTreeSet, VecDeque},
        fmt::Write,
        sync::Arc,
        time::Duration,
    },
};

pub use {fake_store::Store, fake_worker::Worker};

pub mod fake_store;
pub mod fake_worker;

pub const TICK: Duration = Duration::from_millis(100);
const ROUND_TRIP: Duration = Duration::from_millis(2);
const LIST_PERIOD: Duration = Duration::from_secs(5);
const LIST_LAG: Duration = Duration::from_secs(20);

/// A fault, or a call to the owner.
#[derive(Clone, Debug)]
pub enum Incident {
    Cancel(usize),
    CutStore { index: usize, span: Duration },
    CutWorker { vm: usize, span: Duration },
    DelayBatches(Duration),
    Evict,
    KillScheduler { index: usize, span: Duration },
    KillWorker(usize),
    Leave { index: usize, span: Duration },
    LoseAnswers(Duration),
    DelayWrites(Duration),
    PauseScheduler { index: usize, span: Duration },
    PauseWorker { vm: usize, span: Duration },
    RestartWorker(usize),
    StoreDown(Duration),
    Submit { tasks: u32, processors: u64 },
}

pub struct Scheduler {
    pub alive: bool,
    inbox: VecDeque<Event>,
    incarnation: u64,
    outbox: Vec<Action>,
    pub owner: Owner,
    paused_until: Instant,
    store_cut_until: Instant,
}

#[derive(Clone, Debug)]
enum Delivery {
    Batch { batch: worker::Batch, from: (usize, u64), id: u64, vm: usize },
    Event { event: Event, to: (usize, u64) },
    ListVms,
    Restart(usize),
    Resume(usize),
    StoreWrite(store::Txn),
    Tick,
    Timeout { epoch: cell::Epoch, from: (usize, u64), id: u64, vm: usize },
    Incident(Incident),
}

pub struct World {
    pub answers: BTreeMap<Ticket, Answer>,
    /// Number of batches sent.
    pub batches: u64,
    pub faults: Faults,
    pub jobs: Vec<(job::Id, job::Spec, Ticket)>,
    pub now: Instant,
    pub random: Pcg64Mcg,
    pub schedulers: Vec<Scheduler>,
    pub store: Store,
    /// Events and actions, one per line; empty unless `traced`.
    pub trace: String,
    pub traced: bool,
    pub workers: Vec<Worker>,
    config: Arc<Config>,
    delay_batches_until: Instant,
    events: BTreeMap<(Instant, u64), Delivery>,
    pending: BTreeSet<u64>,
    serial: u64,
    tickets: u64,
    /// Last traced text of each repeated exchange.
    last_traced: BTreeMap<String, String>,
}

pub fn name(text: &str) -> Name {
    Name::try_from(text).unwrap()
}

pub fn cell_id() -> cell::Id {
    cell::Id { index: 0, zone: name("kigali-1") }
}

pub fn amount(processors: u64) -> Resources {
    Resources {
        accelerators: 0,
        memory_mib: processors * 1_024,
        processors_milli: processors * 1_000,
    }
}

/// Returns a job of small tasks, each with a fifth of a core.
pub fn small(tasks: u32, run_ms: u64) -> job::Spec {
    let resources = Resources { accelerators: 0, memory_mib: 100, processors_milli: 200 };
    job::Spec { resources, ..spec(tasks, 1, run_ms) }
}

pub fn spec(tasks: u32, processors: u64, run_ms: u64) -> job::Spec {
    job::Spec {
        class: name("render"),
        payload: "edition".into(),
        resources: amount(processors),
        run_ms,
        tasks,
        team: name("news"),
    }
}

impl World {
    /// Builds a world with these numbers of schedulers and of workers with 4 processors each.
    pub fn new(seed: u64, schedulers: usize, workers: usize, faults: Faults) -> Self {
        let vms: Vec<config::Vm> = (0..workers).map(vm).collect();
        let teams = vec![config::Team { name: name("news"), quota: amount(100_000) }];
        let classes = vec![config::Class { checkpoints: true, name: name("render") }];
        let config = Arc::new(Config { classes, teams, vms, ..Config::default() });
        let mut world = Self {
            answers: BTreeMap::new(),
            batches: 0,
            config,
            delay_batches_until: Instant::default(),
            events: BTreeMap::new(),
            faults,
            jobs: Vec::new(),
            now: Instant::from_millis(1_000),
            pending: BTreeSet::new(),
            random: Pcg64Mcg::seed_from_u64(seed),
            schedulers: Vec::new(),
            serial: 0,
            store: Store::default(),
            tickets: 0,
            last_traced: BTreeMap::new(),
            trace: String::new(),
            traced: false,
            workers: (0..workers)
                .map(|_| Worker::new(amount(4), faults != Faults::NoEpochCheck))
                .collect(),
        };
        for index in 0..schedulers {
            let scheduler = world.scheduler(index, index as u64 + 1);
            world.schedulers.push(scheduler);
            world.configure(index);
        }
        world.after(Duration::ZERO, Delivery::Tick);
        world.after(Duration::ZERO, Delivery::ListVms);
        world
    }

    pub fn with_trace(mut self) -> Self {
        self.traced = true;
        self
    }

    /// Schedules an incident after a delay.
    pub fn schedule(&mut self, after: Duration, incident: Incident) {
        self.after(after, Delivery::Incident(incident));
    }

    /// Advances virtual time by `span`.
    pub fn run(&mut self, span: Duration) {
        let end = self.now + span;
        while let Some(entry) = self.events.first_entry() {
            if entry.key().0 > end {
                break;
            }
            let ((at, _), delivery) = entry.remove_entry();
            self.now = at;
            self.workers.iter_mut().for_each(|worker| worker.advance(at));
            self.deliver(delivery);
        }
        self.now = end;
    }

    pub fn submit(&mut self, spec: job::Spec) -> job::Id {
        let id = job::Id { cell: cell_id(), serial: self.jobs.len() as u128 + 1 };
        self.jobs.push((id.clone(), spec, Ticket(0)));
        self.resubmit(self.jobs.len() - 1);
        id
    }

    pub fn cancel(&mut self, id: &job::Id) -> Ticket {
        self.call(Call::Cancel(id.clone()))
    }

    /// Returns the scheduler that owns the cell.
    pub fn owner(&self) -> Option<&Scheduler> {
        self.schedulers.iter().find(|s| s.alive && s.owner.epoch(self.now).is_some())
    }

    pub fn status(&self, id: &job::Id) -> Option<job::Status> {
        self.owner()?.owner.ledger()?.status(id)
    }

    /// Ends every fault and resubmits jobs that were not accepted, until every job is over or
    /// `span` has passed.
    pub fn settle(&mut self, span: Duration) {
        self.store.heal();
        self.schedulers.iter_mut().for_each(|s| s.store_cut_until = Instant::default());
        self.delay_batches_until = Instant::default();
        self.workers.iter_mut().for_each(Worker::heal);
        let end = self.now + span;
        while self.now < end && !self.is_settled() {
            for index in 0..self.jobs.len() {
                if !self.accepted(index) {
                    self.resubmit(index);
                }
            }
            self.run(Duration::from_secs(5));
        }
    }

    pub fn accepted(&self, index: usize) -> bool {
        matches!(self.answers.get(&self.jobs[index].2), Some(Answer::Done))
    }

    fn is_settled(&self) -> bool {
        let over =
            |id| self.status(id).is_some_and(|s| s.state != job::State::Open && s.running == 0);
        self.jobs.iter().enumerate().all(|(index, (id, ..))| self.accepted(index) && over(id))
    }

    fn after(&mut self, span: Duration, delivery: Delivery) {
        self.serial += 1;
        self.events.insert((self.now + span, self.serial), delivery);
    }

    /// Submits a job again, as a caller does that has received no answer.
    fn resubmit(&mut self, index: usize) {
        let (id, spec, _) = self.jobs[index].clone();
        self.jobs[index].2 = self.call(Call::Submit { id, spec });
    }

    fn call(&mut self, call: Call) -> Ticket {
        self.tickets += 1;
        let ticket = Ticket(self.tickets);
        let owning = |s: &Scheduler| s.alive && s.owner.epoch(self.now).is_some();
        let index = self.schedulers.iter().position(owning).unwrap_or(0);
        let to = (index, self.schedulers[index].incarnation);
        self.after(ROUND_TRIP / 2, Delivery::Event { event: Event::Call { call, ticket }, to });
        ticket
    }

    fn configure(&mut self, index: usize) {
        let vms: Arc<[config::Vm]> = self.config.vms.clone().into();
        let event = Event::Configured { config: self.config.clone(), vms };
        self.event((index, self.schedulers[index].incarnation), event);
    }

    fn deliver(&mut self, delivery: Delivery) {
        match delivery {
            Delivery::Batch { batch, from, id, vm } => self.batch(batch, from, id, vm),
            Delivery::Event { event, to } => self.event(to, event),
            Delivery::ListVms => self.list_vms(),
            Delivery::Restart(index) => {
                let incarnation = self.schedulers[index].incarnation + 100;
                self.schedulers[index] = self.scheduler(index, incarnation);
                self.configure(index);
                self.trace_line(&format!("s{index} restarts"));
            }
            Delivery::Resume(index) => self.resume(index),
            Delivery::StoreWrite(txn) => {
                self.store.apply(self.now, &txn);
            }
            Delivery::Tick => {
                for index in 0..self.schedulers.len() {
                    let to = (index, self.schedulers[index].incarnation);
                    self.event(to, Event::Tick);
                }
                self.after(TICK, Delivery::Tick);
            }
            Delivery::Timeout { epoch, from, id, vm } => {
                if self.pending.remove(&id) {
                    let vm = vm_name(vm);
                    self.event(from, Event::Unreached { epoch, vm });
                }
            }
            Delivery::Incident(incident) => self.apply_incident(incident),
        }
    }

    fn batch(&mut self, batch: worker::Batch, from: (usize, u64), id: u64, vm: usize) {
        let worker = &mut self.workers[vm];
        if worker.paused_until > self.now {
            let wait = Duration::from_micros(worker.paused_until.0 - self.now.0);
            return self.after(wait, Delivery::Batch { batch, from, id, vm });
        }
        if worker.dead || worker.cut_until > self.now {
            return;
        }
        let epoch = batch.epoch;
        let event = match worker.handle_batch(self.now, &batch) {
            Some(report) => Event::Reported { epoch, report, vm: vm_name(vm) },
            None => Event::Stale { epoch, vm: vm_name(vm) },
        };
        if self.pending.remove(&id) {
            self.after(ROUND_TRIP / 2, Delivery::Event { event, to: from });
        }
    }

    fn event(&mut self, (index, incarnation): (usize, u64), event: Event) {
        let scheduler = &mut self.schedulers[index];
        if !scheduler.alive || scheduler.incarnation != incarnation {
            return;
        }
        if scheduler.paused_until > self.now {
            if event != Event::Tick {
                scheduler.inbox.push_back(event);
            }
            return;
        }
        if let Some(text) = describe_event(&event).filter(|_| self.traced) {
            self.trace_exchange(
                &format!("s{index} <"),
                &text,
                matches!(event, Event::Reported { .. }),
            );
        }
        let actions = self.schedulers[index].owner.handle(self.now, event);
        for action in actions {
            self.act(index, action);
        }
    }

    fn act(&mut self, index: usize, action: Action) {
        if self.traced {
            let text = describe_action(&action);
            let repeats = match &action {
                Action::Send { batch, .. } => batch.commands.is_empty(),
                _ => false,
            };
            self.trace_exchange(&format!("s{index} >"), &text, repeats);
        }
        let from = (index, self.schedulers[index].incarnation);
        match action {
            Action::Answer { answer, ticket } => {
                self.answers.insert(ticket, answer);
            }
            Action::Note(_) => (),
            Action::Send { batch, vm } => self.send(from, batch, &vm),
            Action::Store { call, request } => self.call_store(from, call, request),
        }
    }

    fn send(&mut self, from: (usize, u64), batch: worker::Batch, vm: &Name) {
        let vm: usize = vm.as_str().trim_start_matches("vm-").parse().unwrap();
        self.serial += 1;
        self.batches += 1;
        let id = self.serial;
        self.pending.insert(id);
        let delay = match self.now < self.delay_batches_until {
            true => Duration::from_millis(self.random.random_range(0..60_000)),
            false => ROUND_TRIP / 2,
        };
        let epoch = batch.epoch;
        self.after(contact::BATCH_VALIDITY, Delivery::Timeout { epoch, from, id, vm });
        self.after(delay, Delivery::Batch { batch, from, id, vm });
    }

    fn call_store(&mut self, to: (usize, u64), call: u64, request: store::Request) {
        let commit = match &request {
            store::Request::Commit(txn) if self.now < self.store.delay_until => Some(txn.clone()),
            _ => None,
        };
        let (reply, span) = match commit {
            Some(txn) => {
                let late = Duration::from_millis(self.random.random_range(0..8_000));
                self.after(late, Delivery::StoreWrite(txn));
                (store::Reply::Doubt, Duration::from_secs(2))
            }
            None if self.now < self.schedulers[to.0].store_cut_until => Store::unanswered(&request),
            None => self.store.answer(self.now, &request),
        };
        let event = Event::Store { call, reply };
        self.after(span, Delivery::Event { event, to });
    }

    fn list_vms(&mut self) {
        let now = self.now;
        let listed: Vec<Listing> = (0..self.workers.len())
            .filter(|vm| self.workers[*vm].died.is_none_or(|died| now < died + LIST_LAG))
            .map(|vm| Listing { leaving: self.workers[vm].leaving, vm: vm_name(vm) })
            .collect();
        for index in 0..self.schedulers.len() {
            let to = (index, self.schedulers[index].incarnation);
            self.event(to, Event::Listed(listed.clone()));
        }
        self.after(LIST_PERIOD, Delivery::ListVms);
    }

    fn resume(&mut self, index: usize) {
        let scheduler = &mut self.schedulers[index];
        if scheduler.paused_until > self.now || !scheduler.alive {
            return;
        }
        let to = (index, scheduler.incarnation);
        let inbox = std::mem::take(&mut scheduler.inbox);
        for action in std::mem::take(&mut scheduler.outbox) {
            self.act(index, action);
        }
        inbox.into_iter().for_each(|event| self.event(to, event));
    }

    fn scheduler(&self, index: usize, incarnation: u64) -> Scheduler {
        let scheduler = name(&format!("scheduler-{index}"));
        let holder = Holder { epoch: cell::Epoch(0), incarnation, scheduler };
        Scheduler {
            alive: true,
            inbox: VecDeque::new(),
            incarnation,
            outbox: Vec::new(),
            owner: Owner::new(cell_id(), holder, index as u32, self.faults).unwrap(),
            paused_until: Instant::default(),
            store_cut_until: Instant::default(),
        }
    }

    fn apply_incident(&mut self, incident: Incident) {
        self.trace_line(&format!("! {incident:?}"));
        let now = self.now;
        match incident {
            Incident::Cancel(index) => {
                if let Some((id, ..)) = self.jobs.get(index).cloned() {
                    self.cancel(&id);
                }
            }
            Incident::CutStore { index, span } => {
                self.schedulers[index].store_cut_until = now + span
            }
            Incident::CutWorker { vm, span } => self.workers[vm].cut_until = now + span,
            Incident::DelayBatches(span) => self.delay_batches_until = now + span,
            Incident::DelayWrites(span) => self.store.delay_until = now + span,
            Incident::Evict => self.evict(),
            Incident::KillScheduler { index, span } => {
                self.schedulers[index].alive = false;
                self.after(span, Delivery::Restart(index));
            }
            Incident::KillWorker(vm) => self.workers[vm].die(now),
            Incident::Leave { index, span } => {
                let to = (index, self.schedulers[index].incarnation);
                self.event(to, Event::Leave);
                self.after(span, Delivery::Restart(index));
            }
            Incident::LoseAnswers(span) => self.store.lose_until = now + span,
            Incident::PauseScheduler { index, span } => self.pause(index, span),
            Incident::PauseWorker { vm, span } => self.workers[vm].paused_until = now + span,
            Incident::RestartWorker(vm) => self.workers[vm].restart(now),
            Incident::StoreDown(span) => self.store.down_until = now + span,
            Incident::Submit { tasks, processors } => {
                let run_ms = self.random.random_range(1_000..60_000);
                self.submit(spec(tasks, processors, run_ms));
            }
        }
    }

    /// Pauses a scheduler after a decision and before its actions.
    fn pause(&mut self, index: usize, span: Duration) {
        let now = self.now;
        let scheduler = &mut self.schedulers[index];
        if !scheduler.alive || scheduler.paused_until > now {
            return;
        }
        scheduler.outbox = scheduler.owner.handle(now, Event::Tick);
        scheduler.paused_until = now + span;
        self.after(span, Delivery::Resume(index));
    }

    fn evict(&mut self) {
        let Some(index) =
            self.schedulers.iter().position(|s| s.alive && s.owner.epoch(self.now).is_some())
        else {
            return;
        };
        let ledger = self.schedulers[index].owner.ledger().unwrap();
        let running: Vec<Key> = ledger
            .tasks()
            .filter(|(_, _, task)| task.stage == Stage::Running)
            .map(|(key, ..)| key)
            .collect();
        if running.is_empty() {
            return;
        }
        let key = running[self.random.random_range(0..running.len())];
        let task: task::Id = key.task(&cell_id());
        let to = (index, self.schedulers[index].incarnation);
        self.event(to, Event::Relieve { relief: Relief::Evict, task });
    }

    /// Traces an exchange. A repeated one is traced only if it differs from the last with that VM.
    fn trace_exchange(&mut self, who: &str, text: &str, repeats: bool) {
        let subject = format!("{who} {}", text.split(' ').next().unwrap());
        if repeats && self.last_traced.get(&subject).is_some_and(|last| last == text) {
            return;
        }
        self.last_traced.insert(subject, text.into());
        self.trace_line(&format!("{who} {text}"));
    }

    fn trace_line(&mut self, text: &str) {
        if self.traced {
            let millis = self.now.0 / 1_000;
            writeln!(self.trace, "{:>8}.{:03} {text}", millis / 1_000, millis % 1_000).unwrap();
        }
    }
}

fn vm(index: usize) -> config::Vm {
    config::Vm {
        address: "127.0.0.1:1".parse().unwrap(),
        connections: 64,
        name: vm_name(index),
        rack: name(&format!("rack-{}", index / 6)),
        resources: amount(4),
        services: Vec::new(),
        slots: 8,
        zone: name("kigali-1"),
    }
}

pub fn vm_name(index: usize) -> Name {
    name(&format!("vm-{index}"))
}

fn short(key: &str) -> &str {
    key.trim_start_matches("oleanderstage/cells/kigali-1.0/")
}

fn describe_event(event: &Event) -> Option<String> {
    Some(match event {
        Event::Configured { .. } | Event::Listed(_) | Event::Tick => return None,
        Event::Reported { epoch, report, vm } => {
            let running: Vec<String> = report.running.iter().map(|r| run(&r.run)).collect();
            let over: Vec<String> =
                report.over.iter().map(|o| format!("{} {:?}", run(&o.run), o.end)).collect();
            format!("{vm} reports to epoch {}: runs {running:?}, over {over:?}", epoch.0)
        }
        Event::Store { call, reply: store::Reply::Values(values) } => {
            let keys: Vec<&str> = values.iter().map(|value| short(&value.key)).collect();
            format!("store {call}: {keys:?}")
        }
        Event::Store { call, reply } => format!("store {call}: {reply:?}"),
        other => serde_json::to_string(other).unwrap(),
    })
}

fn describe_action(action: &Action) -> String {
    match action {
        Action::Send { batch, vm } => {
            let commands: Vec<String> = batch.commands.iter().map(describe_command).collect();
            if commands.is_empty() {
                return format!("{vm} epoch {}: no command", batch.epoch.0);
            }
            format!("{vm} epoch {}: {commands:?}", batch.epoch.0)
        }
        Action::Store { call, request: store::Request::Commit(txn) } => {
            let operations: Vec<String> = txn.operations.iter().map(describe_operation).collect();
            format!("store {call}: {operations:?}")
        }
        Action::Store { call, request: store::Request::Read(keys) } => {
            let keys: Vec<&str> = keys.iter().map(|key| short(key)).collect();
            format!("store {call}: read {keys:?}")
        }
        Action::Store { call, request } => format!("store {call}: {request:?}"),
        other => serde_json::to_string(other).unwrap(),
    }
}

fn describe_command(command: &worker::Command) -> String {
    match command {
        worker::Command::Acknowledge { run: r } => format!("acknowledge {}", run(r)),
        worker::Command::Checkpoint { run: r } => format!("checkpoint {}", run(r)),
        worker::Command::Renew { run: r, .. } => format!("renew {}", run(r)),
        worker::Command::Start { checkpoint, run: r, .. } => {
            format!("start {} from {checkpoint:?}", run(r))
        }
        worker::Command::Stop { run: r } => format!("stop {}", run(r)),
        worker::Command::Throttle { run: r, share_milli } => {
            format!("throttle {} to {share_milli}", run(r))
        }
    }
}

fn describe_operation(operation: &store::Operation) -> String {
    match operation {
        store::Operation::Delete(key) => format!("delete {}", short(key)),
        store::Operation::Put { value, .. } => {
            format!("put {} ({} bytes)", short(&value.key), value.bytes.len())
        }
    }
}

fn run(run: &worker::Run) -> String {
    format!("{}/{}#{}", run.task.job.serial, run.task.index, run.attempt.0)
}

/// Returns the length of the leases that the fake key-value service grants.
pub fn lease() -> Duration {
    lease::TTL
}
