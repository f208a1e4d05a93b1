//! One scheduler's part in a cell: it seeks the cell, takes it over, owns it, and hands it over.

use super::*;

pub use message::{Action, Call, Event, Note};

#[path = "owner_message.rs"]
mod message;
#[path = "owner_takeover.rs"]
mod takeover;

/// How often the first scheduler in rank looks whether a cell has an owner; the next looks half as
/// often, the third a third as often, so that the calls for a cell grow with the logarithm of the
/// schedulers.
pub const LOOK: Duration = Duration::from_secs(1);
/// Mean pause before a call is made again that was not answered well.
pub const AGAIN: Duration = Duration::from_millis(500);
/// How long a scheduler leaves a vacant cell to each of those that come before it.
pub const RANK_DELAY: Duration = Duration::from_millis(1_000);
/// As `RANK_DELAY`, for a cell that was handed over.
pub const RELEASED_DELAY: Duration = Duration::from_millis(100);
/// Pause after a value that was refused.
pub const REFUSED_PAUSE: Duration = Duration::from_secs(30);

/// One scheduler's part in a cell. Acts as owner only while its lease covers what it does.
#[derive(Clone, Debug)]
pub struct Owner {
    actions: Vec<Action>,
    /// The last call to the key-value service.
    calls: u64,
    cell: cell::Id,
    chart: Arc<stage::Life>,
    config: Option<(Arc<Config>, Arc<[config::Vm]>)>,
    /// The cell's work; outlives the lease, to keep running tasks alive.
    dispatcher: Option<Dispatcher>,
    faults: Faults,
    /// Answers that wait for a group to be durable.
    held: VecDeque<(u64, Ticket, Answer)>,
    holder: Holder,
    keep_call: Option<u64>,
    /// The end of the lease that was held last.
    lapsed: Instant,
    leaving: bool,
    listed: Vec<Listing>,
    /// The call under way, other than to keep the lease alive.
    main_call: Option<u64>,
    next: Instant,
    phase: Phase,
    random: Pcg64Mcg,
    rank: u32,
    tenure: Option<Tenure>,
    vacant: Option<Instant>,
}

#[derive(Clone, Debug, PartialEq)]
enum Phase {
    /// The takeover was asked for, and its fate is to be read back if `doubt`.
    Claiming {
        asked: Instant,
        doubt: bool,
        lease: i64,
        released: bool,
    },
    Granting {
        asked: Instant,
        term: Option<store::Value>,
    },
    Loading {
        released: bool,
    },
    Looking,
    Owning,
    Released,
    Releasing,
    Seeking,
}

impl Owner {
    /// Returns a scheduler's part in a cell that has `rank` schedulers to come before it. `holder`
    /// names the scheduler and its incarnation.
    ///
    /// # Errors
    ///
    /// The chart of a task's life is faulty.
    pub fn new(
        cell: cell::Id,
        holder: Holder,
        rank: u32,
        faults: Faults,
    ) -> Result<Self, chart::Error> {
        let seed = holder.incarnation ^ u64::from(cell.index);
        Ok(Self {
            actions: Vec::new(),
            calls: 0,
            cell,
            chart: Arc::new(Stage::life()?),
            config: None,
            dispatcher: None,
            faults,
            held: VecDeque::new(),
            holder,
            keep_call: None,
            lapsed: Instant::default(),
            leaving: false,
            listed: Vec::new(),
            main_call: None,
            next: Instant::default(),
            phase: Phase::Seeking,
            random: Pcg64Mcg::seed_from_u64(seed),
            rank,
            tenure: None,
            vacant: None,
        })
    }

    /// Returns the epoch under which the cell is owned at `now`.
    pub fn epoch(&self, now: Instant) -> Option<cell::Epoch> {
        (self.phase == Phase::Owning && self.covers(now)).then_some(self.holder.epoch)
    }

    /// Returns whether the cell is handed over, and nothing more will be done.
    pub fn is_released(&self) -> bool {
        self.phase == Phase::Released
    }

