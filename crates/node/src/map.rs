//! Follows the map of cells and the VMs, and rewrites the map when it is this VM's turn.

use super::*;

/// The first map is written this long after the start at the earliest, in milliseconds, so that the VMs
/// that start together all count.
const SETTLE_MS: u64 = 1_500;
/// The first map waits until no worker has been new for this long, in milliseconds.
const GATHER_MS: u64 = 800;
/// Between rewrites, so that cells move one at a time.
const MOVE_MS: u64 = 700;
/// Between checks without a change.
const CHECK: Duration = Duration::from_millis(250);
/// Added to a worker's longest lease before a worker without an entry leaves the map, in
/// milliseconds.
const FORGET_MS: u64 = 3_000;

/// Follows the map and the VMs.
pub(crate) async fn follow(node: Rc<Node>) {
    let mut follow = Follow::new(node.clone(), keys::FLEET, Duration::ZERO);
    loop {
        match follow.next().await {
            Seen::All(items) => {
                node.vms.borrow_mut().clear();
                items.into_iter().for_each(|item| take(&node, item));
            }
            Seen::Changes(items) => items.into_iter().for_each(|item| take(&node, item)),
        }
        node.wake();
    }
}

fn take(node: &Rc<Node>, item: Item) {
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

/// Rewrites the map whenever it is this VM's turn.
pub(crate) async fn steer(node: Rc<Node>) {
    let started = time::now();
    let mut missing: BTreeMap<String, u64> = BTreeMap::new();
    let mut written_at = 0;
    let mut gathered = (0, started);
    loop {
        let _ = tokio::time::timeout(CHECK, node.changed.notified()).await;
        let now = time::now();
        let first = node.vms.borrow().keys().next() == Some(&node.boot.vm);
        if node.leaving.get() {
            return;
        }
        let first_map = node.map.borrow().1 == 0;
        let settling = first_map && now < started + SETTLE_MS;
        if !first || settling || !node.in_contact() {
            missing.clear();
            continue;
        }
        let workers = node.registry.borrow().len();
        if workers != gathered.0 {
            gathered = (workers, now);
        }
        if workers == 0 || (first_map && now < gathered.1 + GATHER_MS) {
            continue;
        }
        let (next, revision) = next(&node, now, &mut missing);
        let (map, _) = &*node.map.borrow();
        if next == *map {
            continue;
        }
        let orphaned = map.owners.iter().any(|owner| !node.vms.borrow().contains_key(owner));
        let enrols = next.workers != map.workers;
        if now < written_at + MOVE_MS && !orphaned && !enrols {
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

async fn write(node: Rc<Node>, txn: Txn) {
    match node.store.txn(&txn).await {
        Ok(revision) => log::info!(revision; "map_written"),
        Err(error) => node.store_failed("map", &error),
    }
}

/// Returns the map as it should be and the revision that it replaces.
fn next(node: &Rc<Node>, now: u64, missing: &mut BTreeMap<String, u64>) -> (Assignment, u64) {
    let (map, revision) = node.map.borrow().clone();
    let registry = node.registry.borrow();
    let workers: BTreeMap<&str, u64> = registry
        .iter()
        .filter(|(_, entry)| !entry.draining)
        .map(|(id, entry)| (&**id, entry.capacity.processors_milli))
        .collect();
    let mut next = map.next(&node.vms.borrow(), &workers);
    let forget = node.boot.worker_lease_ms + FORGET_MS;
    missing.retain(|id, _| !registry.contains_key(id.as_str()));
    next.workers.retain(|id, _| {
        if registry.contains_key(id.as_str()) {
            return true;
        }
        let since = *missing.entry(id.clone()).or_insert(now);
        now < since + forget
    });
    (next, revision)
}
