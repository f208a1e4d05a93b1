//! Simulates a cell with fake workers and a fake store, in virtual time.

#![allow(dead_code, unreachable_pub)]

use {
    oleanderstage_core::resources::Resources,
    oleanderstage_fleet::{
        Action, Cell, Clock, Commit, Config, Event, Head, Limits, Policy, Predecessor, Progress,
        Queue, Registration, State, Step, Submission, Ticket, action::Report, cell, event::Outcome,
        event::Refusal, job, listing::EndReason, predecessor, task,
    },
    std::{
        collections::{BTreeMap, BTreeSet},
        sync::Arc,
    },
};

/// How a fake store answers commits.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum Store {
    #[default]
    Up,
    /// Commits are refused.
    Down,
    /// Commits are made, but their answers are lost.
    LosesAnswers,
}

pub mod site;
mod worker;

pub use worker::Worker;

pub struct World {
    pub cell: Cell,
    /// The number of the cell.
    pub number: u32,
    /// The configuration that the next owner starts with.
    pub config: Arc<Config>,
    pub now: u64,
    pub store: Store,
    pub head: (Head, u64),
    pub progress: BTreeMap<job::Id, Progress>,
    pub tickets: BTreeMap<job::Id, (Ticket, u64)>,
    pub records: BTreeMap<(u32, job::Id), job::Record>,
    /// When this cell's records were written; that of a job that is not listed is as old as its ticket.
    pub record_revisions: BTreeMap<job::Id, u64>,
    pub workers: BTreeMap<String, Worker>,
    pub reports: Vec<Report>,
    /// When jobs were completed, in milliseconds.
    completed: BTreeMap<job::Id, u64>,
    pub lost: bool,
    pub commits: u64,
    /// Duration of each run at full pace, in milliseconds.
    pub run_ms: u64,
    pub revision: u64,
    /// Cores of each worker.
    pub cores: u64,
    pub stored_pressure: oleanderstage_fleet::pressure::Pressure,
    /// The mechanisms of the next owner.
    pub policy: Policy,
    /// The time limits of the next owner.
    pub limits: Limits,
    /// How the last owner has ended, as far as the next one knows.
    pub owner_end: predecessor::End,
    /// How long the next owner takes to load the cell, in milliseconds: the last one acts meanwhile.
    pub load_ms: u64,
    pub polls_sent: u64,
    /// Polls in flight: time sent in milliseconds, worker, and time of the answer at the latest.
    polls: Vec<(u64, Arc<str>, u64)>,
    sent: BTreeMap<task::Name, job::Id>,
    /// Tasks that crash the worker that runs them, with the age at which they do so in milliseconds.
    pub crashing: BTreeMap<task::Name, u64>,
    /// The steps of all submitted jobs.
    steps: BTreeMap<(job::Id, u16), Step>,
    /// Starts that brought a worker over its capacity.
    pub overloads: Vec<String>,
    /// When the owner or the store last failed, in milliseconds.
    pub disturbed: Vec<u64>,
    /// Marks by which other cells learn that a job is over.
    pub marks: BTreeSet<(u32, job::Id)>,
    /// Whether a crashed worker comes back under another ID.
    pub replaces_crashed: bool,
    /// All crashes by a task: time in milliseconds, task.
    pub crashes: Vec<(u64, task::Name)>,
    /// Start orders stay on their way until `carry_out_delayed`.
    pub delays_starts: bool,
    /// Start orders on their way.
    delayed: Vec<Action>,
    /// The owner is cut off from the store.
    pub cut_off: bool,
    /// Number of times that the owner has asked for a confirmation.
    pub confirmations_asked: u64,
    /// Entries of new lives are passed on to the owner only by `tell_members`.
    pub withholds_entries: bool,
    /// The highest fencing token that the owner has sent to each worker.
    sent_fences: BTreeMap<Arc<str>, u64>,
    /// The lives of the workers whose entries were last passed on to the owner.
    told_lives: BTreeMap<String, u64>,
}

/// Interval at which entries of new lives are passed on to the owner, in milliseconds.
const ENTRIES_INTERVAL_MS: u64 = 350;

/// How long a crashed worker is down, in milliseconds.
const DOWN_MS: u64 = 3_000;

pub const QUEUE: &str = "stitch";
/// The time since 1970 at the start of the virtual time, in milliseconds.
const START_UNIX_MS: u64 = 1_700_000_000_000;

