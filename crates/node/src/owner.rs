//! Owns a cell: takes it under the VM's lease, feeds its events, carries its actions out.

use super::*;

/// Before an attempt to take a cell that another VM still holds.
const TAKE_AGAIN: Duration = Duration::from_millis(40);
/// How long a leaving owner waits for orders and commits under way, in milliseconds.
const LEAVE_MS: u64 = 1_200;
/// Between reads of what owners of other cells learned: about as often as they write it.
const LEARN: Duration = Duration::from_millis(1_500);
/// Between ticks of a cell.
const TICK: Duration = Duration::from_millis(oleanderstage_fleet::limits::TICK_MS);

/// A cell that was taken.
struct Taken {
    at: u64,
    fence: u64,
    head: Head,
    head_revision: u64,
}

/// The orders and store calls of one tenure.
struct Tenure {
    node: Rc<Node>,
    cell: u32,
    fence: u64,
    events: mpsc::UnboundedSender<Event>,
    addresses: RefCell<HashMap<Arc<str>, SocketAddr>>,
}

/// Starts and ends tenures as the map says.
pub(crate) async fn supervise(node: Rc<Node>) {
    loop {
        let wanted =
            if node.leaving.get() { Vec::new() } else { node.map.borrow().0.cells(&node.boot.vm) };
        for cell in wanted {
            if node.cells.borrow().contains_key(&cell) {
                continue;
            }
            node.cells.borrow_mut().insert(cell, Rc::new(Notify::new()));
            let node = node.clone();
            spawn_local(async move {
                let tenant = node.clone();
                let ended = spawn_local(async move { tenure(&tenant, cell).await }).await;
                if let Err(error) = ended {
                    log::error!(cell, error:% = error; "cell_task_failed");
                }
                node.cells.borrow_mut().remove(&cell);
                node.changed.notify_waiters();
            });
        }
        let _ = tokio::time::timeout(Duration::from_millis(200), node.changed.notified()).await;
    }
}

/// One tenure of a cell.
async fn tenure(node: &Rc<Node>, cell: u32) {
    let Some(taken) = take(node, cell).await else { return };
    log::info!(cell, generation = taken.head.generation, fence = taken.fence; "cell_taken");
    node.meter.event("cell_taken");
    let Some((state, revision, cancelled)) = load(node, cell, &taken).await else {
        // The map gave the cell to another VM meanwhile, which waits for this entry to go.
        give_up(node, cell, &taken, &taken.head, taken.head_revision).await;
        return;
    };
    let (events, inbox) = mpsc::unbounded_channel();
    let tenure = Rc::new(Tenure {
        node: node.clone(),
        cell,
        fence: taken.fence,
        events: events.clone(),
        addresses: RefCell::default(),
    });
    for (id, revision) in cancelled {
        let _ = events.send(Event::Cancelled { id, revision });
    }
    let follow =
        Follow::new(node.clone(), keys::cell(cell), Duration::from_millis(2)).from(revision);
    let watch = spawn_local(watch(tenure.clone(), follow));
    let learning = spawn_local(learn(tenure.clone()));
    let kept = drive(&tenure, state, inbox).await;
    watch.abort();
    learning.abort();
    if let Some((head, revision)) = kept {
        give_up(node, cell, &taken, &head, revision).await;
    }
    log::info!(cell, fence = taken.fence; "cell_left");
}

/// Takes the cell when its last owner is gone.
async fn take(node: &Rc<Node>, cell: u32) -> Option<Taken> {
    loop {
        node.members(cell)?;
        let Some(lease) = node.lease.get() else {
            sleep(TAKE_AGAIN).await;
            continue;
        };
        match try_take(node, cell, lease).await {
            Ok(Some(taken)) => return Some(taken),
            Ok(None) => {}
            Err(error) => node.store_failed("take", &error),
        }
        sleep(TAKE_AGAIN).await;
    }
}

async fn try_take(node: &Rc<Node>, cell: u32, lease: u64) -> Result<Option<Taken>, store::Error> {
    let item = node.store.get(&keys::head(cell)).await?;
    let (old, revision) = match &item {
        Some(item) => (decode::<Head>(item).unwrap_or_default(), item.revision),
        None => (Head::default(), 0),
    };
    let head = Head {
        cell,
        generation: old.generation + 1,
        owner: node.incarnation.clone(),
        sequence: 0,
        ..old
    };
    let owner = node.incarnation.clone().into_bytes();
    let txn = Txn {
        expected: vec![(keys::owner(cell), 0), (keys::head(cell), revision)],
        writes: vec![
            (keys::owner(cell), owner, lease),
            (keys::head(cell), serde_json::to_vec(&head).unwrap_or_default(), 0),
        ],
        ..Txn::default()
    };
    let at = time::now();
    match node.store.txn(&txn).await {
        Ok(revision) => Ok(Some(Taken { at, fence: revision, head, head_revision: revision })),
        Err(store::Error::Conflict(_)) => {
            remove_own(node, cell).await?;
            Ok(None)
        }
        Err(error) => Err(error),
    }
}

