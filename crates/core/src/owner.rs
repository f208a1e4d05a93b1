//! One scheduler's ownership of a cell: it waits for the cell to be vacant, takes it over, owns it
//! and hands it over.

use super::*;

pub use message::{Action, Call, Event, Note};

#[path = "owner_message.rs"]
mod message;
#[path = "owner_takeover.rs"]
mod takeover;

/// How often the first scheduler in rank checks whether a cell has an owner. The second checks half
/// as often, the third a third as often, so that the number of calls for a cell grows with the
/// logarithm of the number of schedulers.
pub const CHECK_INTERVAL: Duration = Duration::from_secs(1);
/// Mean pause before a failed call is retried.
pub const RETRY_PAUSE: Duration = Duration::from_millis(500);
/// How long a scheduler leaves a vacant cell unclaimed, for each scheduler that ranks before it.
pub const RANK_DELAY: Duration = Duration::from_millis(1_000);
/// Replaces `RANK_DELAY` for a cell that its owner handed over.
pub const RELEASED_DELAY: Duration = Duration::from_millis(100);
/// Pause after a value of the cell that can't be read.
pub const REFUSED_PAUSE: Duration = Duration::from_secs(30);

/// One scheduler's ownership of a cell. Acts as its owner only while the lease covers the effect of
/// each action.
#[derive(Clone, Debug)]
pub struct Owner {
    actions: Vec<Action>,
    /// Number of the last call to the key-value service.
    calls: u64,
    cell: cell::Id,
    chart: Arc<stage::Life>,
    config: Option<(Arc<Config>, Arc<[config::Vm]>)>,
    /// The jobs and workers of the cell. Kept after the lease is lost, so that running tasks stay
    /// alive.
    dispatcher: Option<Dispatcher>,
    faults: Faults,
    /// Answers that wait until the group of that sequence number is durable.
    pending_answers: VecDeque<(u64, Ticket, Answer)>,
    holder: Holder,
    keep_alive_call: Option<u64>,
    /// When the last lease ended.
    lease_end: Instant,
    leaving: bool,
    vm_list: Vec<Listing>,
    /// The call in progress, other than to keep the lease alive.
    main_call: Option<u64>,
    next_call: Instant,
    phase: Phase,
    random: Pcg64Mcg,
    rank: u32,
    lease: Option<Lease>,
    vacant_since: Option<Instant>,
}

#[derive(Clone, Debug, PartialEq)]
enum Phase {
    /// The takeover was requested. If `in_doubt`, its result is unknown and is read back.
    Claiming {
        /// When the lease was requested.
        requested: Instant,
        in_doubt: bool,
        lease_id: i64,
        /// Whether the previous owner handed the cell over.
        released: bool,
    },
    /// A lease was requested.
    Granting {
        requested: Instant,
        /// The cell's highest epoch, as it was read.
        term: Option<store::Value>,
    },
    /// The cell is claimed, and its state is being read.
    Loading {
        /// Whether the previous owner handed the cell over.
        released: bool,
    },
    /// The owner key is being read.
    Checking,
    Owning,
    Released,
    Releasing,
    /// Waits until the next check for a vacant cell is due.
    Waiting,
}