pub fn id(text: &str) -> job::Id {
    format!("{text:0>16}").parse().expect("an ID")
}

pub fn name(job: &str, step: u16, index: u16) -> task::Name {
    task::Name { job: id(job), occurrence: 0, step, index }
}

pub fn step(count: u16, cores: u64) -> Step {
    Step {
        count,
        estimate_ms: 500,
        resources: Resources {
            accelerators: 0,
            memory_mib: 1_024,
            processors_milli: cores * 1_000,
        },
        ..Step::default()
    }
}

/// Latency target of serving tasks, in milliseconds.
pub const TARGET_MS: u64 = 18;

/// Returns a step of serving tasks with four cores each.
pub fn serving(count: u16, image: &str) -> Step {
    Step { image: image.into(), lasting: true, target_ms: TARGET_MS, ..step(count, 4) }
}

/// Returns a step of filling tasks with two cores each.
pub fn filling(count: u16, image: &str) -> Step {
    Step { checkpoints: true, fills: true, image: image.into(), ..step(count, 2) }
}

/// Returns a queue of the service of all workers, as version 1 of the configuration declares it.
pub fn queue(name: &str, priority: u32) -> Queue {
    Queue {
        advised: false,
        host: "a.example".into(),
        max_attempts: 2,
        name: name.into(),
        objective_ms: 250,
        prefix: format!("/{name}/"),
        priority,
        service: "desk".into(),
        stretch: 1.5,
        version: 1,
    }
}

/// Returns a version of the configuration with these queues.
pub fn config(version: u64, queues: Vec<Queue>) -> Arc<Config> {
    let queues = queues.into_iter().map(|queue| Arc::new(Queue { version, ..queue })).collect();
    Arc::new(Config { body_limit_bytes: 1 << 18, queues, services: BTreeSet::new(), version })
}

fn first_config() -> Arc<Config> {
    config(1, vec![queue(QUEUE, 0), queue("render", 2)])
}

pub fn limits() -> Limits {
    Limits {
        lease_ms: 4_000,
        max_lease_ms: 10_000,
        owner_silence_ms: 5_500,
        silent_lease_ms: 4_000,
    }
}

impl World {
    /// Returns a cell with workers of 16 cores, which have answered their owner.
    pub fn new(workers: &[&str]) -> Self {
        let mut world = Self::unanswered(workers);
        world.advance(100);
        world
    }

    /// Returns a cell with workers of 16 cores, which have not answered their owner yet.
    pub fn unanswered(workers: &[&str]) -> Self {
        Self::numbered(0, workers)
    }

    /// Returns the cell of this number with workers of 16 cores, which have not answered their owner yet.
    pub fn numbered(number: u32, workers: &[&str]) -> Self {
        let fakes = workers.iter().map(|id| ((*id).to_owned(), Worker::default())).collect();
        let mut world = Self {
            cell: Cell::new(
                cell::Start {
                    acquired_at: 0,
                    loaded_at: 0,
                    config: first_config(),
                    head: Head::default(),
                    head_revision: 0,
                    limits: limits(),
                    policy: Policy::default(),
                    predecessor: Predecessor::default(),
                    pressure: Default::default(),
                },
                Vec::new(),
                BTreeMap::new(),
            ),
            number,
            config: first_config(),
            now: 1_000,
            store: Store::Up,
            head: (Head { cell: number, ..Head::default() }, 1),
            progress: BTreeMap::new(),
            tickets: BTreeMap::new(),
            records: BTreeMap::new(),
            record_revisions: BTreeMap::new(),
            workers: fakes,
            reports: Vec::new(),
            completed: BTreeMap::new(),
            lost: false,
            commits: 0,
            run_ms: 500,
            revision: 1,
            cores: 16,
            stored_pressure: Default::default(),
            policy: Policy::default(),
            limits: limits(),
            owner_end: predecessor::End::Unknown,
            load_ms: 0,
            polls_sent: 0,
            polls: Vec::new(),
            sent: BTreeMap::new(),
            crashing: BTreeMap::new(),
            disturbed: Vec::new(),
            overloads: Vec::new(),
            steps: BTreeMap::new(),
            marks: BTreeSet::new(),
            replaces_crashed: false,
            crashes: Vec::new(),
            delays_starts: false,
            delayed: Vec::new(),
            cut_off: false,
            confirmations_asked: 0,
            withholds_entries: false,
            sent_fences: BTreeMap::new(),
            told_lives: BTreeMap::new(),
        };
        world.take_over();
        world
    }