/// Removes an owner's entry that this process wrote without hearing the answer, or in an earlier
/// tenure: a tenure starts only with an entry of its own.
async fn remove_own(node: &Rc<Node>, cell: u32) -> Result<(), store::Error> {
    let Some(item) = node.store.get(&keys::owner(cell)).await? else { return Ok(()) };
    if item.value.as_deref() != Some(node.incarnation.as_bytes()) {
        return Ok(());
    }
    let txn = Txn {
        expected: vec![(keys::owner(cell), item.revision)],
        removed: vec![keys::owner(cell)],
        ..Txn::default()
    };
    node.store.txn(&txn).await.map(drop)
}

fn decode<T: serde::de::DeserializeOwned>(item: &Item) -> Option<T> {
    let value = item.value.as_deref()?;
    serde_json::from_slice(value)
        .inspect_err(|error| log::error!(key = item.key, error:% = error; "record_unreadable"))
        .ok()
}

/// Reads the jobs of the cell.
async fn load(
    node: &Rc<Node>,
    cell: u32,
    taken: &Taken,
) -> Option<(Cell, u64, Vec<(job::Id, u64)>)> {
    let (items, progress, learned) = loop {
        let members = node.members(cell).is_some();
        if !members {
            return None;
        }
        if let Err(error) = discovery::refresh(node).await {
            node.store_failed("load", &error);
            sleep(TAKE_AGAIN).await;
            continue;
        }
        node.owning.notify_waiters();
        let items = node.store.all(&keys::cell(cell)).await;
        let progress = node.store.all(&keys::progress_prefix(cell)).await;
        let learned = node.store.get(&keys::pressure(cell)).await;
        match (items, progress, learned) {
            (Ok(items), Ok(progress), Ok(learned)) => break (items, progress, learned),
            (Err(error), ..) | (_, Err(error), _) | (_, _, Err(error)) => {
                node.store_failed("load", &error);
                sleep(TAKE_AGAIN).await;
            }
        }
    };
    let mut known: HashMap<job::Id, Progress> = progress
        .items
        .iter()
        .filter_map(|item| Some((keys::last_id(&item.key)?, decode(item)?)))
        .collect();
    let mut jobs = Vec::new();
    let mut cancelled = Vec::new();
    for item in &items.items {
        match keys::entry(cell, &item.key) {
            Some(keys::Entry::Job(id)) => {
                let Some(record) = decode(item) else { continue };
                jobs.push((id, record, known.remove(&id).unwrap_or_default(), item.revision));
            }
            Some(keys::Entry::Cancelled(id)) => cancelled.push((id, item.revision)),
            _ => {}
        }
    }
    let config = node.config.borrow().clone().unwrap_or_default();
    log::info!(cell, jobs = jobs.len(), revision = items.revision; "cell_loaded");
    let start = cell::Start {
        acquired_at: taken.at,
        config,
        head: taken.head.clone(),
        head_revision: taken.head_revision,
        limits: node.limits(),
        pressure: learned.as_ref().and_then(decode).unwrap_or_default(),
    };
    let members = node.members(cell)?;
    Some((Cell::new(start, jobs, members), items.revision, cancelled))
}

/// Feeds changes of the cell's keys.
async fn watch(tenure: Rc<Tenure>, mut follow: Follow) {
    loop {
        let (items, all) = match follow.next().await {
            Seen::All(items) => (items, true),
            Seen::Changes(items) => (items, false),
        };
        let mut owned = !all;
        for item in items {
            match keys::entry(tenure.cell, &item.key) {
                Some(keys::Entry::Owner) => owned = item.revision == tenure.fence,
                Some(keys::Entry::Job(id)) => {
                    let Some(record) = decode(&item) else { continue };
                    tenure.send(Event::Accepted { id, record, revision: item.revision });
                }
                Some(keys::Entry::Cancelled(id)) if item.value.is_some() => {
                    tenure.send(Event::Cancelled { id, revision: item.revision });
                }
                _ => {}
            }
            if !owned && !all {
                break;
            }
        }
        if !owned {
            tenure.send(Event::Lost);
        }
    }
}

