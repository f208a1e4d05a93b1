//! Holds this VM's lease in the store and the VM's entry under that lease. After a crash or a loss
//! of contact the lease expires, the store removes the entry, and other VMs take over the cells.

use super::*;

/// Interval between renewals of the lease.
const RENEW_INTERVAL: Duration = Duration::from_millis(500);
/// Maximum number of renewals that wait for an answer, so that one without an answer doesn't hold up the next.
const MAX_RENEWALS: usize = 3;
/// Delay before a failed attempt to open a session is repeated.
const RETRY_DELAY: Duration = Duration::from_millis(150);

/// The outcome of an attempt to open a session.
enum Opening {
    /// The entry is written under this lease, by a call that was sent at `sent_at`, in milliseconds.
    Opened { lease: u64, sent_at: u64 },
    /// The entry is that of a later process of this VM, with this incarnation.
    Replaced(String),
}

/// The VM's entry, as one of its processes reads it.
enum Entry {
    /// This process has written it.
    Own { revision: u64 },
    /// There is none, with revision 0, or one that this process replaces.
    Free { revision: u64 },
    /// A later process has written it.
    Later { incarnation: String },
}

/// Keeps a lease and an entry in the store until the VM leaves, and replaces them when they are
/// lost. While a later process of this VM has its entry there, it waits for the end of that process.
pub(crate) async fn maintain(node: Rc<Node>) {
    let mut successor = None;
    while !node.leaving.get() {
        match open(&node).await {
            Ok(Opening::Opened { lease, sent_at }) => {
                node.lease.set(Some(lease));
                node.lease_confirmed_at.set(sent_at);
                log::info!(lease; "session_opened");
                node.wake();
                tokio::select! {
                    () = renew(&node, lease) => {}
                    () = keep_entry(&node, lease) => {}
                }
                if node.leaving.get() {
                    // The cells are handed over under the lease.
                    return;
                }
                node.lease.set(None);
                log::warn!(lease; "session_lost");
                node.wake();
            }
            Ok(Opening::Replaced(incarnation)) => {
                if successor.as_ref() != Some(&incarnation) {
                    node.meter.event("vm_replaced");
                    log::warn!(vm = node.boot.vm, by = incarnation; "vm_replaced");
                    successor = Some(incarnation);
                }
                sleep(RENEW_INTERVAL).await;
            }
            Err(error) => {
                node.store_failed("session", &error);
                sleep(RETRY_DELAY).await;
            }
        }
    }
}

/// Opens a lease and writes this VM's entry under it.
async fn open(node: &Rc<Node>) -> Result<Opening, store::Error> {
    let last = match read_entry(node).await? {
        Entry::Own { revision } | Entry::Free { revision } => revision,
        Entry::Later { incarnation } => return Ok(Opening::Replaced(incarnation)),
    };
    let lease = node.store.open_lease(Duration::from_millis(node::VM_LEASE_MS)).await?;
    let sent_at = time::now();
    write_entry(node, lease, last).await?;
    Ok(Opening::Opened { lease, sent_at })
}

/// Reads the VM's entry from the store.
async fn read_entry(node: &Rc<Node>) -> Result<Entry, store::Error> {
    let Some(item) = node.store.get(&keys::vm(&node.boot.vm)).await? else {
        return Ok(Entry::Free { revision: 0 });
    };
    let revision = item.revision;
    let vm = decode::<assignment::Vm>(&item).map(|vm| assignment::Vm { revision, ..vm });
    Ok(match vm {
        Some(vm) if vm.incarnation == node.incarnation => Entry::Own { revision },
        Some(vm) if vm.is_later_than(&node.incarnation, node.entry_revision.get()) => {
            Entry::Later { incarnation: vm.incarnation }
        }
        _ => Entry::Free { revision },
    })
}

/// Writes this VM's entry under the lease, unless the last one has another revision.
async fn write_entry(node: &Rc<Node>, lease: u64, last: u64) -> Result<(), store::Error> {
    let key = keys::vm(&node.boot.vm);
    let vm = assignment::Vm {
        incarnation: node.incarnation.clone(),
        memory_mib: node.boot.memory_mib,
        processors_milli: node.boot.processors_milli,
        revision: 0,
    };
    // A late copy of an earlier process's transaction must not replace this entry.
    let mut txn = Txn::expecting(key.clone(), last);
    txn.write(key, record::encode(&vm), lease);
    let revision = node.store.txn(&txn).await?;
    node.entry_revision.set(revision);
    node.store_answered();
    Ok(())
}

/// Writes the VM's entry again when it is lost although the lease goes on: without it, the VM takes part in nothing.
/// Returns when the VM leaves, the lease has ended or a later process of this VM has its entry there.
async fn keep_entry(node: &Rc<Node>, lease: u64) {
    while !node.leaving.get() {
        if node.is_entry_lost() {
            match restore_entry(node, lease).await {
                Ok(true) => {}
                Ok(false) | Err(store::Error::NoLease) => return,
                Err(error) => {
                    node.store_failed("entry", &error);
                    sleep(RETRY_DELAY).await;
                }
            }
        }
        let _ = tokio::time::timeout(RENEW_INTERVAL, node.changed.notified()).await;
    }
}

/// Writes the VM's entry again if the store has none of this process. Returns whether this process is still the
/// VM's last one.
async fn restore_entry(node: &Rc<Node>, lease: u64) -> Result<bool, store::Error> {
    let revision = node.entry_revision.get();
    match read_entry(node).await? {
        // A write without an answer was carried out.
        Entry::Own { revision } => node.entry_revision.set(revision),
        // This process has removed it.
        Entry::Free { .. } if node.leaving.get() => {}
        Entry::Free { revision: last } => {
            write_entry(node, lease, last).await?;
            let restored = node.entry_revision.get();
            node.meter.event("vm_entry_restored");
            log::warn!(vm = node.boot.vm, lease, revision, restored; "vm_entry_restored");
        }
        Entry::Later { .. } => return Ok(false),
    }
    Ok(true)
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
        // The entry has ended with the lease.
        let is_confirmed = time::now() <= node.lease_confirmed_at.get() + node::VM_LEASE_MS;
        if !node.is_registered() && !is_confirmed {
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
    let Entry::Own { revision } = read_entry(node).await? else { return Ok(()) };
    let key = keys::vm(&node.boot.vm);
    let mut txn = Txn::expecting(key.clone(), revision);
    txn.remove(key);
    node.store.txn(&txn).await.map(drop)
}