    /// Replaces the owner by a new one that starts from the state in the store.
    pub fn take_over(&mut self) {
        self.disturbed.push(self.now);
        self.revision += 1;
        let head = Head {
            generation: self.head.0.generation + 1,
            owner: format!("vm-{}", self.head.0.generation + 1),
            sequence: 0,
            settled: false,
            settling_ms: 0,
            ..self.head.0.clone()
        };
        let predecessor = Predecessor::new(&self.head.0, self.owner_end);
        self.head = (head.clone(), self.revision);
        let jobs = self
            .records
            .iter()
            .filter(|((cell, _), _)| *cell == self.number)
            .map(|((_, id), record)| {
                let progress = self.progress.get(id).cloned().unwrap_or_default();
                let revision = self.record_revisions.get(id).copied();
                (*id, record.clone(), progress, revision.unwrap_or(self.tickets[id].1))
            })
            .collect();
        let start = cell::Start {
            acquired_at: self.now - self.load_ms,
            loaded_at: self.now,
            config: self.config.clone(),
            head,
            head_revision: self.revision,
            limits: self.limits,
            policy: self.policy,
            predecessor,
            pressure: self.stored_pressure.clone(),
        };
        self.cell = Cell::new(start, jobs, self.members());
        self.lost = false;
        self.polls.clear();
        self.sent_fences.clear();
        let members = self.members();
        self.handle(Event::Workers(members));
    }

    /// Adds a worker of 16 cores.
    pub fn add_worker(&mut self, id: &str) {
        self.workers.insert(id.into(), Worker::default());
        let members = self.members();
        self.handle(Event::Workers(members));
    }

    pub fn members(&self) -> BTreeMap<Arc<str>, Option<Registration>> {
        self.workers
            .iter()
            .filter(|(_, worker)| !worker.unassigned)
            .map(|(id, worker)| {
                let entry = Registration {
                    address: format!("10.0.0.1:{}", worker.port + 1),
                    born: Some(worker.born),
                    capacity: worker.capacity.unwrap_or(Resources {
                        accelerators: 0,
                        memory_mib: 65_536,
                        processors_milli: self.cores * 1_000,
                    }),
                    draining: worker.draining,
                    labels: vec!["a".into(), format!("r{}", worker.rack + 1)],
                    remaining_ms: None,
                    service: if worker.service.is_empty() { "desk" } else { worker.service }.into(),
                    zone: worker.zone.into(),
                };
                (Arc::from(id.as_str()), (!worker.gone).then_some(entry))
            })
            .collect()
    }

    /// Accepts a job into this cell.
    pub fn submit(&mut self, job: &str, queue: &str, steps: Vec<Step>) {
        let record = job::Record {
            accepted_at_ms: START_UNIX_MS + self.now,
            begun: false,
            crashes: Vec::new(),
            declared: None,
            last_run: 0,
            progress: None,
            queue: queue.into(),
            submission: Submission { spec: "work".into(), steps, ..Submission::default() },
            tasks: None,
            ticket: None,
            unstarted: Default::default(),
        };
        self.accept(id(job), record);
    }

    pub fn accept(&mut self, id: job::Id, record: job::Record) {
        for (number, step) in (0..).zip(&record.submission.steps) {
            self.steps.insert((id, number), step.clone());
        }
        self.revision += 1;
        let queue = record.queue.clone();
        let state = oleanderstage_fleet::State::Queued;
        let ticket = Ticket {
            also: Vec::new(),
            additions: 0,
            cell: self.number,
            division: None,
            queue,
            state,
            withdrawn: false,
        };
        self.tickets.insert(id, (ticket, self.revision));
        self.records.insert((self.number, id), record.clone());
        self.handle(Event::Accepted { id, record, revision: self.revision });
    }

    /// Cancels a job, as any VM may: in its ticket first, then with an event.
    pub fn cancel(&mut self, job: &str) {
        self.revision += 1;
        let revision = self.revision;
        let id = id(job);
        if let Some((ticket, at)) = self.tickets.get_mut(&id) {
            ticket.state = oleanderstage_fleet::State::Cancelled;
            *at = revision;
        }
        self.handle(Event::Cancelled { id, revision });
    }

    pub fn state(&self, job: &str) -> oleanderstage_fleet::State {
        self.tickets[&id(job)].0.state
    }

