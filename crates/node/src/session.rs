//! Holds this VM's lease in the store and the VM's entry under that lease. After a crash or a loss
//! of contact the lease expires, the store removes the entry, and other VMs take over the cells.

use super::*;

/// Interval between renewals of the lease.
const RENEW_INTERVAL: Duration = Duration::from_millis(500);
/// Maximum number of renewals that wait for an answer, so that one without an answer doesn't hold up the next.
const MAX_RENEWALS: usize = 3;
/// Delay before a failed attempt to open a session is repeated.
const RETRY_DELAY: Duration = Duration::from_millis(150);

/// Keeps a lease and an entry in the store until the VM leaves, and replaces them when they are
/// lost.
pub(crate) async fn maintain(node: Rc<Node>) {
    while !node.leaving.get() {
        match open(&node).await {
            Ok((lease, confirmed_at)) => {
                node.lease.set(Some(lease));
                node.lease_confirmed_at.set(confirmed_at);
                log::info!(lease; "session_opened");
                node.wake();
                renew(&node, lease).await;
                if node.leaving.get() {
                    // The cells are handed over under the lease.
                    return;
                }
                node.lease.set(None);
                log::warn!(lease; "session_lost");
                node.wake();
            }
            Err(error) => {
                node.store_failed("session", &error);
                sleep(RETRY_DELAY).await;
            }
        }
    }
}

/// Opens a lease and writes this VM's entry under it. Returns the lease, and when that write was sent, in
/// milliseconds.
async fn open(node: &Rc<Node>) -> Result<(u64, u64), store::Error> {
    let lease = node.store.open_lease(Duration::from_millis(node::VM_LEASE_MS)).await?;
    let key = keys::vm(&node.boot.vm);
    // A late copy of an earlier process's transaction must not replace this entry.
    let revision = node.store.get(&key).await?.map_or(0, |item| item.revision);
    let vm = assignment::Vm {
        incarnation: node.incarnation.clone(),
        memory_mib: node.boot.memory_mib,
        processors_milli: node.boot.processors_milli,
        revision: 0,
    };
    let value = record::encode(&vm);
    let txn = Txn {
        expected: vec![(key.clone(), revision)],
        writes: vec![(key, value, lease)],
        ..Txn::default()
    };
    let sent_at = time::now();
    node.store.txn(&txn).await?;
    node.store_answered();
    Ok((lease, sent_at))
}

/// Renews the lease until it is lost or the VM leaves.
async fn renew(node: &Rc<Node>, lease: u64) {
    let mut renewals = tokio::task::JoinSet::new();
    let mut interval = tokio::time::interval(RENEW_INTERVAL);
    interval.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        let most = tokio::select! {
            Some(renewal) = renewals.join_next() => match renewal {
                Ok(true) => continue,
                Ok(false) => return,
                Err(error) => {
                    log::error!(task = "renewal", error:% = error; "task_failed");
                    continue;
                }
            },
            // While the store doesn't answer, only the interval counts.
            () = node.confirmation_due.notified(), if node.is_lease_fresh() => 1,
            _ = interval.tick() => MAX_RENEWALS,
        };
        if node.leaving.get() {
            return;
        }
        if renewals.len() < most {
            renewals.spawn_local(renew_once(node.clone(), lease));
        }
        let entry_exists = node.vms.borrow().contains_key(&node.boot.vm);
        // The store can lose keys and keep the lease they were written under.
        if !entry_exists && time::now() > node.lease_confirmed_at.get() + node::VM_LEASE_MS {
            return;
        }
    }
}

/// Renews the lease once, and returns whether the store may still have it.
async fn renew_once(node: Rc<Node>, lease: u64) -> bool {
    let sent_at = time::now();
    match node.store.renew_lease(lease).await {
        Ok(()) => {
            node.confirm_lease(lease, sent_at);
            node.store_answered();
        }
        Err(store::Error::NoLease) => return false,
        Err(error) => node.store_failed("renewal", &error),
    }
    true
}

/// Removes this process's entry, so that its cells are assigned to other VMs.
pub(crate) async fn leave(node: &Rc<Node>) {
    if let Err(error) = remove_entry(node).await {
        node.store_failed("leave", &error);
    }
}

/// Removes the VM's entry if it is this process's. The store may carry that out seconds later, when the entry is that
/// of another process.
async fn remove_entry(node: &Rc<Node>) -> Result<(), store::Error> {
    let key = keys::vm(&node.boot.vm);
    let Some(item) = node.store.get(&key).await? else { return Ok(()) };
    let is_own = |vm: assignment::Vm| vm.incarnation == node.incarnation;
    if !decode(&item).is_some_and(is_own) {
        return Ok(());
    }
    let txn =
        Txn { expected: vec![(key.clone(), item.revision)], removed: vec![key], ..Txn::default() };
    node.store.txn(&txn).await.map(drop)
}
