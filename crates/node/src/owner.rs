//! Owns cells: acquires each under the VM's lease, passes events to it and executes its actions.
//!
//! A cell has at most one owner's entry, and the revision of that entry is the owner's first fencing
//! token. Later ones are the revisions of its heads. The store removes the entry when the VM's lease
//! expires, so that another VM can acquire the cell after a crash.

use super::*;

/// Delay before another attempt to acquire a cell that another VM still owns, or to load it.
const RETRY_DELAY: Duration = Duration::from_millis(40);
/// Delay before another attempt to remove an owner's entry.
pub(crate) const RELEASE_RETRY_DELAY: Duration = Duration::from_millis(100);
/// How long a leaving owner waits for its pending orders and commits, in milliseconds.
const LEAVE_TIMEOUT_MS: u64 = 1_200;
/// Interval between reads of the other cells' pressure records: about as often as they are written.
const PRESSURE_READ_INTERVAL: Duration = Duration::from_millis(1_500);
/// The longest time between two events of a cell.
const TICK_INTERVAL: Duration = Duration::from_millis(oleanderstage_fleet::limits::TICK_MS);

/// The transaction that made this process the owner of a cell.
pub(crate) struct Acquisition {
    /// When the transaction was sent, in milliseconds.
    pub(crate) sent_at: u64,
    /// When it was answered, in milliseconds.
    answered_at: u64,
    /// The first fencing token: the revision of the owner's entry, and of the head.
    pub(crate) fence: u64,
    head: Head,
    head_revision: u64,
    /// The VM's lease, with which the ownership ends.
    pub(crate) lease: u64,
    /// The head of the last owner, and its revision.
    pub(crate) previous: (Head, u64),
}

/// A cell as loaded from the store.
struct Snapshot {
    /// Cancelled jobs with the revisions of their cancellation marks.
    cancelled: Vec<(job::Id, u64)>,
    /// The store's revision from which later changes are watched.
    revision: u64,
    /// The cell with the jobs that were read.
    cell: Cell,
}

/// Starts a task for each cell that is assigned to this VM and has none. The task ends when the
/// cell is lost or assigned to another VM, or when this VM leaves.
pub(crate) async fn supervise(node: Rc<Node>) {
    loop {
        node.observe_running();
        let assigned = if node.leaving.get() {
            Vec::new()
        } else {
            node.assignment.borrow().0.cells(&node.boot.vm)
        };
        for cell in assigned {
            if node.cells.borrow().contains_key(&cell) {
                continue;
            }
            node.cells.borrow_mut().insert(cell, Rc::new(Notify::new()));
            let node = node.clone();
            spawn_local(async move {
                let task_node = node.clone();
                let result = spawn_local(async move { own(&task_node, cell).await }).await;
                if let Err(error) = result {
                    log::error!(cell, error:% = error; "cell_task_failed");
                }
                node.cells.borrow_mut().remove(&cell);
                node.changed.notify_waiters();
            });
        }
        let _ = tokio::time::timeout(Duration::from_millis(200), node.changed.notified()).await;
    }
}

/// Acquires a cell and owns it until it is lost or released. However the ownership ends, the owner's
/// entry is removed if it is still this owner's: the next owner waits for that.
async fn own(node: &Rc<Node>, cell: u32) {
    let Some(acquisition) = acquire(node, cell).await else {
        return discard_own_entry(node, cell).await;
    };
    log::info!(cell, generation = acquisition.head.generation, fence = acquisition.fence; "cell_taken");
    let leases_over_at = match load(node, cell, &acquisition).await {
        Some(snapshot) => run_cell(node, cell, &acquisition, snapshot).await,
        // The cell was assigned to another VM while it was loaded.
        None => handover::predecessor(node, cell, &acquisition, None).leases_over_at(
            acquisition.answered_at,
            time::now(),
            &node.limits(),
        ),
    };
    let stop = Stop { generation: acquisition.head.generation, leases_over_at };
    node.stops.borrow_mut().insert(cell, stop);
    handover::release(node, cell, acquisition.fence, &stop).await;
    log::info!(cell, fence = acquisition.fence; "cell_left");
}

/// Runs a loaded cell, with its watch and its reads of pressure, until it is lost or can be
/// released. Returns when the leases are over that this owner and earlier ones granted, in milliseconds.
async fn run_cell(
    node: &Rc<Node>,
    cell: u32,
    acquisition: &Acquisition,
    snapshot: Snapshot,
) -> u64 {
    let Snapshot { cancelled, revision, cell: loaded } = snapshot;
    let (events, inbox) = mpsc::unbounded_channel();
    let executor = Rc::new(Executor::new(node.clone(), cell, acquisition, events));
    for (id, revision) in cancelled {
        executor.send(Event::Cancelled { id, revision });
    }
    let follower = Follower::new(node.clone(), keys::cell_prefix(cell), Duration::from_millis(2))
        .starting_after(revision);
    let watch_task = spawn_local(watch_keys(executor.clone(), follower));
    let pressure_task = spawn_local(read_pressures(executor.clone()));
    let (previous, revision) = &acquisition.previous;
    let inputs = Inputs::new(previous.owner.clone(), *revision);
    let leases_over_at = handle_events(&executor, loaded, inbox, inputs).await;
    watch_task.abort();
    pressure_task.abort();
    leases_over_at
}