impl Owner {
    /// Returns the ownership of a cell that the scheduler and incarnation in `holder` have not taken
    /// over yet. `rank` schedulers rank before this one.
    ///
    /// # Errors
    ///
    /// Returns an error if the state chart of tasks is invalid.
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
            pending_answers: VecDeque::new(),
            holder,
            keep_alive_call: None,
            lease_end: Instant::default(),
            leaving: false,
            vm_list: Vec::new(),
            main_call: None,
            next_call: Instant::default(),
            phase: Phase::Waiting,
            random: Pcg64Mcg::seed_from_u64(seed),
            rank,
            lease: None,
            vacant_since: None,
        })
    }

    /// Returns the epoch under which the cell is owned at `now`.
    pub fn epoch(&self, now: Instant) -> Option<cell::Epoch> {
        (self.phase == Phase::Owning && self.covers(now)).then_some(self.holder.epoch)
    }

    /// Returns whether the cell is handed over. Nothing more is done then.
    pub fn is_released(&self) -> bool {
        self.phase == Phase::Released
    }

    /// Returns the jobs and tasks, while the cell is owned or its running tasks are kept alive.
    pub fn ledger(&self) -> Option<&Ledger> {
        self.dispatcher.as_ref().map(|dispatcher| &dispatcher.ledger)
    }

    /// Handles an event at `now` and returns the actions to carry out.
    pub fn handle(&mut self, now: Instant, event: Event) -> Vec<Action> {
        match event {
            Event::Call { call, ticket } => self.on_call(now, ticket, &call),
            Event::Configured { config, vms } => self.configure(config, vms),
            Event::Leave => self.leaving = true,
            Event::Listed(listed) => self.update_vm_list(now, listed),
            Event::Relieve { relief, task } => {
                self.with_dispatcher(self.holder.epoch, |d| d.relieve(&task, relief));
            }
            Event::Reported { epoch, report, vm } => {
                self.with_dispatcher(epoch, |d| d.handle_report(now, &vm, &report));
            }
            Event::Stale { epoch, vm } => self.on_stale(now, epoch, &vm),
            Event::Store { call, reply } => self.on_store_reply(now, call, &reply),
            Event::Tick => self.tick(now),
            Event::Unreached { epoch, vm } => {
                self.with_dispatcher(epoch, |d| d.handle_unreached(now, &vm))
            }
        }
        self.advance(now);
        std::mem::take(&mut self.actions)
    }

    /// Makes the calls to the key-value service that are due.
    fn advance(&mut self, now: Instant) {
        self.keep_lease_alive(now);
        match self.phase {
            Phase::Owning => self.write(now),
            Phase::Releasing => self.release(now),
            Phase::Waiting if self.leaving => self.finish(),
            Phase::Waiting if now >= self.next_call && self.config.is_some() => {
                let keys = vec![journal::owner_key(&self.cell), journal::epoch_key(&self.cell)];
                self.send_call(store::Request::Read(keys));
                self.phase = Phase::Checking;
            }
            Phase::Claiming { in_doubt: true, .. }
                if self.main_call.is_none() && now >= self.next_call =>
            {
                self.send_call(store::Request::Read(vec![journal::owner_key(&self.cell)]));
            }
            Phase::Loading { .. } if self.main_call.is_none() && now >= self.next_call => {
                self.load(now)
            }
            _ => (),
        }
    }

    fn answer(&mut self, ticket: Ticket, answer: Answer) {
        self.actions.push(Action::Answer { answer, ticket });
    }

    fn send_call(&mut self, request: store::Request) {
        self.calls += 1;
        self.main_call = Some(self.calls);
        self.actions.push(Action::Store { call: self.calls, request });
    }

    fn on_call(&mut self, now: Instant, ticket: Ticket, call: &Call) {
        if let Some(refusal) = self.refusal(now, call) {
            let text = format!("cell `{}` cannot take the call now", self.cell);
            return self.answer(ticket, Answer::refuse(refusal, text));
        }
        let Some(dispatcher) = &mut self.dispatcher else { return };
        let result = match call {
            Call::Cancel(id) => dispatcher.cancel(now, id.serial),
            Call::Explain(_) | Call::Job(_) => Ok(dispatcher.writer.last_sequence()),
            Call::Submit { id, spec } => dispatcher.submit(id.serial, spec),
        };
        let answer = match call {
            Call::Explain(id) => dispatcher.explain(id).map(Answer::Explain),
            Call::Job(id) => dispatcher.ledger.status(id).map(Answer::Job),
            _ => Some(Answer::Done),
        };
        let unknown = || Answer::refuse(answer::Refusal::Unknown, "the job is not known");
        match result {
            Err(refused) => self.answer(ticket, refused),
            Ok(sequence) => {
                self.pending_answers.push_back((sequence, ticket, answer.unwrap_or_else(unknown)));
                self.send_durable_answers();
            }
        }
    }

    fn configure(&mut self, config: Arc<Config>, vms: Arc<[config::Vm]>) {
        if let Some(dispatcher) = &mut self.dispatcher {
            dispatcher.configure(&config, &vms);
        }
        self.config = Some((config, vms));
    }

    /// Returns whether the lease covers a batch that is sent now until it takes effect.
    fn covers(&self, now: Instant) -> bool {
        self.faults == Faults::NoEpochCheck && self.lease.is_some()
            || self.lease.as_ref().is_some_and(|lease| lease.covers(now, contact::BATCH_VALIDITY))
    }

    fn finish(&mut self) {
        self.phase = Phase::Released;
        self.dispatcher = None;
        self.lease = None;
        self.actions.push(Action::Note(Note::Released));
    }

    /// Sends a keep-alive for the lease if it is due.
    fn keep_lease_alive(&mut self, now: Instant) {
        let Some(lease) = &mut self.lease else { return };
        if self.keep_alive_call.is_some() || !lease.poll(now) {
            return;
        }
        self.calls += 1;
        self.keep_alive_call = Some(self.calls);
        let request = store::Request::KeepAlive(lease.id);
        self.actions.push(Action::Store { call: self.calls, request });
    }

    fn on_keep_alive_reply(&mut self, now: Instant, reply: &store::Reply) {
        let jitter = self.random.random_range(0.0..1.0);
        match reply {
            store::Reply::Lapsed => self.lose_lease(now),
            _ => {
                let kept = *reply == store::Reply::Kept;
                self.lease.iter_mut().for_each(|lease| lease.on_reply(now, kept, jitter));
            }
        }
    }

    fn update_vm_list(&mut self, now: Instant, listed: Vec<Listing>) {
        if let Some(dispatcher) = &mut self.dispatcher {
            dispatcher.apply_vm_list(now, &listed);
        }
        self.vm_list = listed;
    }

    /// Stops acting as the owner, but keeps running tasks alive.
    fn lose_lease(&mut self, now: Instant) {
        if let Some(lease) = self.lease.take() {
            self.lease_end = lease.deadline().min(now);
        }
        self.keep_alive_call = None;
        self.pending_answers.clear();
        self.actions.push(Action::Note(Note::Lost));
        self.wait(now);
    }

    fn owner_value(&self) -> store::Value {
        store::Value { bytes: sealed::seal(&self.holder), key: journal::owner_key(&self.cell) }
    }

    fn pause(&mut self, now: Instant, pause: Duration) {
        self.next_call = now + pause.mul_f64(self.random.random_range(0.5..1.5));
    }

    /// Returns the reason why a call can't be accepted now, if there is one.
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
        if self.main_call.is_some() || now < self.next_call {
            return;
        }
        if !self.covers(now) {
            return self.finish();
        }
        let term = Term { epoch: self.holder.epoch, released: true };
        let value =
            store::Value { bytes: sealed::seal(&term), key: journal::epoch_key(&self.cell) };
        self.send_call(store::Request::Commit(store::Txn {
            conditions: vec![store::Condition::Equals(self.owner_value())],
            operations: vec![
                store::Operation::Delete(journal::owner_key(&self.cell)),
                store::Operation::Put { lease: None, value },
            ],
        }));
    }

    fn on_release_reply(&mut self, now: Instant, reply: &store::Reply) {
        match reply {
            store::Reply::Committed | store::Reply::Conflict => self.finish(),
            _ => self.pause(now, RETRY_PAUSE),
        }
    }

    fn wait(&mut self, now: Instant) {
        self.phase = Phase::Waiting;
        self.main_call = None;
        self.pause(now, CHECK_INTERVAL * (1 + self.rank));
    }

    /// Sends the answers of calls whose group is durable.
    fn send_durable_answers(&mut self) {
        let Some(dispatcher) = &self.dispatcher else { return };
        let committed = dispatcher.writer.committed();
        while let Some((_, ticket, answer)) =
            self.pending_answers.pop_front_if(|(sequence, _, _)| *sequence <= committed)
        {
            self.actions.push(Action::Answer { answer, ticket });
        }
    }

    fn on_stale(&mut self, now: Instant, epoch: cell::Epoch, vm: &Name) {
        if self.faults == Faults::NoEpochCheck {
            return self.with_dispatcher(epoch, |d| d.handle_unreached(now, vm));
        }
        if epoch != self.holder.epoch || self.dispatcher.is_none() {
            return;
        }
        self.dispatcher = None;
        self.lose_lease(now);
    }

    fn on_store_reply(&mut self, now: Instant, call: u64, reply: &store::Reply) {
        if self.keep_alive_call == Some(call) {
            self.keep_alive_call = None;
            return self.on_keep_alive_reply(now, reply);
        }
        if self.main_call != Some(call) {
            return;
        }
        self.main_call = None;
        match self.phase {
            Phase::Claiming { .. } => self.on_claim_reply(now, reply),
            Phase::Granting { .. } => self.on_grant_reply(now, reply),
            Phase::Loading { .. } => self.on_load_reply(now, reply),
            Phase::Checking => self.on_check_reply(now, reply),
            Phase::Owning => self.on_write_reply(now, reply),
            Phase::Releasing => self.on_release_reply(now, reply),
            Phase::Released | Phase::Waiting => (),
        }
    }

    /// Places tasks and sends batches of commands, as far as the lease allows.
    fn tick(&mut self, now: Instant) {
        if matches!(self.phase, Phase::Releasing | Phase::Released) {
            return;
        }
        let owning = self.phase == Phase::Owning;
        let covers = self.covers(now);
        let lease_end = self.lease.as_ref().map_or(self.lease_end, Lease::deadline);
        let Some(dispatcher) = &mut self.dispatcher else { return };
        dispatcher.step(now, owning && covers && !self.leaving);
        let mode = contact::Mode {
            committed: dispatcher.writer.committed(),
            epoch: self.batch_epoch(),
            may_renew: owning && covers || now < lease_end + contact::OUTAGE_GRACE,
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

    /// Calls `act` on the dispatcher if `epoch` is its epoch.
    fn with_dispatcher(&mut self, epoch: cell::Epoch, act: impl FnOnce(&mut Dispatcher)) {
        if epoch == self.batch_epoch() {
            self.dispatcher.as_mut().map(act);
        }
    }

    /// Commits the records that are due, and starts to hand the cell over once all are durable.
    fn write(&mut self, now: Instant) {
        if self.main_call.is_some() || !self.covers(now) {
            return;
        }
        let Some(dispatcher) = &mut self.dispatcher else { return };
        if let Some(request) = dispatcher.writer.poll(now, &dispatcher.ledger) {
            return self.send_call(request);
        }
        if self.leaving && dispatcher.writer.is_idle() {
            self.phase = Phase::Releasing;
            self.next_call = now;
            self.release(now);
        }
    }

    fn on_write_reply(&mut self, now: Instant, reply: &store::Reply) {
        let Some(dispatcher) = &mut self.dispatcher else { return };
        match dispatcher.writer.on_reply(now, reply) {
            writer::Verdict::Continue => {
                dispatcher.wake_all();
                self.send_durable_answers();
            }
            writer::Verdict::Lost => self.lose_lease(now),
        }
    }
}