    /// Returns the jobs and tasks, while the cell is owned or kept alive.
    pub fn ledger(&self) -> Option<&Ledger> {
        self.dispatcher.as_ref().map(|dispatcher| &dispatcher.ledger)
    }

    /// Takes an event at `now` and returns what is to be done.
    pub fn handle(&mut self, now: Instant, event: Event) -> Vec<Action> {
        match event {
            Event::Call { call, ticket } => self.call(now, ticket, &call),
            Event::Configured { config, vms } => self.configure(config, vms),
            Event::Leave => self.leaving = true,
            Event::Listed(listed) => self.listed(now, listed),
            Event::Relieve { relief, task } => {
                self.with(self.holder.epoch, |d| d.relieve(&task, relief));
            }
            Event::Reported { epoch, report, vm } => {
                self.with(epoch, |d| d.handle_report(now, &vm, &report));
            }
            Event::Stale { epoch, vm } => self.stale(now, epoch, &vm),
            Event::Store { call, reply } => self.store(now, call, &reply),
            Event::Tick => self.tick(now),
            Event::Unreached { epoch, vm } => self.with(epoch, |d| d.handle_unreached(now, &vm)),
        }
        self.advance(now);
        std::mem::take(&mut self.actions)
    }

    /// Makes the calls to the key-value service that are due.
    fn advance(&mut self, now: Instant) {
        self.keep(now);
        match self.phase {
            Phase::Owning => self.write(now),
            Phase::Releasing => self.release(now),
            Phase::Seeking if self.leaving => self.end(),
            Phase::Seeking if now >= self.next && self.config.is_some() => {
                let keys = vec![journal::owner(&self.cell), journal::epoch(&self.cell)];
                self.ask(store::Request::Read(keys));
                self.phase = Phase::Looking;
            }
            Phase::Claiming { doubt: true, .. } if self.main_call.is_none() && now >= self.next => {
                self.ask(store::Request::Read(vec![journal::owner(&self.cell)]));
            }
            Phase::Loading { .. } if self.main_call.is_none() && now >= self.next => self.load(now),
            _ => (),
        }
    }

    fn answer(&mut self, ticket: Ticket, answer: Answer) {
        self.actions.push(Action::Answer { answer, ticket });
    }

    fn ask(&mut self, request: store::Request) {
        self.calls += 1;
        self.main_call = Some(self.calls);
        self.actions.push(Action::Store { call: self.calls, request });
    }

    fn call(&mut self, now: Instant, ticket: Ticket, call: &Call) {
        if let Some(refusal) = self.refusal(now, call) {
            let text = format!("cell `{}` cannot take the call now", self.cell);
            return self.answer(ticket, Answer::refuse(refusal, text));
        }
        let Some(dispatcher) = &mut self.dispatcher else { return };
        let held = match call {
            Call::Cancel(id) => dispatcher.cancel(now, id.serial),
            Call::Explain(_) | Call::Job(_) => Ok(dispatcher.writer.last()),
            Call::Submit { id, spec } => dispatcher.submit(id.serial, spec),
        };
        let answer = match call {
            Call::Explain(id) => dispatcher.explain(id).map(Answer::Explain),
            Call::Job(id) => dispatcher.ledger.status(id).map(Answer::Job),
            _ => Some(Answer::Done),
        };
        let unknown = || Answer::refuse(answer::Refusal::Unknown, "the job is not known");
        match held {
            Err(refused) => self.answer(ticket, refused),
            Ok(sequence) => {
                self.held.push_back((sequence, ticket, answer.unwrap_or_else(unknown)));
                self.settle();
            }
        }
    }

    fn configure(&mut self, config: Arc<Config>, vms: Arc<[config::Vm]>) {
        if let Some(dispatcher) = &mut self.dispatcher {
            dispatcher.configure(&config, &vms);
        }
        self.config = Some((config, vms));
    }