/// Acquires a cell as soon as its last owner's entry is gone. Returns `None` when the cell is no
/// longer assigned to this VM.
async fn acquire(node: &Rc<Node>, cell: u32) -> Option<Acquisition> {
    let mut wait = Wait::new(cell, time::now());
    // The owner before a try that may have taken the cell.
    let mut unanswered = None;
    loop {
        node.assigned_members(cell)?;
        let Some(lease) = node.lease.get() else {
            sleep(RETRY_DELAY).await;
            continue;
        };
        match try_acquire(node, cell, lease, &mut unanswered).await {
            Ok(Attempt::Acquired(acquisition)) => {
                node.confirm_lease(lease, acquisition.sent_at);
                node.meter.cell_taken(wait.waited_ms(acquisition.sent_at));
                return Some(*acquisition);
            }
            Ok(Attempt::Cleared) => continue,
            Ok(Attempt::Owned(owner)) => wait.record(time::now(), &owner),
            Err(error) => node.store_failed("take", &error),
        }
        sleep(RETRY_DELAY).await;
    }
}

/// The outcome of an attempt to acquire a cell.
enum Attempt {
    Acquired(Box<Acquisition>),
    /// The entry of a process that has ended was removed.
    Cleared,
    /// Another ownership has its entry there. Holds the incarnation of its process; empty if only the
    /// head has changed meanwhile.
    Owned(String),
}

/// Tries once to acquire a cell under the VM's lease. An earlier try without an answer may have made this
/// process the last owner, which has sent no orders: the one before it counts, kept in `unanswered`.
async fn try_acquire(
    node: &Rc<Node>,
    cell: u32,
    lease: u64,
    unanswered: &mut Option<(Head, u64)>,
) -> Result<Attempt, store::Error> {
    let item = node.store.get(&keys::head(cell)).await?;
    let (old, previous_revision) = match &item {
        Some(item) => (decode::<Head>(item).unwrap_or_default(), item.revision),
        None => (Head::default(), 0),
    };
    let head = Head {
        cell,
        generation: old.generation.saturating_add(1),
        owner: node.incarnation.clone(),
        sequence: 0,
        settled: false,
        settling_ms: 0,
        ..old.clone()
    };
    let owner = node.incarnation.clone().into_bytes();
    let mut txn = Txn::expecting(keys::owner(cell), 0);
    txn.expect(keys::head(cell), previous_revision);
    txn.write(keys::owner(cell), owner, lease);
    txn.write(keys::head(cell), record::encode(&head), 0);
    let sent_at = time::now();
    match node.store.txn(&txn).await {
        Ok(fence) => {
            let read = (old, previous_revision);
            let is_own = read.0.owner == node.incarnation;
            let previous = unanswered.take().filter(|_| is_own).unwrap_or(read);
            Ok(Attempt::Acquired(Box::new(Acquisition {
                sent_at,
                answered_at: time::now(),
                fence,
                head,
                head_revision: fence,
                lease,
                previous,
            })))
        }
        Err(store::Error::Conflict(items)) => {
            remove_own_entry(node, cell).await?;
            let entry = items.iter().find(|item| item.key == keys::owner(cell));
            let owner = entry.and_then(|item| item.value.as_deref()).unwrap_or_default();
            let owner = String::from_utf8_lossy(owner).into_owned();
            let revision = entry.map_or(0, |item| item.revision);
            if !node.has_ended(&owner, revision) {
                return Ok(Attempt::Owned(owner));
            }
            log::info!(cell, owner; "cell_abandoned");
            remove_entry(node, cell, revision).await?;
            Ok(Attempt::Cleared)
        }
        Err(error) => {
            if old.owner != node.incarnation || unanswered.is_none() {
                *unanswered = Some((old, previous_revision));
            }
            Err(error)
        }
    }
}

/// Removes an owner's entry that this process left from an earlier ownership, or wrote in a
/// transaction whose answer was lost. Each ownership needs an entry of its own, whose revision is
/// its first fencing token.
async fn remove_own_entry(node: &Rc<Node>, cell: u32) -> Result<(), store::Error> {
    let Some(item) = node.store.get(&keys::owner(cell)).await? else { return Ok(()) };
    if item.value.as_deref() != Some(node.incarnation.as_bytes()) {
        return Ok(());
    }
    remove_entry(node, cell, item.revision).await
}

