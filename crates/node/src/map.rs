//! Follows the map of cells and the VMs, and rewrites the map while this VM is its writer: the VM
//! whose name is lowest.

use super::*;

/// The first map is written this long after the start at the earliest, in milliseconds, so that it
/// includes all VMs that start together.
const FIRST_MAP_DELAY_MS: u64 = 1_500;
/// The first map waits until the number of workers has not changed for this long, in milliseconds.
const WORKERS_STABLE_MS: u64 = 800;
/// The least time between rewrites, in milliseconds, so that cells move one at a time. Cells
/// without an owner and changes of workers do not wait.
const REWRITE_INTERVAL_MS: u64 = 700;
/// Interval between checks of the map when nothing changes.
const CHECK_INTERVAL: Duration = Duration::from_millis(250);
/// A worker without an entry is removed from the map when its longest lease and this time have
/// passed, in milliseconds.
const REMOVAL_SLACK_MS: u64 = 3_000;

/// Follows the map and the VMs.
pub(crate) async fn follow(node: Rc<Node>) {
    let mut follower = Follower::new(node.clone(), keys::FLEET, Duration::ZERO);
    loop {
        match follower.next().await {
            Update::All(items) => {
                node.vms.borrow_mut().clear();
                items.into_iter().for_each(|item| update(&node, item));
            }
            Update::Changes(items) => items.into_iter().for_each(|item| update(&node, item)),
        }
        node.wake();
    }
}

/// Applies one changed item: the map, or a VM's entry.
fn update(node: &Rc<Node>, item: Item) {
    if item.key == keys::MAP {
        let map = item.value.as_deref().map(serde_json::from_slice::<Assignment>);
        match map {
            Some(Ok(map)) if item.revision > node.map.borrow().1 => {
                *node.map.borrow_mut() = (map, item.revision);
            }
            Some(Err(error)) => log::error!(error:% = error; "map_unreadable"),
            _ => {}
        }
        return;
    }
    let Some(name) = item.key.strip_prefix(keys::VMS) else { return };
    let vm = item.value.as_deref().map(serde_json::from_slice::<assignment::Vm>);
    match vm {
        Some(Ok(vm)) => {
            log::info!(vm = name; "vm_seen");
            node.vms.borrow_mut().insert(name.into(), vm);
        }
        Some(Err(error)) => log::error!(vm = name, error:% = error; "vm_unreadable"),
        None => {
            log::info!(vm = name; "vm_gone");
            node.vms.borrow_mut().remove(name);
        }
    }
}

/// Rewrites the map when the VMs or the workers call for it, while this VM is its writer.
pub(crate) async fn maintain(node: Rc<Node>) {
    let started = time::now();
    let mut missing_since: BTreeMap<String, u64> = BTreeMap::new();
    let mut written_at = 0;
    // The number of workers, and when it last changed.
    let mut worker_count = (0, started);
    loop {
        let _ = tokio::time::timeout(CHECK_INTERVAL, node.changed.notified()).await;
        let now = time::now();
        let is_writer = node.vms.borrow().keys().next() == Some(&node.boot.vm);
        if node.leaving.get() {
            return;
        }
        let first_map = node.map.borrow().1 == 0;
        let too_early = first_map && now < started + FIRST_MAP_DELAY_MS;
        if !is_writer || too_early || !node.is_store_reachable() {
            missing_since.clear();
            continue;
        }
        let workers = node.registry.borrow().len();
        if workers != worker_count.0 {
            worker_count = (workers, now);
        }
        if workers == 0 || (first_map && now < worker_count.1 + WORKERS_STABLE_MS) {
            continue;
        }
        let (next, revision) = next_map(&node, now, &mut missing_since);
        let (map, _) = &*node.map.borrow();
        if next == *map {
            continue;
        }
        let owner_gone = map.owners.iter().any(|owner| !node.vms.borrow().contains_key(owner));
        let workers_changed = next.workers != map.workers;
        if now < written_at + REWRITE_INTERVAL_MS && !owner_gone && !workers_changed {
            continue;
        }
        written_at = now;
        let value = record::encode(&next);
        let txn = Txn {
            expected: vec![(keys::MAP.into(), revision)],
            writes: vec![(keys::MAP.into(), value, 0)],
            ..Txn::default()
        };
        spawn_local(write(node.clone(), txn));
    }
}

/// Writes the map, unless another VM has written it since it was read.
async fn write(node: Rc<Node>, txn: Txn) {
    match node.store.txn(&txn).await {
        Ok(revision) => log::info!(revision; "map_written"),
        Err(error) => node.store_failed("map", &error),
    }
}

/// Returns the map for the present VMs and workers, and the revision that it replaces. Workers
/// without an entry are noted in `missing_since` and stay in the map until their leases have surely
/// expired.
fn next_map(
    node: &Rc<Node>,
    now: u64,
    missing_since: &mut BTreeMap<String, u64>,
) -> (Assignment, u64) {
    let (map, revision) = node.map.borrow().clone();
    let registry = node.registry.borrow();
    let workers: BTreeMap<&str, u64> = registry
        .iter()
        .filter(|(_, entry)| !entry.draining)
        .map(|(id, entry)| (&**id, entry.capacity.processors_milli))
        .collect();
    let mut next = map.next(&node.vms.borrow(), &workers);
    let removal_after_ms = node.boot.worker_lease_ms + REMOVAL_SLACK_MS;
    missing_since.retain(|id, _| !registry.contains_key(id.as_str()));
    next.workers.retain(|id, _| {
        if registry.contains_key(id.as_str()) {
            return true;
        }
        let since = *missing_since.entry(id.clone()).or_insert(now);
        now < since + removal_after_ms
    });
    (next, revision)
}
