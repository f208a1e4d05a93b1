//! Keeps this VM's copies of the workers' entries, the configuration and the heads of cells.

use super::*;

/// Delay before each watch of the workers' entries, which change with each heartbeat.
const WORKERS_WATCH_DELAY: Duration = Duration::from_millis(350);
/// Delay before each watch of the requests to evacuate zones, which change seldom.
const EVACUATIONS_WATCH_DELAY: Duration = Duration::from_millis(20);
/// Workers' entries older than this are read anew, in milliseconds, and the assignment is not
/// rewritten from them.
pub(crate) const WORKERS_MAX_AGE_MS: u64 = 2_500;
/// How often a VM checks whether it needs the workers' entries now.
const IDLE_CHECK_INTERVAL: Duration = Duration::from_millis(500);
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

/// Follows the workers' entries while this VM needs them: owners and the writer of the assignment.
/// All other VMs answer callers without the workers, and hundreds of VMs that follow the heartbeats
/// of a thousand workers would take most of the store's bandwidth.
pub(crate) async fn follow_workers(node: Rc<Node>) {
    let mut follower = Follower::new(node.clone(), registration::PREFIX, WORKERS_WATCH_DELAY);
    loop {
        if !node.needs_workers() {
            let _ = tokio::time::timeout(IDLE_CHECK_INTERVAL, node.changed.notified()).await;
            follower.restart();
            continue;
        }
        let recently = time::now().saturating_sub(WORKERS_MAX_AGE_MS);
        if node.registry.borrow().is_current(recently) {
            follower.skip_to(node.registry.borrow().revision());
        }
        let update = follower.next().await;
        let changes = match update {
            Update::All { items, sent_at, revision } => {
                let items = worker_items(&node, items);
                node.registry.borrow_mut().replace(sent_at, revision, items)
            }
            Update::Changes { items, confirmed_at, revision } => {
                let items = worker_items(&node, items);
                node.registry.borrow_mut().apply(confirmed_at, revision, items)
            }
        };
        workers_changed(&node, &changes);
    }
}

/// Follows the zones to be evacuated while this VM needs the workers' entries.
pub(crate) async fn follow_evacuations(node: Rc<Node>) {
    let mut follower =
        Follower::new(node.clone(), configuration::EVACUATIONS, EVACUATIONS_WATCH_DELAY);
    loop {
        if !node.needs_workers() {
            node.evacuation.borrow_mut().invalidate();
            let change = node.changed.notified();
            let acquired = node.cell_acquired.notified();
            tokio::select! {
                () = change => {}
                () = acquired => {}
                () = sleep(IDLE_CHECK_INTERVAL) => {}
            }
            follower.restart();
            continue;
        }
        let changes = match follower.next().await {
            Update::All { items, sent_at, .. } => {
                let requests = evacuation_requests(items);
                let zones = requests.into_iter().map(|request| request.zone).collect();
                node.evacuation.borrow_mut().replace(sent_at, zones)
            }
            Update::Changes { items, confirmed_at, .. } => {
                node.evacuation.borrow_mut().apply(confirmed_at, evacuation_requests(items))
            }
        };
        for evacuation::Request { zone, evacuated } in &changes {
            node.meter.event(if *evacuated { "zone_evacuated" } else { "zone_restored" });
            log::info!(zone = &**zone, evacuated; "zone_changed");
        }
        node.meter.zones_evacuated(node.evacuation.borrow().zones().len());
        if !changes.is_empty() {
            node.wake();
        }
    }
}

fn evacuation_requests(items: Vec<Item>) -> Vec<evacuation::Request> {
    let request = |item: Item| {
        let zone = item.key.strip_prefix(configuration::EVACUATIONS)?.into();
        Some(evacuation::Request { zone, evacuated: item.value.is_some() })
    };
    items.into_iter().filter_map(request).collect()
}

/// Decodes workers' entries. An unreadable entry is logged and left out.
fn worker_items(node: &Rc<Node>, items: Vec<Item>) -> Vec<registry::Item> {
    let decode = |item: Item| {
        let worker = Arc::from(item.key.strip_prefix(registration::PREFIX)?);
        let registration = item.value.as_deref().map(registration::decode).transpose();
        match registration {
            Ok(registration) => {
                Some(registry::Item { worker, revision: item.revision, registration })
            }
            Err(error) => {
                node.meter.event("worker_entry_unreadable");
                log::warn!(worker = &*worker, error:% = error; "worker_entry_unreadable");
                None
            }
        }
    };
    items.into_iter().filter_map(decode).collect()
}