/// Feeds what owners of other cells learned.
async fn learn(tenure: Rc<Tenure>) {
    let own = keys::pressure(tenure.cell);
    loop {
        sleep(LEARN).await;
        let page = match tenure.node.store.all(keys::PRESSURES).await {
            Ok(page) => page,
            Err(error) => {
                tenure.node.store_failed("learn", &error);
                continue;
            }
        };
        let mut others = Pressure::default();
        for item in page.items.iter().filter(|item| item.key != own) {
            if let Some(learned) = decode(item) {
                others.add(&learned);
            }
        }
        tenure.send(Event::Learned(others));
    }
}

/// Runs the cell until it is lost or left; returns its head unless it is lost.
async fn drive(
    tenure: &Rc<Tenure>,
    mut cell: Cell,
    mut inbox: mpsc::UnboundedReceiver<Event>,
) -> Option<(Head, u64)> {
    let node = &tenure.node;
    let wake = node.cells.borrow().get(&tenure.cell).cloned().unwrap_or_default();
    let mut members = None;
    let mut version = 0;
    let mut seen_at = 0;
    let mut leaving = None;
    loop {
        let event = tokio::select! {
            event = inbox.recv() => event.unwrap_or(Event::Tick),
            () = wake.notified() => Event::Tick,
            () = sleep(TICK) => Event::Tick,
        };
        let clock = time::clock();
        let mut lost = tenure.carry(cell.handle(clock, event));
        let config = node.config.borrow().clone();
        if let Some(config) = config.filter(|config| config.version != version) {
            version = config.version;
            lost |= tenure.carry(cell.handle(clock, Event::Configured(config)));
        }
        let board_at = node.board_at.get();
        if board_at != seen_at {
            seen_at = board_at;
            let heads = node.heads.borrow().clone();
            lost |= tenure.carry(cell.handle(clock, Event::Board(heads)));
        }
        match node.members(tenure.cell) {
            Some(now) if members.as_ref() != Some(&now) => {
                tenure.learn(&now);
                members = Some(now.clone());
                lost |= tenure.carry(cell.handle(clock, Event::Workers(now)));
            }
            Some(_) => {}
            None if leaving.is_none() => {
                leaving = Some(clock.now);
                lost |= tenure.carry(cell.handle(clock, Event::Leaving));
            }
            None => {}
        }
        let silent = clock.now > node.confirmed_at.get() + node::OWNER_SILENCE_MS;
        if lost || silent {
            log::warn!(cell = tenure.cell, fence = tenure.fence, silent; "cell_lost");
            return None;
        }
        let quiet = cell.is_quiet();
        if leaving.is_some_and(|since| quiet || clock.now > since + LEAVE_MS) {
            break;
        }
    }
    let (head, revision) = cell.head();
    Some((head.clone(), revision))
}

/// Removes the owner's entry, so that the next owner need not wait for the lease.
async fn give_up(node: &Rc<Node>, cell: u32, taken: &Taken, head: &Head, revision: u64) {
    log::info!(cell, sequence = head.sequence; "cell_handed_over");
    let txn = Txn {
        expected: vec![(keys::owner(cell), taken.fence), (keys::head(cell), revision)],
        removed: vec![keys::owner(cell)],
        ..Txn::default()
    };
    if let Err(error) = node.store.txn(&txn).await {
        node.store_failed("give-up", &error);
    }
}

impl Tenure {
    fn send(&self, event: Event) {
        let _ = self.events.send(event);
    }

    /// Keeps the addresses of workers.
    fn learn(&self, members: &BTreeMap<Arc<str>, Option<Registration>>) {
        let mut addresses = self.addresses.borrow_mut();
        for (id, entry) in members {
            let Some(entry) = entry else { continue };
            if let Ok(address) = entry.address.parse() {
                addresses.insert(id.clone(), address);
            }
        }
    }

    fn peer<'a>(&self, address: SocketAddr, id: &'a str) -> orders::Peer<'a> {
        orders::Peer { address, fence: self.fence, id }
    }

    fn address(&self, worker: &Arc<str>) -> Option<SocketAddr> {
        self.addresses.borrow().get(worker).copied()
    }

    /// Carries actions out; returns whether the cell is lost.
    fn carry(self: &Rc<Self>, actions: Vec<Action>) -> bool {
        let mut lost = false;
        for action in actions {
            match action {
                Action::Lost => lost = true,
                Action::Report(report) => self.node.meter.report(self.cell, &report),
                action => {
                    spawn_local(perform(self.clone(), action));
                }
            }
        }
        lost
    }
}

