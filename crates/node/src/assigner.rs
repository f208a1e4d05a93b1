//! Follows the assignment of cells and the VMs' entries, and rewrites the assignment while this VM
//! is its writer: the VM whose name is lowest.

use super::*;

/// The first assignment is written this long after the start at the earliest, in milliseconds, so
/// that it includes all VMs that start together.
const FIRST_ASSIGNMENT_DELAY_MS: u64 = 1_500;
/// The first assignment waits until the number of workers has not changed for this long, in
/// milliseconds.
const WORKERS_STABLE_MS: u64 = 800;
/// The least time between rewrites, in milliseconds, so that cells move one at a time. Cells
/// without an owner and changes of workers do not wait.
const REWRITE_INTERVAL_MS: u64 = 700;
/// Interval between checks of the assignment when nothing changes.
const CHECK_INTERVAL: Duration = Duration::from_millis(250);
/// A worker without an entry stays assigned for its longest lease and this time at least, in milliseconds.
const REMOVAL_SLACK_MS: u64 = 3_000;
/// Maximum number of workers that are removed at a time: a transaction holds 32 entries, two for a removal.
const MAX_REMOVALS: usize = 12;

/// Follows the assignment and the VMs' entries.
pub(crate) async fn follow(node: Rc<Node>) {
    let mut follower = Follower::new(node.clone(), keys::FLEET, Duration::ZERO);
    loop {
        let (items, revision) = match follower.next().await {
            Update::All { items, revision, .. } => {
                node.vms.borrow_mut().clear();
                (items, revision)
            }
            Update::Changes { items, revision, .. } => (items, revision),
        };
        let is_changed = !items.is_empty() || node.vms.borrow().is_empty();
        items.into_iter().for_each(|item| update(&node, item));
        node.vms_revision.set(revision);
        if is_changed {
            node.wake();
        }
    }
}

/// Applies one changed item: the assignment, or a VM's entry.
fn update(node: &Rc<Node>, item: Item) {
    if item.key == keys::ASSIGNMENT {
        return update_assignment(node, &item);
    }
    let Some(name) = item.key.strip_prefix(keys::VMS) else { return };
    let vm = item.value.as_deref().map(serde_json::from_slice::<assignment::Vm>);
    match vm {
        Some(Ok(vm)) => {
            let revision = item.revision;
            log::info!(vm = name, revision, incarnation = vm.incarnation; "vm_seen");
            let vm = assignment::Vm { revision, ..vm };
            node.vms.borrow_mut().insert(name.into(), vm);
        }
        Some(Err(error)) => log::error!(vm = name, error:% = error; "vm_unreadable"),
        None => {
            log::info!(vm = name, revision = item.revision; "vm_gone");
            node.vms.borrow_mut().remove(name);
        }
    }
}

/// Reads the assignment again. A watch may lag behind, and a new owner has to know every worker that the last
/// one may have used.
pub(crate) async fn refresh(node: &Rc<Node>) -> Result<(), store::Error> {
    if let Some(item) = node.store.get(keys::ASSIGNMENT).await? {
        update_assignment(node, &item);
    }
    Ok(())
}

/// Applies a changed assignment. One that can't be read, or is gone, is replaced by the last one that was read.
fn update_assignment(node: &Rc<Node>, item: &Item) {
    let mut known = node.assignment.borrow_mut();
    if item.revision <= known.1 {
        return;
    }
    let assignment = item.value.as_deref().map(serde_json::from_slice::<Assignment>);
    node.assignment_damaged.set(!matches!(assignment, Some(Ok(_))));
    match assignment {
        Some(Ok(assignment)) => *known = (assignment, item.revision),
        Some(Err(error)) => {
            log::error!(error:% = error; "map_unreadable");
            known.1 = item.revision;
        }
        None => {
            log::error!(error = "it is gone"; "map_unreadable");
            known.1 = 0;
        }
    }
}