    fn covers(&self, now: Instant) -> bool {
        self.faults == Faults::NoEpochCheck && self.tenure.is_some()
            || self.tenure.as_ref().is_some_and(|t| t.covers(now, contact::SEND_LIMIT))
    }

    fn end(&mut self) {
        self.phase = Phase::Released;
        self.dispatcher = None;
        self.tenure = None;
        self.actions.push(Action::Note(Note::Released));
    }

    /// Keeps the lease alive, if it is due.
    fn keep(&mut self, now: Instant) {
        let Some(tenure) = &mut self.tenure else { return };
        if self.keep_call.is_some() || !tenure.poll(now) {
            return;
        }
        self.calls += 1;
        self.keep_call = Some(self.calls);
        let request = store::Request::KeepAlive(tenure.lease);
        self.actions.push(Action::Store { call: self.calls, request });
    }

    fn kept(&mut self, now: Instant, reply: &store::Reply) {
        let jitter = self.random.random_range(0.0..1.0);
        match reply {
            store::Reply::Lapsed => self.lose(now),
            _ => {
                let kept = *reply == store::Reply::Kept;
                self.tenure.iter_mut().for_each(|tenure| tenure.reply(now, kept, jitter));
            }
        }
    }

    fn listed(&mut self, now: Instant, listed: Vec<Listing>) {
        if let Some(dispatcher) = &mut self.dispatcher {
            dispatcher.apply_vm_list(now, &listed);
        }
        self.listed = listed;
    }

    /// Gives the lease up, and goes on to keep running tasks alive.
    fn lose(&mut self, now: Instant) {
        if let Some(tenure) = self.tenure.take() {
            self.lapsed = tenure.deadline().min(now);
        }
        self.keep_call = None;
        self.held.clear();
        self.actions.push(Action::Note(Note::Lost));
        self.seek(now);
    }

    fn own(&self) -> store::Value {
        store::Value { bytes: sealed::seal(&self.holder), key: journal::owner(&self.cell) }
    }

    fn pause(&mut self, now: Instant, pause: Duration) {
        self.next = now + pause.mul_f64(self.random.random_range(0.5..1.5));
    }

    /// Says why a call can't be taken now, if so.
    fn refusal(&self, now: Instant, call: &Call) -> Option<answer::Refusal> {
        let dispatcher = match (&self.dispatcher, &self.phase) {
            (Some(dispatcher), Phase::Owning) => dispatcher,
            (Some(_), Phase::Releasing) => return Some(answer::Refusal::Leaving),
            _ => return Some(answer::Refusal::NotOwner),
        };
        let down = !self.covers(now) || dispatcher.writer.is_stalled();
        match call {
            Call::Submit { .. } if self.leaving => Some(answer::Refusal::Leaving),
            Call::Submit { .. } | Call::Cancel(_) => {
                down.then_some(answer::Refusal::StoreUnavailable)
            }
            Call::Explain(_) | Call::Job(_) => {
                (down && !dispatcher.writer.is_idle()).then_some(answer::Refusal::StoreUnavailable)
            }
        }
    }

    /// Hands the cell over.
    fn release(&mut self, now: Instant) {
        if self.main_call.is_some() || now < self.next {
            return;
        }
        if !self.covers(now) {
            return self.end();
        }
        let term = Term { epoch: self.holder.epoch, released: true };
        let value = store::Value { bytes: sealed::seal(&term), key: journal::epoch(&self.cell) };
        self.ask(store::Request::Commit(store::Txn {
            conditions: vec![store::Condition::Equals(self.own())],
            operations: vec![
                store::Operation::Delete(journal::owner(&self.cell)),
                store::Operation::Put { lease: None, value },
            ],
        }));
    }

    fn released(&mut self, now: Instant, reply: &store::Reply) {
        match reply {
            store::Reply::Committed | store::Reply::Conflict => self.end(),
            _ => self.pause(now, AGAIN),
        }
    }

    fn seek(&mut self, now: Instant) {
        self.phase = Phase::Seeking;
        self.main_call = None;
        self.pause(now, LOOK * (1 + self.rank));
    }