/// Carries one action out.
async fn perform(tenure: Rc<Tenure>, action: Action) {
    let orders = &tenure.node.orders;
    match action {
        Action::Start { worker, task, run, spec, lease_until, checkpoint } => {
            let start =
                orders::Start { task, run, spec: &spec, lease_until, checkpoint: &checkpoint };
            let answer = match tenure.address(&worker) {
                Some(address) => orders.start(tenure.peer(address, &worker), start).await,
                None => Err(Refusal::Unreachable),
            };
            tenure.send(Event::Start { worker, task, run, answer });
        }
        Action::Stop { worker, task, run } => {
            let answer = match tenure.address(&worker) {
                Some(address) => orders.stop(tenure.peer(address, &worker), task, run).await,
                None => Err(Refusal::Unreachable),
            };
            tenure.send(Event::Stop { worker, task, run, answer });
        }
        Action::Poll { worker, acknowledged, lease_until, wait_ms } => {
            let sent = time::now();
            let answer = match tenure.address(&worker) {
                Some(address) => {
                    let peer = tenure.peer(address, &worker);
                    orders.poll(peer, acknowledged, lease_until, wait_ms).await
                }
                None => Err(Refusal::Unreachable),
            };
            tenure.send(Event::Poll { worker, sent, answer });
        }
        Action::Pace { worker, task, run, percent } => {
            let Some(address) = tenure.address(&worker) else { return };
            if let Err(reason) =
                orders.pace(tenure.peer(address, &worker), task, run, percent).await
            {
                log::warn!(worker = &*worker, task:% = task, reason:? = reason; "pace_refused");
            }
        }
        Action::Commit(commit) => {
            let outcome = tenure.commit(&commit).await;
            tenure.send(Event::Commit(outcome));
        }
        Action::Lookup(id) => {
            let ticket = loop {
                match tenure.node.store.get(&keys::ticket(id)).await {
                    Ok(item) => break item.as_ref().and_then(decode),
                    Err(error) => tenure.node.store_failed("lookup", &error),
                }
                sleep(TAKE_AGAIN).await;
            };
            tenure.send(Event::TicketRead { id, ticket });
        }
        Action::Lost | Action::Report(_) => {}
    }
}

impl Tenure {
    /// Makes a commit, and settles whether it was made when its condition fails.
    async fn commit(&self, commit: &Commit) -> Outcome {
        let cell = self.cell;
        let mut txn = Txn::default();
        txn.expected.push((keys::head(cell), commit.head_revision));
        for (id, revision) in &commit.expected {
            txn.expected.push((keys::ticket(*id), *revision));
        }
        txn.writes.push((keys::head(cell), json(&commit.head), 0));
        for (id, progress) in &commit.progress {
            txn.writes.push((keys::progress(cell, *id), json(progress), 0));
        }
        for (id, ticket) in &commit.tickets {
            txn.writes.push((keys::ticket(*id), json(ticket), 0));
        }
        if let Some(pressure) = &commit.pressure {
            txn.writes.push((keys::pressure(cell), json(pressure), 0));
        }
        for (id, to, record) in &commit.records {
            txn.writes.push((keys::job(*to, *id), json(&**record), 0));
        }
        for id in &commit.removed {
            txn.removed.push(keys::job(cell, *id));
            txn.removed.push(keys::progress(cell, *id));
            txn.removed.push(keys::cancelled(cell, *id));
        }
        match self.node.store.txn(&txn).await {
            Ok(revision) => {
                self.node.heard();
                Outcome::Committed(revision)
            }
            Err(store::Error::Conflict(items)) => self.conflict(commit, &items),
            Err(store::Error::Unknown) => Outcome::Unknown,
            Err(error) => {
                self.node.store_failed("commit", &error);
                Outcome::Refused
            }
        }
    }

    fn conflict(&self, commit: &Commit, items: &[Item]) -> Outcome {
        let key = keys::head(self.cell);
        let Some(head) = items.iter().find(|item| item.key == key) else { return Outcome::Lost };
        if head.revision != commit.head_revision {
            // An earlier try of this commit, whose answer was lost, left this head.
            let own = decode::<Head>(head).is_some_and(|found| found == commit.head);
            return if own { Outcome::Committed(head.revision) } else { Outcome::Lost };
        }
        let tickets = commit.expected.iter().map(|(id, _)| {
            let key = keys::ticket(*id);
            let item = items.iter().find(|item| item.key == key);
            (*id, item.map_or(0, |item| item.revision), item.and_then(decode))
        });
        Outcome::Conflict(tickets.collect())
    }
}

/// Returns a record as it is stored.
fn json<T: serde::Serialize>(value: &T) -> Vec<u8> {
    serde_json::to_vec(value).unwrap_or_default()
}