    pub fn worker(&mut self, id: &str) -> &mut Worker {
        self.workers.get_mut(id).expect("a worker")
    }

    /// Returns all starts of a task in order of time, as worker and run number.
    pub fn starts(&self, name: task::Name) -> Vec<(String, u32)> {
        let mut starts: Vec<(u64, String, u32)> = Vec::new();
        for (id, worker) in &self.workers {
            let own = worker.starts.iter().filter(|(_, task, _)| *task == name);
            starts.extend(own.map(|(at, _, run)| (*at, id.clone(), *run)));
        }
        starts.sort();
        starts.into_iter().map(|(_, id, run)| (id, run)).collect()
    }

    /// Returns when a job was completed, in milliseconds.
    pub fn done_at(&self, id: &job::Id) -> Option<u64> {
        self.completed.get(id).copied()
    }

    /// Returns the workers that run a task now.
    pub fn running(&self, name: task::Name) -> Vec<&str> {
        let holds = |(id, worker): (&'_ String, &Worker)| {
            worker.held.contains_key(&name).then_some(id.clone())
        };
        let ids: BTreeSet<String> = self.workers.iter().filter_map(holds).collect();
        self.workers.keys().filter(|id| ids.contains(*id)).map(String::as_str).collect()
    }

    fn clock(&self) -> Clock {
        Clock { now: self.now, unix: START_UNIX_MS + self.now }
    }

    pub fn handle(&mut self, event: Event) {
        if self.store != Store::Down && !self.cut_off {
            self.cell.confirm(self.now);
        }
        let actions = self.cell.handle(self.clock(), event);
        for action in actions {
            self.perform(action);
        }
    }

    /// Advances the virtual time in steps of 10 ms.
    pub fn advance(&mut self, ms: u64) {
        for _ in 0..ms / 10 {
            self.now += 10;
            self.crash_workers();
            self.run_tasks();
            self.answer_polls();
            if self.now.is_multiple_of(ENTRIES_INTERVAL_MS) {
                self.tell_new_lives();
            }
            self.handle(Event::Tick);
        }
    }

    /// Passes the workers' entries on to the owner if one of them has started again.
    fn tell_new_lives(&mut self) {
        let lives: BTreeMap<String, u64> =
            self.workers.iter().map(|(id, worker)| (id.clone(), worker.born)).collect();
        if lives != self.told_lives && !self.withholds_entries {
            self.told_lives = lives;
            self.tell_members();
        }
    }

    /// Advances the virtual time in steps of 10 ms while the owner is paused.
    pub fn pause(&mut self, ms: u64) {
        for _ in 0..ms / 10 {
            self.now += 10;
            self.run_tasks();
        }
    }

    /// Passes the workers' entries on to the owner.
    pub fn tell_members(&mut self) {
        let members = self.members();
        self.handle(Event::Workers(members));
    }

    /// Removes the polls in flight to a worker; the test gives their answers.
    pub fn drop_polls(&mut self, id: &str) {
        self.polls.retain(|(_, worker, _)| **worker != *id);
    }

    /// Tells the owner that the delayed start orders have no answer; they stay on their way.
    pub fn time_out_delayed(&mut self) {
        for action in self.delayed.clone() {
            let Action::Start { worker, task, run, .. } = action else { continue };
            self.handle(Event::Start { worker, task, run, answer: Err(Refusal::Unknown) });
        }
    }

    /// Carries the first of the delayed start orders out at its worker, and tells the owner the answer if
    /// it still waits for it.
    pub fn carry_out_delayed(&mut self, answered: bool) {
        let Action::Start { worker, fence, task, run, lease_until, checkpoint, .. } =
            self.delayed.remove(0)
        else {
            return;
        };
        let fake = self.workers.get_mut(&*worker).expect("a worker");
        let (now, run_ms) = (self.now, self.run_ms);
        let answer = match fake.check(now, fence) {
            Ok(()) => fake.start(now, task, run, lease_until, run_ms, checkpoint),
            refused => refused,
        };
        let answer = self.checked(&worker, fence, answer);
        if answered {
            self.handle(Event::Start { worker, task, run, answer });
        }
    }

    /// Carries out all delayed start orders at their workers. The owner does not wait for the answers.
    pub fn carry_out_all_delayed(&mut self) {
        while self.has_delayed() {
            self.carry_out_delayed(false);
        }
    }

