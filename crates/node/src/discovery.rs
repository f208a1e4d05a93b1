//! Follows the workers' entries, the configuration and the heads of cells.

use super::*;

/// Between watches of workers' entries: they change with each heartbeat.
const WORKERS_PAUSE: Duration = Duration::from_millis(350);
/// The same on VMs that own no cell: their callers need no worker.
const WORKERS_IDLE_PAUSE: Duration = Duration::from_millis(2_000);
/// Between watches of the configuration.
const CONFIG_PAUSE: Duration = Duration::from_millis(20);
/// Between reads of the heads, for each VM up to `FEW_VMS`.
const HEADS_PAUSE_MS: u64 = 400;
/// The most time between reads of the heads, in milliseconds: counts of waiting jobs may be 2 s old.
const HEADS_PAUSE_MOST_MS: u64 = 1_200;
/// So many VMs read heads at the full rate: the store's rates grow more slowly than the fleet.
const FEW_VMS: u64 = 10;

/// Follows the workers' entries.
pub(crate) async fn workers(node: Rc<Node>) {
    let mut follow = Follow::new(node.clone(), registration::PREFIX, WORKERS_PAUSE);
    loop {
        follow.pause = if node.steers() { WORKERS_PAUSE } else { WORKERS_IDLE_PAUSE };
        let before = node.registry.borrow().clone();
        match follow.next().await {
            Seen::All(items) => replace(&node, items),
            Seen::Changes(items) => items.into_iter().for_each(|item| take(&node, item)),
        }
        let changed = differences(&before, &node.registry.borrow());
        if changed {
            node.wake();
        }
    }
}

/// Takes in all entries.
fn replace(node: &Rc<Node>, items: Vec<Item>) {
    node.registry.borrow_mut().clear();
    items.into_iter().for_each(|item| take(node, item));
}

/// Takes in one entry.
fn take(node: &Rc<Node>, item: Item) {
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

/// Logs what changed between two views, and returns whether anything did.
fn differences(
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
pub(crate) async fn config(node: Rc<Node>) {
    let mut follow = Follow::new(node.clone(), configuration::KEY, CONFIG_PAUSE);
    loop {
        let items = match follow.next().await {
            Seen::All(items) | Seen::Changes(items) => items,
        };
        let newest = items.into_iter().rfind(|item| item.key == configuration::KEY);
        let Some(value) = newest.and_then(|item| item.value) else { continue };
        match configuration::decode(&value) {
            Ok(config) => adopt(&node, config),
            Err(error) => log::error!(error:% = error; "configuration_unreadable"),
        }
    }
}

fn adopt(node: &Rc<Node>, config: Config) {
    let old = node.config.borrow().as_ref().map(|config| config.version);
    if old.is_some_and(|old| old >= config.version) {
        return;
    }
    log::info!(version = config.version, old, queues = config.queues.len(); "configuration_applied");
    *node.config.borrow_mut() = Some(Arc::new(config));
    node.wake();
}

/// Reads the heads of cells again and again.
pub(crate) async fn heads(node: Rc<Node>) {
    loop {
        match node.store.all(keys::HEADS).await {
            Ok(page) => {
                node.heard();
                node.board_at.set(time::now());
                let mut board = node.board.borrow_mut();
                let mut heads = Vec::with_capacity(page.items.len());
                for item in page.items {
                    let head = item.value.as_deref().map(serde_json::from_slice::<Head>);
                    match head {
                        Some(Ok(head)) => {
                            heads.push((head.clone(), item.revision));
                            board.observe(head, item.revision);
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
        sleep(heads_pause(vms)).await;
    }
}

fn heads_pause(vms: u64) -> Duration {
    let pause = HEADS_PAUSE_MS * vms.max(FEW_VMS) / FEW_VMS;
    Duration::from_millis(pause.min(HEADS_PAUSE_MOST_MS))
}

/// Reads the workers' entries anew, for a VM that has just taken a cell.
pub(crate) async fn refresh(node: &Rc<Node>) -> Result<(), store::Error> {
    let page = node.store.all(registration::PREFIX).await?;
    node.heard();
    replace(node, page.items);
    Ok(())
}