/// Logs workers that came, changed state or left, and wakes the tasks that depend on them.
fn workers_changed(node: &Rc<Node>, changes: &[registry::Change]) {
    for change in changes {
        match change {
            registry::Change::Seen(worker) => {
                let registry = node.registry.borrow();
                let Some(entry) = registry.get(worker) else { continue };
                let (draining, born) = (entry.draining, entry.born);
                let revision = registry.entry_revision(worker);
                log::info!(worker = &**worker, draining, born, revision; "worker_seen");
            }
            registry::Change::Gone(worker) => log::info!(worker = &**worker; "worker_gone"),
        }
    }
    if !changes.is_empty() {
        node.wake();
    }
}

/// Follows the configuration.
pub(crate) async fn follow_config(node: Rc<Node>) {
    let mut follower = Follower::new(node.clone(), configuration::KEY, CONFIG_WATCH_DELAY);
    loop {
        let items = match follower.next().await {
            Update::All { items, .. } | Update::Changes { items, .. } => items,
        };
        let newest = items.into_iter().rfind(|item| item.key == configuration::KEY);
        let Some(value) = newest.and_then(|item| item.value) else { continue };
        match configuration::decode_readable(&value) {
            Ok((config, errors)) => {
                for error in errors {
                    log::error!(version = config.version, error:% = error; "configuration_part_unreadable");
                }
                apply_config(&node, config);
            }
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
    let mut checked = BTreeMap::new();
    loop {
        match node.store.read_all(keys::HEADS).await {
            Ok(page) => {
                node.store_answered();
                node.heads_read_at.set(time::now());
                observe_heads(&node, page.items);
                owner::discard_orphans(&node, &mut checked).await;
            }
            Err(error) => node.store_failed("heads", &error),
        }
        let vms = node.vms.borrow().len() as u64;
        let owns = !node.cells.borrow().is_empty();
        sleep(heads_read_interval(if owns { FULL_RATE_VMS } else { vms })).await;
    }
}

/// Keeps the heads as read, and the cells' load for the choice of a new job's cell.
fn observe_heads(node: &Node, items: Vec<Item>) {
    let mut balancer = node.balancer.borrow_mut();
    let mut memory = node.memory.borrow_mut();
    balancer.set_processes(node.vms.borrow().len());
    memory.set_processes(node.vms.borrow().len());
    let mut heads = Vec::with_capacity(items.len());
    for item in items {
        let head = item.value.as_deref().map(serde_json::from_slice::<Head>);
        match head {
            Some(Ok(head)) if item.key != keys::head(head.cell) => {
                log::error!(key = item.key, error = "it is another cell's"; "head_unreadable");
            }
            Some(Ok(head)) => {
                heads.push((head.clone(), item.revision));
                memory.observe(&head, item.revision);
                balancer.observe(time::now(), head, item.revision);
            }
            Some(Err(error)) => log::error!(key = item.key, error:% = error; "head_unreadable"),
            None => {}
        }
    }
    *node.heads.borrow_mut() = heads;
}

/// Returns the interval between reads of the heads in a fleet of this many VMs.
fn heads_read_interval(vms: u64) -> Duration {
    let interval = HEADS_READ_INTERVAL_MS * vms.max(FULL_RATE_VMS) / FULL_RATE_VMS;
    Duration::from_millis(interval.min(MAX_HEADS_READ_INTERVAL_MS))
}

/// Reads all workers' entries again, unless they are known as of `since`, in milliseconds.
pub(crate) async fn refresh_workers(node: &Rc<Node>, since: u64) -> Result<(), store::Error> {
    if node.registry.borrow().is_current(since) {
        return Ok(());
    }
    let sent_at = time::now();
    let page = node.store.read_all(registration::PREFIX).await?;
    node.store_answered();
    let items = worker_items(node, page.items);
    let changes = node.registry.borrow_mut().replace(sent_at, page.revision, items);
    workers_changed(node, &changes);
    Ok(())
}