    /// Returns whether start orders are on their way.
    pub fn has_delayed(&self) -> bool {
        !self.delayed.is_empty()
    }

    /// Crashes the workers that have run a crashing task for long enough.
    fn crash_workers(&mut self) {
        let now = self.now;
        let due = |worker: &Worker| {
            let ran_ms = |name: &task::Name| {
                let starts = worker.starts.iter().rev();
                starts.clone().find(|(_, task, _)| task == name).map_or(0, |(at, ..)| now - at)
            };
            let crashing = |name: &&task::Name| {
                self.crashing.get(*name).is_some_and(|fuse_ms| ran_ms(name) >= *fuse_ms)
            };
            worker.held.keys().find(crashing).copied()
        };
        let crashed: Vec<(String, task::Name)> = self
            .workers
            .iter()
            .filter_map(|(id, worker)| Some((id.clone(), due(worker)?)))
            .collect();
        for (id, task) in crashed {
            self.crashes.push((now, task));
            self.crash(&id);
        }
    }

    /// Crashes a worker for `DOWN_MS`.
    pub fn crash(&mut self, id: &str) {
        let (until, replaced) = (self.now + DOWN_MS, self.replaces_crashed);
        self.worker(id).crash(until, replaced);
        if replaced {
            let (zone, rack) = (self.worker(id).zone, self.worker(id).rack);
            self.worker(id).gone = true;
            let successor = Worker { down_until: until, zone, rack, ..Worker::default() };
            self.workers.insert(format!("{id}'"), successor);
        }
        let members = self.members();
        self.handle(Event::Workers(members));
    }

    fn run_tasks(&mut self) {
        let now = self.now;
        for worker in self.workers.values_mut() {
            let lapsed = worker.lease_until > 0 && worker.lease_until < worker.clock(now);
            if lapsed && !worker.held.is_empty() {
                for (name, held) in std::mem::take(&mut worker.held) {
                    worker.end(name, held.run, EndReason::Lapsed, String::new());
                }
            }
            let fails = worker.fails_runs;
            let mut done = Vec::new();
            for (name, held) in &mut worker.held {
                held.remaining_ms =
                    held.remaining_ms.saturating_sub(10 * u64::from(held.pace) / 100);
                if held.remaining_ms == 0 {
                    done.push((*name, held.run));
                }
            }
            for (name, run) in done {
                worker.held.remove(&name);
                if !fails {
                    worker.done.push((now, name));
                }
                worker.end(
                    name,
                    run,
                    if fails { EndReason::Failed } else { EndReason::Done },
                    String::new(),
                );
            }
        }
    }

    fn answer_polls(&mut self) {
        let now = self.now;
        let polls = std::mem::take(&mut self.polls);
        for (sent, id, due) in polls {
            let worker = &self.workers[&*id];
            let has_new_end = worker.ended.iter().any(|end| end.number > worker.acknowledged);
            let answer = if worker.is_down(now) {
                Err(Refusal::Unknown)
            } else if worker.replaced {
                Err(Refusal::Reborn)
            } else if worker.unreachable {
                if now < sent + 1_400 {
                    self.polls.push((sent, id, due));
                    continue;
                }
                Err(Refusal::Unknown)
            } else if has_new_end || now >= due {
                Ok(worker.listing(now))
            } else {
                self.polls.push((sent, id, due));
                continue;
            };
            self.handle(Event::Poll { worker: id, sent, answer });
        }
    }