/// Removes the owner's entry of this revision. Does nothing if the cell has another one, or none.
///
/// Does not depend on the head: a commit of this owner that is still on its way is made before the
/// next owner changes the head, or not at all.
async fn remove_entry(node: &Rc<Node>, cell: u32, revision: u64) -> Result<(), store::Error> {
    let mut txn = Txn::expecting(keys::owner(cell), revision);
    txn.remove(keys::owner(cell));
    remove(node, &txn).await
}

/// Makes a transaction that removes an owner's entry, unless the entry is gone already.
async fn remove(node: &Rc<Node>, txn: &Txn) -> Result<(), store::Error> {
    match node.store.txn(txn).await {
        Ok(_) | Err(store::Error::Conflict(_)) => Ok(()),
        Err(error) => Err(error),
    }
}

/// Removes an owner's entry that this process may have written for a cell that it does not own,
/// and tries until the store has answered.
async fn discard_own_entry(node: &Rc<Node>, cell: u32) {
    while let Err(error) = remove_own_entry(node, cell).await {
        node.store_failed("discard", &error);
        sleep(RELEASE_RETRY_DELAY).await;
    }
}

/// Removes owner's entries of this process for cells that it doesn't run: a transaction that takes a
/// cell may be carried out seconds after its call got no answer. `checked` holds the revision of each
/// cell's head for which there was no such entry left.
pub(crate) async fn discard_orphans(node: &Rc<Node>, checked: &mut BTreeMap<u32, u64>) {
    let heads: Vec<(u32, u64)> = node
        .heads
        .borrow()
        .iter()
        .filter(|(head, _)| head.owner == node.incarnation)
        .map(|(head, revision)| (head.cell, *revision))
        .collect();
    for (cell, revision) in heads {
        if node.cells.borrow().contains_key(&cell) || checked.get(&cell) == Some(&revision) {
            continue;
        }
        match discard_orphan(node, cell).await {
            Ok(()) => drop(checked.insert(cell, revision)),
            Err(error) => node.store_failed("discard", &error),
        }
    }
}

/// Removes an owner's entry of this process, unless the process acquires the cell or owns it. The
/// entry is read first: an ownership that begins later has another one.
async fn discard_orphan(node: &Rc<Node>, cell: u32) -> Result<(), store::Error> {
    let Some(item) = node.store.get(&keys::owner(cell)).await? else { return Ok(()) };
    let is_own = item.value.as_deref() == Some(node.incarnation.as_bytes());
    if !is_own || node.cells.borrow().contains_key(&cell) {
        return Ok(());
    }
    log::warn!(cell, fence = item.revision; "orphan_discarded");
    remove_entry(node, cell, item.revision).await
}

/// Loads the jobs, the progress and the pressure record of a cell. Returns `None` when the cell is
/// no longer assigned to this VM.
async fn load(node: &Rc<Node>, cell: u32, acquisition: &Acquisition) -> Option<Snapshot> {
    let (items, progress, pressure) = loop {
        node.assigned_members(cell)?;
        let refreshed = async {
            assigner::refresh(node).await?;
            discovery::refresh_workers(node, acquisition.sent_at).await
        };
        if let Err(error) = refreshed.await {
            node.store_failed("load", &error);
            sleep(RETRY_DELAY).await;
            continue;
        }
        node.cell_acquired.notify_waiters();
        let items = node.store.read_all(&keys::cell_prefix(cell)).await;
        let progress = node.store.read_all(&keys::progress_prefix(cell)).await;
        let pressure = node.store.get(&keys::pressure(cell)).await;
        match (items, progress, pressure) {
            (Ok(items), Ok(progress), Ok(pressure)) => break (items, progress, pressure),
            (Err(error), ..) | (_, Err(error), _) | (_, _, Err(error)) => {
                node.store_failed("load", &error);
                sleep(RETRY_DELAY).await;
            }
        }
    };
    let mut progress_by_job: HashMap<job::Id, Progress> = progress
        .items
        .iter()
        .filter_map(|item| Some((keys::job_id(&item.key)?, decode(item)?)))
        .collect();
    let mut jobs = Vec::new();
    let mut cancelled = Vec::new();
    for item in &items.items {
        match keys::kind(cell, &item.key) {
            Some(keys::Kind::Job(id)) => {
                let Some(record) = decode(item) else { continue };
                jobs.push((
                    id,
                    record,
                    progress_by_job.remove(&id).unwrap_or_default(),
                    item.revision,
                ));
            }
            Some(keys::Kind::Cancelled(id)) => cancelled.push((id, item.revision)),
            _ => {}
        }
    }
    let released = items.items.iter().find(|item| item.key == keys::released(cell));
    let predecessor = handover::predecessor(node, cell, acquisition, released);
    let config = node.config.borrow().clone().unwrap_or_default();
    log::info!(
        cell, jobs = jobs.len(), revision = items.revision,
        predecessor:? = predecessor.end, settled = predecessor.settled, vacated = predecessor.vacated.len(),
        long_leases:serde = predecessor.long_leases; "cell_loaded"
    );
    let start = cell::Start {
        acquired_at: acquisition.answered_at,
        loaded_at: time::now(),
        config,
        head: acquisition.head.clone(),
        head_revision: acquisition.head_revision,
        limits: node.limits(),
        policy: node.policy,
        predecessor,
        pressure: pressure.as_ref().and_then(decode).unwrap_or_default(),
    };
    let members = node.assigned_members(cell)?;
    let loaded = Cell::new(start, jobs, members);
    Some(Snapshot { cancelled, revision: items.revision, cell: loaded })
}