    /// Answers the calls whose group is durable.
    fn settle(&mut self) {
        let Some(dispatcher) = &self.dispatcher else { return };
        let committed = dispatcher.writer.committed();
        while let Some((_, ticket, answer)) =
            self.held.pop_front_if(|(sequence, _, _)| *sequence <= committed)
        {
            self.actions.push(Action::Answer { answer, ticket });
        }
    }

    fn stale(&mut self, now: Instant, epoch: cell::Epoch, vm: &Name) {
        if self.faults == Faults::NoEpochCheck {
            return self.with(epoch, |d| d.handle_unreached(now, vm));
        }
        if epoch != self.holder.epoch || self.dispatcher.is_none() {
            return;
        }
        self.dispatcher = None;
        self.lose(now);
    }

    fn store(&mut self, now: Instant, call: u64, reply: &store::Reply) {
        if self.keep_call == Some(call) {
            self.keep_call = None;
            return self.kept(now, reply);
        }
        if self.main_call != Some(call) {
            return;
        }
        self.main_call = None;
        match self.phase {
            Phase::Claiming { .. } => self.claimed(now, reply),
            Phase::Granting { .. } => self.granted(now, reply),
            Phase::Loading { .. } => self.loaded(now, reply),
            Phase::Looking => self.looked(now, reply),
            Phase::Owning => self.written(now, reply),
            Phase::Releasing => self.released(now, reply),
            Phase::Released | Phase::Seeking => (),
        }
    }

    /// Places tasks and sends batches, as far as the lease allows.
    fn tick(&mut self, now: Instant) {
        if matches!(self.phase, Phase::Releasing | Phase::Released) {
            return;
        }
        let owning = self.phase == Phase::Owning;
        let covers = self.covers(now);
        let lapsed = self.tenure.as_ref().map_or(self.lapsed, Tenure::deadline);
        let Some(dispatcher) = &mut self.dispatcher else { return };
        dispatcher.step(now, owning && covers && !self.leaving);
        let mode = contact::Mode {
            committed: dispatcher.writer.committed(),
            epoch: self.batch_epoch(),
            may_renew: owning && covers || now < lapsed + contact::OUTAGE_GRACE,
            may_start: owning && covers && !self.leaving,
        };
        let Some(dispatcher) = &mut self.dispatcher else { return };
        for (vm, batch) in dispatcher.batches(now, &mode) {
            self.actions.push(Action::Send { batch, vm });
        }
    }

    /// Returns the epoch of the dispatcher, which is older than the holder's during a takeover.
    fn batch_epoch(&self) -> cell::Epoch {
        self.dispatcher.as_ref().map_or(self.holder.epoch, |d| d.writer.epoch())
    }

    /// Has the dispatcher act on what came in under `epoch`.
    fn with(&mut self, epoch: cell::Epoch, act: impl FnOnce(&mut Dispatcher)) {
        if epoch == self.batch_epoch() {
            self.dispatcher.as_mut().map(act);
        }
    }

    /// Commits what is due, and begins to hand the cell over once all is durable.
    fn write(&mut self, now: Instant) {
        if self.main_call.is_some() || !self.covers(now) {
            return;
        }
        let Some(dispatcher) = &mut self.dispatcher else { return };
        if let Some(request) = dispatcher.writer.poll(now, &dispatcher.ledger) {
            return self.ask(request);
        }
        if self.leaving && dispatcher.writer.is_idle() {
            self.phase = Phase::Releasing;
            self.next = now;
            self.release(now);
        }
    }

    fn written(&mut self, now: Instant, reply: &store::Reply) {
        let Some(dispatcher) = &mut self.dispatcher else { return };
        match dispatcher.writer.reply(now, reply) {
            writer::Verdict::Continue => {
                dispatcher.wake_all();
                self.settle();
            }
            writer::Verdict::Lost => self.lose(now),
        }
    }
}