    fn perform(&mut self, action: Action) {
        match action {
            Action::Poll { worker, life, fence, acknowledged, lease_until, wait_ms } => {
                let harms = acknowledged > 0 || lease_until.is_some();
                assert_eq!(
                    life.is_some(),
                    harms,
                    "a poll that does harm in another life is for one"
                );
                let fake = self.workers.get_mut(&*worker).expect("a worker");
                let answer = fake.poll(self.now, acknowledged, lease_until, fence);
                self.polls_sent += 1;
                if let Err(refusal @ Refusal::Fenced) = self.checked(&worker, fence, answer) {
                    let (sent, answer) = (self.now, Err(refusal));
                    return self.handle(Event::Poll { worker, sent, answer });
                }
                self.polls.push((self.now, worker, self.now + wait_ms));
            }
            Action::Start { .. } if self.delays_starts => self.delayed.push(action),
            Action::Start { worker, life, fence, task, run, lease_until, checkpoint, .. } => {
                assert!(life.is_some(), "a start is for one life");
                let (now, run_ms) = (self.now, self.run_ms);
                let fake = self.workers.get_mut(&*worker).expect("a worker");
                let starts = fake.starts.len();
                let answer = match fake.check(now, fence) {
                    Ok(()) => fake.start(now, task, run, lease_until, run_ms, checkpoint),
                    refused => refused,
                };
                let started = fake.starts.len() > starts;
                if started {
                    self.check_capacity(&worker, task);
                }
                let answer = self.checked(&worker, fence, answer);
                self.handle(Event::Start { worker, task, run, answer });
            }
            Action::Stop { worker, fence, task, run } => {
                let fake = self.workers.get_mut(&*worker).expect("a worker");
                let answer = fake.stop(self.now, task, run, fence);
                let answer = self.checked(&worker, fence, answer);
                self.handle(Event::Stop { worker, task, run, answer });
            }
            Action::Pace { worker, task, percent, .. } => {
                let fake = self.workers.get_mut(&*worker).expect("a worker");
                if let Some(held) = fake.held.get_mut(&task) {
                    held.pace = percent;
                }
            }
            Action::Commit(commit) => {
                let outcome = self.commit(&commit);
                self.handle(Event::Commit(outcome));
            }
            Action::Lookup(id) => {
                let ticket = self.tickets.get(&id).map(|(ticket, _)| ticket.clone());
                self.handle(Event::TicketRead { id, ticket });
            }
            Action::Confirm => self.confirmations_asked += 1,
            Action::Lost => self.lost = true,
            Action::Report(report) => {
                if let Report::JobOver { job, state: State::Completed, .. } = &report {
                    self.completed.insert(*job, self.now);
                }
                self.reports.push(report);
            }
        }
    }

    /// Returns the answer to an order with this fencing token, as the owner's process passes it on.
    fn checked(
        &mut self,
        worker: &Arc<str>,
        fence: u64,
        answer: Result<(), Refusal>,
    ) -> Result<(), Refusal> {
        let highest = self.sent_fences.entry(worker.clone()).or_default();
        *highest = fence.max(*highest);
        answer.map_err(|refusal| refusal.of_order(fence, *highest))
    }

    /// Notes a start by which a worker holds more than its capacity.
    fn check_capacity(&mut self, worker: &str, task: task::Name) {
        let fake = &self.workers[worker];
        let capacity = fake.capacity.map_or(self.cores * 1_000, |own| own.processors_milli);
        let milli = |name: &task::Name| {
            let step = self.steps.get(&(name.job, name.step));
            step.map_or(0, |step| step.reserved().processors_milli)
        };
        let held: u64 = fake.held.keys().map(milli).sum();
        if held > capacity {
            let now = self.now;
            self.overloads.push(format!("{now}: {task} at {worker}, {held} of {capacity}"));
        }
    }

    fn commit(&mut self, commit: &Commit) -> Outcome {
        assert!(commit.entries() <= 32, "a transaction takes 32 entries");
        if self.store == Store::Down || self.cut_off {
            return Outcome::Refused;
        }
        if commit.head_revision != self.head.1 {
            let own = self.head.0 == commit.head;
            return if own { Outcome::Committed(self.head.1) } else { Outcome::Lost };
        }
        let changed = commit.expected.iter().any(|(id, at)| self.tickets[id].1 != *at);
        if changed {
            let tickets = commit.expected.iter().map(|(id, _)| {
                let (ticket, at) = &self.tickets[id];
                (*id, *at, Some(ticket.clone()))
            });
            return Outcome::Conflict(tickets.collect());
        }
        self.commits += 1;
        self.revision += 1;
        self.head = (commit.head.clone(), self.revision);
        self.progress.extend(commit.progress.iter().cloned());
        for (id, ticket) in &commit.tickets {
            self.tickets.insert(*id, (ticket.clone(), self.revision));
        }
        if let Some(pressure) = &commit.pressure {
            self.stored_pressure = pressure.clone();
        }
        for (id, cell) in &commit.cancelled {
            self.marks.insert((*cell, *id));
        }
        for (id, cell, record) in &commit.records {
            self.records.insert((*cell, *id), (**record).clone());
        }
        for id in &commit.removed {
            self.records.remove(&(self.number, *id));
            self.progress.remove(id);
        }
        if self.store == Store::LosesAnswers {
            Outcome::Unknown
        } else {
            Outcome::Committed(self.revision)
        }
    }
}