/// Turns changes of the cell's keys into events. An owner's entry other than this executor's, or
/// none, means that the cell is lost.
async fn watch_keys(executor: Rc<Executor>, mut follower: Follower) {
    loop {
        let (items, complete) = match follower.next().await {
            Update::All { items, .. } => (items, true),
            Update::Changes { items, .. } => (items, false),
        };
        let is_own = |item: &Item| {
            item.key == keys::owner(executor.cell) && item.revision == executor.entry_revision
        };
        // Jobs in a full read may have been accepted in the time of another owner.
        let mut owned = !complete || items.iter().any(is_own);
        for item in items {
            if !owned {
                break;
            }
            match keys::kind(executor.cell, &item.key) {
                Some(keys::Kind::Owner) => owned = item.revision == executor.entry_revision,
                Some(keys::Kind::Job(id)) => {
                    let Some(record) = decode(&item) else { continue };
                    executor.send(Event::Accepted { id, record, revision: item.revision });
                }
                Some(keys::Kind::Cancelled(id)) if item.value.is_some() => {
                    executor.send(Event::Cancelled { id, revision: item.revision });
                }
                Some(keys::Kind::Released) => {
                    let Some(release) = decode(&item) else { continue };
                    executor.send(Event::Released(release));
                }
                _ => {}
            }
        }
        if !owned {
            executor.send(Event::Lost);
        }
    }
}

/// Reads the pressure records of the other cells at an interval and passes them on merged.
async fn read_pressures(executor: Rc<Executor>) {
    let own_key = keys::pressure(executor.cell);
    loop {
        sleep(PRESSURE_READ_INTERVAL).await;
        let page = match executor.node.store.read_all(keys::PRESSURES).await {
            Ok(page) => page,
            Err(error) => {
                executor.node.store_failed("learn", &error);
                continue;
            }
        };
        let mut others = Pressure::default();
        for item in page.items.iter().filter(|item| item.key != own_key) {
            if let Some(pressure) = decode(item) {
                others.merge(&pressure);
            }
        }
        executor.send(Event::Pressure(others));
    }
}

/// Passes events and shared state to the cell and executes its actions, until the cell is lost or
/// its owner has left it. The lease, the age of the view and changes of the shared state are looked
/// at before an event, since it may be the first one after a pause. Returns when the leases are over
/// that this owner and earlier ones granted, in milliseconds.
async fn handle_events(
    executor: &Rc<Executor>,
    mut cell: Cell,
    mut inbox: mpsc::UnboundedReceiver<Event>,
    mut inputs: Inputs,
) -> u64 {
    let node = &executor.node;
    let wake = node.cells.borrow().get(&executor.cell).cloned().unwrap_or_default();
    loop {
        let event = tokio::select! {
            event = inbox.recv() => event.unwrap_or(Event::Tick),
            () = wake.notified() => Event::Tick,
            () = sleep(TICK_INTERVAL) => Event::Tick,
        };
        node.observe_running();
        let clock = time::clock();
        let may_order = node.may_order(executor.lease, clock.now);
        let mut lost = !may_order;
        if may_order {
            cell.confirm(executor.confirmed_at());
            for event in inputs.changes(executor, clock.now).into_iter().chain([event]) {
                lost |= executor.execute_all(cell.handle(clock, event));
            }
        }
        if lost {
            let lease_ended = node.lease.get() != Some(executor.lease);
            let (silent, fence) = (!may_order && !lease_ended, executor.entry_revision);
            log::warn!(cell = executor.cell, fence, silent, lease_ended; "cell_lost");
            return cell.leases_over_at(clock.now);
        }
        let quiet = cell.is_quiet();
        if inputs.leaving_since.is_some_and(|since| quiet || clock.now > since + LEAVE_TIMEOUT_MS) {
            log::info!(cell = executor.cell, sequence = cell.head().0.sequence; "cell_handed_over");
            return cell.leases_over_at(clock.now);
        }
    }
}
