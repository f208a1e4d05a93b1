//! Executes the actions of an owned cell: orders to workers and transactions of the store. A commit
//! whose answer was lost is recognized in the store by its head, so that it is not made twice.

use {super::*, owner::Acquisition};

/// Delay before a failed read of a ticket is repeated.
const TICKET_RETRY_DELAY: Duration = Duration::from_millis(40);

/// Executes the actions of a cell for as long as this process owns it.
pub(crate) struct Executor {
    pub(crate) node: Rc<Node>,
    pub(crate) cell: u32,
    /// The revision of the owner's entry.
    pub(crate) entry_revision: u64,
    /// The highest fencing token that was sent to each worker.
    fences: RefCell<HashMap<Arc<str>, u64>>,
    /// The lease under which this process owns it.
    pub(crate) lease: u64,
    /// When the last commit was sent that was made, in milliseconds: there was no later owner.
    committed_at: Slot<u64>,
    events: mpsc::UnboundedSender<Event>,
    /// The workers' addresses for orders, including those of workers whose entry is gone.
    addresses: RefCell<HashMap<Arc<str>, SocketAddr>>,
    /// When the workers have started, in milliseconds since 1970, as far as their entries tell.
    births: RefCell<HashMap<Arc<str>, Option<u64>>>,
}

impl Executor {
    pub(crate) fn new(
        node: Rc<Node>,
        cell: u32,
        acquisition: &Acquisition,
        events: mpsc::UnboundedSender<Event>,
    ) -> Self {
        let &Acquisition { fence, lease, sent_at, .. } = acquisition;
        Self {
            node,
            cell,
            entry_revision: fence,
            fences: RefCell::default(),
            lease,
            committed_at: Slot::new(sent_at),
            events,
            addresses: RefCell::default(),
            births: RefCell::default(),
        }
    }

    /// Returns when the last call was sent whose answer shows that this process owned the cell, in
    /// milliseconds.
    pub(crate) fn confirmed_at(&self) -> u64 {
        let held = self.node.lease.get() == Some(self.lease);
        let renewed_at = if held { self.node.lease_confirmed_at.get() } else { 0 };
        self.committed_at.get().max(renewed_at)
    }

    /// Queues an event for the cell.
    pub(crate) fn send(&self, event: Event) {
        // Sending fails only after the cell's event loop has ended, which needs no more events.
        let _ = self.events.send(event);
    }

    /// Stores the addresses of the workers that have an entry, and when they have started.
    pub(crate) fn update_addresses(&self, members: &BTreeMap<Arc<str>, Option<Registration>>) {
        let mut addresses = self.addresses.borrow_mut();
        let mut births = self.births.borrow_mut();
        for (id, entry) in members {
            let Some(entry) = entry else { continue };
            births.insert(id.clone(), entry.born);
            if let Ok(address) = entry.address.parse() {
                addresses.insert(id.clone(), address);
            }
        }
    }