/// Rewrites the assignment when the VMs or the workers have changed, while this VM is its writer.
pub(crate) async fn maintain(node: Rc<Node>) {
    let started = time::now();
    let mut missing_since: BTreeMap<String, u64> = BTreeMap::new();
    let mut written_at = 0;
    // The number of workers, and when it last changed.
    let mut worker_count = (0, started);
    let mut settling = Settling::default();
    loop {
        let _ = tokio::time::timeout(CHECK_INTERVAL, node.changed.notified()).await;
        let now = time::now();
        settling.observe(now, node.vms.borrow().len());
        let is_writer = node.is_assignment_writer();
        if node.leaving.get() {
            return;
        }
        let is_first = node.assignment.borrow().0.owners.is_empty();
        let too_early = is_first && now < started + FIRST_ASSIGNMENT_DELAY_MS;
        if !is_writer || too_early || !node.is_store_reachable() {
            missing_since.clear();
            continue;
        }
        // Which entries name workers is known from the configuration.
        if is_first && node.config.borrow().is_none() {
            continue;
        }
        let workers = node.registry.borrow().len();
        if workers != worker_count.0 {
            worker_count = (workers, now);
        }
        let current =
            node.registry.borrow().is_current(now.saturating_sub(discovery::WORKERS_MAX_AGE_MS));
        if workers == 0 || !current || (is_first && now < worker_count.1 + WORKERS_STABLE_MS) {
            continue;
        }
        if settling.must_wait(now, &node.assignment.borrow().0, &node.vms.borrow()) {
            continue;
        }
        let (next, revision) = next_assignment(&node, now, &mut missing_since);
        let (assignment, _) = &*node.assignment.borrow();
        let damaged = node.assignment_damaged.get();
        if next == *assignment && !damaged {
            continue;
        }
        let owner_gone =
            assignment.owners.iter().any(|owner| !node.vms.borrow().contains_key(owner));
        let workers_changed = next.workers != assignment.workers;
        let urgent = owner_gone || workers_changed || damaged;
        if now < written_at + REWRITE_INTERVAL_MS && !urgent {
            continue;
        }
        written_at = now;
        let value = record::encode(&next);
        let mut txn = Txn::expecting(keys::ASSIGNMENT, revision);
        txn.write(keys::ASSIGNMENT, value, 0);
        // A worker whose entry is back by now stays.
        let is_removed = |(id, _): &(&String, &u32)| !next.workers.contains_key(*id);
        let removed = assignment.workers.iter().filter(is_removed);
        let removed: Vec<(String, u32)> = removed.map(|(id, cell)| (id.clone(), *cell)).collect();
        let ids = removed.iter().map(|(id, _)| id);
        ids.for_each(|id| txn.expect(format!("{}{id}", registration::PREFIX), 0));
        spawn_local(write(node.clone(), txn, removed));
    }
}

/// Writes the assignment, unless another VM has written it since it was read, or a worker that it removes from
/// a cell may have got runs since.
async fn write(node: Rc<Node>, mut txn: Txn, removed: Vec<(String, u32)>) {
    let written = async {
        let heads = vacated_heads(&node, &removed).await?;
        heads.into_iter().for_each(|(key, revision)| txn.expect(key, revision));
        node.store.txn(&txn).await
    };
    match written.await {
        Ok(revision) => log::info!(revision; "map_written"),
        Err(error) => node.store_failed("map", &error),
    }
}

/// Returns the keys and revisions of the heads by which the removed workers hold no runs and get none.
///
/// # Errors
///
/// Returns a conflict if a head no longer lists one of them so.
async fn vacated_heads(
    node: &Node,
    removed: &[(String, u32)],
) -> Result<Vec<(String, u64)>, store::Error> {
    let cells: BTreeSet<u32> = removed.iter().map(|(_, cell)| *cell).collect();
    let mut heads = Vec::new();
    for cell in cells {
        let item = node.store.get(&keys::head(cell)).await?;
        let head = item.as_ref().and_then(decode::<Head>).unwrap_or_default();
        let mut of_cell = removed.iter().filter(|(_, other)| *other == cell);
        let vacated = of_cell.all(|(id, _)| head.vacated.contains(id));
        let Some(item) = item.filter(|_| vacated) else {
            return Err(store::Error::Conflict(Vec::new()));
        };
        heads.push((keys::head(cell), item.revision));
    }
    Ok(heads)
}

/// Returns the assignment for the current VMs and workers, and the revision that it replaces. A worker of a
/// service that the configuration doesn't name, or before there is one, is not assigned; one that is assigned
/// stays so, as it may hold runs.
/// Workers without an entry are recorded in `missing_since`, and stay assigned for some time and while they
/// may hold runs.
fn next_assignment(
    node: &Rc<Node>,
    now: u64,
    missing_since: &mut BTreeMap<String, u64>,
) -> (Assignment, u64) {
    let (mut assignment, revision) = node.assignment.borrow().clone();
    let registry = node.registry.borrow();
    let spread_zones = node.boot.evacuate_ms.is_some();
    let config = node.config.borrow().clone().unwrap_or_default();
    let workers: BTreeMap<&str, assignment::Member<'_>> = registry
        .iter()
        .filter(|(_, entry)| !entry.draining && config.names_service(&entry.service))
        .map(|(id, entry)| {
            let processors_milli = entry.capacity.processors_milli;
            let zone = spread_zones.then_some(entry.zone.as_str());
            (&**id, assignment::Member { processors_milli, zone })
        })
        .collect();
    assignment.restore_workers(&workers, &node.heads.borrow());
    let mut next = assignment.next(&node.vms.borrow(), &workers);
    let removal_after_ms = node.boot.worker_lease_ms + REMOVAL_SLACK_MS;
    missing_since.retain(|id, _| registry.get(id).is_none() && next.workers.contains_key(id));
    for id in next.workers.keys().filter(|id| registry.get(id).is_none()) {
        missing_since.entry(id.clone()).or_insert(now);
    }
    let missing_for_long = |(_, since): &(&String, &u64)| now >= **since + removal_after_ms;
    let missing = missing_since.iter().filter(missing_for_long).map(|(id, _)| id.as_str());
    next.remove_workers(&missing.collect(), &node.heads.borrow(), MAX_REMOVALS);
    (next, revision)
}
