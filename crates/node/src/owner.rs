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

/// A cell as the store holds it.
struct Loaded {
    /// Jobs that were cancelled, with the revisions of their marks.
    cancelled: Vec<(job::Id, u64)>,
    /// The store's revision at which it was read.
    revision: u64,
    state: Cell,
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
    let kept = match load(node, cell, &taken).await {
        Some(loaded) => hold(node, cell, &taken, loaded).await,
        // The map gave the cell to another VM meanwhile, which waits for this entry to go.
        None => Some((taken.head.clone(), taken.head_revision)),
    };
    if let Some((head, revision)) = kept {
        give_up(node, cell, &taken, &head, revision).await;
    }
    log::info!(cell, fence = taken.fence; "cell_left");
}

/// Owns the cell until it is lost or left; returns its head unless it is lost.
async fn hold(node: &Rc<Node>, cell: u32, taken: &Taken, loaded: Loaded) -> Option<(Head, u64)> {
    let Loaded { cancelled, revision, state } = loaded;
    let (events, inbox) = mpsc::unbounded_channel();
    let tenure = Rc::new(Tenure::new(node.clone(), cell, taken.fence, events));
    for (id, revision) in cancelled {
        tenure.send(Event::Cancelled { id, revision });
    }
    let follow =
        Follow::new(node.clone(), keys::cell(cell), Duration::from_millis(2)).from(revision);
    let watch = spawn_local(watch(tenure.clone(), follow));
    let learning = spawn_local(learn(tenure.clone()));
    let kept = drive(&tenure, state, inbox).await;
    watch.abort();
    learning.abort();
    kept
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
            (keys::head(cell), record::encode(&head), 0),
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

/// Reads the jobs of the cell.
async fn load(node: &Rc<Node>, cell: u32, taken: &Taken) -> Option<Loaded> {
    let (items, progress, learned) = loop {
        node.members(cell)?;
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
    let state = Cell::new(start, jobs, members);
    Some(Loaded { cancelled, revision: items.revision, state })
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
                others.merge(&learned);
            }
        }
        tenure.send(Event::Pressure(others));
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
            lost |= tenure.carry(cell.handle(clock, Event::Heads(heads)));
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