    /// Returns the destination of orders to a worker, or `Unreachable` when its address is unknown.
    fn peer<'a>(
        &self,
        worker: &'a Arc<str>,
        life: Option<u64>,
        fence: u64,
    ) -> Result<orders::Peer<'a>, Refusal> {
        let address = self.addresses.borrow().get(worker).copied();
        let address = address.ok_or(Refusal::Unreachable)?;
        let born = self.births.borrow().get(worker).copied().flatten();
        let mut fences = self.fences.borrow_mut();
        let highest = fences.entry(worker.clone()).or_default();
        *highest = fence.max(*highest);
        Ok(orders::Peer { address, born, fence, id: worker, life })
    }

    /// Returns the answer to an order with this fencing token.
    fn checked<T>(
        &self,
        worker: &str,
        fence: u64,
        answer: Result<T, Refusal>,
    ) -> Result<T, Refusal> {
        let highest = self.fences.borrow().get(worker).copied().unwrap_or(0);
        answer.map_err(|refusal| refusal.of_order(fence, highest))
    }

    /// Starts the execution of actions and returns whether one of them reports the cell as lost.
    pub(crate) fn execute_all(self: &Rc<Self>, actions: Vec<Action>) -> bool {
        let mut lost = false;
        let ages = meter::ViewAges {
            tenure_ms: time::now().saturating_sub(self.confirmed_at()),
            workers_ms: self.node.view_age_ms(),
            zones_ms: self.node.evacuation_age_ms(),
        };
        for action in actions {
            match action {
                Action::Lost => lost = true,
                Action::Report(report) => self.node.meter.report(self.cell, &report, ages),
                action => {
                    spawn_local(self.clone().execute(action));
                }
            }
        }
        lost
    }

    /// Executes one action and queues its outcome as an event. The refusal of a pace is only
    /// logged.
    async fn execute(self: Rc<Self>, action: Action) {
        let orders = &self.node.orders;
        match action {
            Action::Start { worker, life, fence, task, run, spec, lease_until, checkpoint } => {
                let start =
                    orders::Start { task, run, spec: &spec, lease_until, checkpoint: &checkpoint };
                let may_send = || self.node.may_order(self.lease, time::now());
                let answer = match self.peer(&worker, life, fence) {
                    Ok(peer) => orders.start(peer, start, may_send).await,
                    Err(refusal) => Err(refusal),
                };
                let answer = self.checked(&worker, fence, answer);
                self.send(Event::Start { worker, task, run, answer });
            }
            Action::Stop { worker, fence, task, run } => {
                let answer = match self.peer(&worker, None, fence) {
                    Ok(peer) => orders.stop(peer, task, run).await,
                    Err(refusal) => Err(refusal),
                };
                let answer = self.checked(&worker, fence, answer);
                self.send(Event::Stop { worker, task, run, answer });
            }
            Action::Poll { worker, life, fence, acknowledged, lease_until, wait_ms } => {
                let sent = time::now();
                let answer = match self.peer(&worker, life, fence) {
                    Ok(peer) => orders.poll(peer, acknowledged, lease_until, wait_ms).await,
                    Err(refusal) => Err(refusal),
                };
                let answer = self.checked(&worker, fence, answer);
                self.send(Event::Poll { worker, sent, answer });
            }
            Action::Pace { worker, fence, task, run, percent } => {
                let Ok(peer) = self.peer(&worker, None, fence) else { return };
                if let Err(reason) = orders.pace(peer, task, run, percent).await {
                    log::warn!(worker = &*worker, task:% = task, reason:? = reason; "pace_refused");
                }
            }
            Action::Commit(commit) => {
                let outcome = self.commit(&commit).await;
                self.send(Event::Commit(outcome));
            }
            Action::Confirm => self.node.confirmation_due.notify_one(),
            Action::Lookup(id) => {
                let ticket = loop {
                    match self.node.store.get(&keys::ticket(id)).await {
                        Ok(item) => break item.as_ref().and_then(decode),
                        Err(error) => self.node.store_failed("lookup", &error),
                    }
                    sleep(TICKET_RETRY_DELAY).await;
                };
                self.send(Event::TicketRead { id, ticket });
            }
            Action::Lost | Action::Report(_) => {}
        }
    }

    /// Writes a commit as one transaction. A failed condition is resolved by `resolve_conflict`.
    async fn commit(&self, commit: &Commit) -> Outcome {
        let cell = self.cell;
        let mut txn = Txn::expecting(keys::head(cell), commit.head_revision);
        for (id, revision) in &commit.expected {
            txn.expect(keys::ticket(*id), *revision);
        }
        txn.write(keys::head(cell), record::encode(&commit.head), 0);
        for (id, progress) in &commit.progress {
            txn.write(keys::progress(cell, *id), record::encode(progress), 0);
        }
        for (id, ticket) in &commit.tickets {
            txn.write(keys::ticket(*id), record::encode(ticket), 0);
        }
        for (id, other) in &commit.cancelled {
            txn.write(keys::cancelled(*other, *id), Vec::new(), 0);
        }
        if let Some(pressure) = &commit.pressure {
            txn.write(keys::pressure(cell), record::encode(pressure), 0);
        }
        for (id, to, record) in &commit.records {
            txn.write(keys::job(*to, *id), record::encode(&**record), 0);
        }
        for id in &commit.removed {
            txn.remove(keys::job(cell, *id));
            txn.remove(keys::progress(cell, *id));
            txn.remove(keys::cancelled(cell, *id));
        }
        let sent_at = time::now();
        match self.node.store.txn(&txn).await {
            Ok(revision) => {
                self.committed_at.set(self.committed_at.get().max(sent_at));
                self.node.store_answered();
                Outcome::Committed(revision)
            }
            Err(store::Error::Conflict(items)) => self.resolve_conflict(commit, &items),
            Err(store::Error::Unknown) => Outcome::Unknown,
            Err(error) => {
                self.node.store_failed("commit", &error);
                Outcome::Refused
            }
        }
    }

    /// Returns the outcome of a commit whose condition failed: made by an earlier attempt, made
    /// impossible by another owner, or in conflict with changed tickets.
    fn resolve_conflict(&self, commit: &Commit, items: &[Item]) -> Outcome {
        let key = keys::head(self.cell);
        let Some(head) = items.iter().find(|item| item.key == key) else { return Outcome::Lost };
        if head.revision != commit.head_revision {
            // The head is this commit's own if an earlier attempt was made and its answer was lost.
            let is_own = decode::<Head>(head).is_some_and(|found| found == commit.head);
            return if is_own { Outcome::Committed(head.revision) } else { Outcome::Lost };
        }
        let tickets = commit.expected.iter().map(|(id, _)| {
            let key = keys::ticket(*id);
            let item = items.iter().find(|item| item.key == key);
            (*id, item.map_or(0, |item| item.revision), item.and_then(decode))
        });
        Outcome::Conflict(tickets.collect())
    }
}
