//! Keeps this VM's copies of the workers' entries, the configuration and the heads of cells.

use super::*;

/// Delay before each watch of the workers' entries, which change with each heartbeat.
const WORKERS_WATCH_DELAY: Duration = Duration::from_millis(350);
/// The same on VMs that neither own a cell nor write the assignment: they answer callers without
/// the workers.
const WORKERS_IDLE_WATCH_DELAY: Duration = Duration::from_millis(2_000);
/// Delay before each watch of the configuration.
const CONFIG_WATCH_DELAY: Duration = Duration::from_millis(20);
/// Interval between reads of the heads, in milliseconds, with up to `FULL_RATE_VMS` VMs.
const HEADS_READ_INTERVAL_MS: u64 = 400;
/// The longest interval between reads of the heads, in milliseconds: the counts of waiting jobs may
/// be 2 s old.
const MAX_HEADS_READ_INTERVAL_MS: u64 = 1_200;
/// Up to this many VMs read the heads at the full rate. With more, the interval grows with their
/// number, so that the store's load grows more slowly than the fleet.
const FULL_RATE_VMS: u64 = 10;

/// Follows the workers' entries.
pub(crate) async fn follow_workers(node: Rc<Node>) {
    let mut follower = Follower::new(node.clone(), registration::PREFIX, WORKERS_WATCH_DELAY);
    loop {
        follower.watch_delay =
            if node.needs_workers() { WORKERS_WATCH_DELAY } else { WORKERS_IDLE_WATCH_DELAY };
        let before = node.registry.borrow().clone();
        match follower.next().await {
            Update::All(items) => replace_workers(&node, items),
            Update::Changes(items) => {
                items.into_iter().for_each(|item| update_worker(&node, item));
            }
        }
        let changed = log_differences(&before, &node.registry.borrow());
        if changed {
            node.wake();
        }
    }
}

/// Replaces all workers' entries.
fn replace_workers(node: &Rc<Node>, items: Vec<Item>) {
    node.registry.borrow_mut().clear();
    items.into_iter().for_each(|item| update_worker(node, item));
}

/// Updates or removes one worker's entry. An unreadable entry is logged and ignored.
fn update_worker(node: &Rc<Node>, item: Item) {
    let Some(id) = item.key.strip_prefix(registration::PREFIX) else { return };
    let mut registry = node.registry.borrow_mut();
    let Some(value) = item.value else {
        registry.remove(id);
        return;
    };
    match registration::decode(&value) {
        Ok(entry) => {
            registry.insert(Arc::from(id), entry);
        }
        Err(error) => {
            node.meter.event("worker_entry_unreadable");
            log::warn!(worker = id, error:% = error; "worker_entry_unreadable");
        }
    }
}

/// Logs workers that came, changed state or left, and returns whether any entry changed.
fn log_differences(
    before: &BTreeMap<Arc<str>, Registration>,
    after: &BTreeMap<Arc<str>, Registration>,
) -> bool {
    let mut changed = false;
    for (id, entry) in after {
        if before.get(id) == Some(entry) {
            continue;
        }
        changed = true;
        let (draining, born) = (entry.draining, entry.born);
        if before.get(id).is_none_or(|old| old.draining != draining || old.born != born) {
            log::info!(worker = &**id, draining, born; "worker_seen");
        }
    }
    for id in before.keys().filter(|id| !after.contains_key(*id)) {
        changed = true;
        log::info!(worker = &**id; "worker_gone");
    }
    changed
}

/// Follows the configuration.
pub(crate) async fn follow_config(node: Rc<Node>) {
    let mut follower = Follower::new(node.clone(), configuration::KEY, CONFIG_WATCH_DELAY);
    loop {
        let items = match follower.next().await {
            Update::All(items) | Update::Changes(items) => items,
        };
        let newest = items.into_iter().rfind(|item| item.key == configuration::KEY);
        let Some(value) = newest.and_then(|item| item.value) else { continue };
        match configuration::decode(&value) {
            Ok(config) => apply_config(&node, config),
            Err(error) => log::error!(error:% = error; "configuration_unreadable"),
        }
    }
}

/// Applies a configuration if its version is newer than that of the active one.
fn apply_config(node: &Rc<Node>, config: Config) {
    let old = node.config.borrow().as_ref().map(|config| config.version);
    if old.is_some_and(|old| old >= config.version) {
        return;
    }
    log::info!(version = config.version, old, queues = config.queues.len(); "configuration_applied");
    *node.config.borrow_mut() = Some(Arc::new(config));
    node.wake();
}

/// Reads the heads of all cells at an interval.
pub(crate) async fn poll_heads(node: Rc<Node>) {
    loop {
        match node.store.read_all(keys::HEADS).await {
            Ok(page) => {
                node.store_answered();
                node.heads_read_at.set(time::now());
                let mut balancer = node.balancer.borrow_mut();
                let mut heads = Vec::with_capacity(page.items.len());
                for item in page.items {
                    let head = item.value.as_deref().map(serde_json::from_slice::<Head>);
                    match head {
                        Some(Ok(head)) => {
                            heads.push((head.clone(), item.revision));
                            balancer.observe(head, item.revision);
                        }
                        Some(Err(error)) => log::error!(error:% = error; "head_unreadable"),
                        None => {}
                    }
                }
                *node.heads.borrow_mut() = heads;
            }
            Err(error) => node.store_failed("heads", &error),
        }
        let vms = node.vms.borrow().len() as u64;
        sleep(heads_read_interval(vms)).await;
    }
}

/// Returns the interval between reads of the heads in a fleet of this many VMs.
fn heads_read_interval(vms: u64) -> Duration {
    let interval = HEADS_READ_INTERVAL_MS * vms.max(FULL_RATE_VMS) / FULL_RATE_VMS;
    Duration::from_millis(interval.min(MAX_HEADS_READ_INTERVAL_MS))
}

/// Reads all workers' entries again, for a VM that has just acquired a cell.
pub(crate) async fn refresh_workers(node: &Rc<Node>) -> Result<(), store::Error> {
    let page = node.store.read_all(registration::PREFIX).await?;
    node.store_answered();
    replace_workers(node, page.items);
    Ok(())
}
