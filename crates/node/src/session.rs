//! This VM's lease in the store and its entry under it.

use super::*;

/// Between renewals of the lease.
const RENEW: Duration = Duration::from_millis(500);
/// Before a failed call is repeated.
const AGAIN: Duration = Duration::from_millis(150);

/// Keeps a lease and an entry until the VM leaves.
pub(crate) async fn keep(node: Rc<Node>) {
    while !node.leaving.get() {
        match open(&node).await {
            Ok(lease) => {
                node.lease.set(Some(lease));
                node.confirmed_at.set(time::now());
                log::info!(lease; "session_opened");
                node.wake();
                renew(&node, lease).await;
                node.lease.set(None);
                if !node.leaving.get() {
                    log::warn!(lease; "session_lost");
                }
                node.wake();
            }
            Err(error) => {
                node.store_failed("session", &error);
                sleep(AGAIN).await;
            }
        }
    }
}

async fn open(node: &Rc<Node>) -> Result<u64, store::Error> {
    let lease = node.store.lease(Duration::from_millis(node::VM_LEASE_MS)).await?;
    let vm = assignment::Vm { processors_milli: node.boot.processors_milli };
    let value = record::encode(&vm);
    let txn = Txn { writes: vec![(keys::vm(&node.boot.vm), value, lease)], ..Txn::default() };
    node.store.txn(&txn).await?;
    node.heard();
    Ok(lease)
}

/// Renews the lease until it is gone.
async fn renew(node: &Rc<Node>, lease: u64) {
    loop {
        sleep(RENEW).await;
        if node.leaving.get() {
            return;
        }
        let asked = time::now();
        match node.store.keep(lease).await {
            Ok(()) => {
                node.confirmed_at.set(asked);
                node.heard();
            }
            Err(store::Error::NoLease) => return,
            Err(error) => node.store_failed("renewal", &error),
        }
        let present = node.vms.borrow().contains_key(&node.boot.vm);
        // The store can take keys away and keep the lease.
        if !present && time::now() > node.confirmed_at.get() + node::VM_LEASE_MS {
            return;
        }
    }
}

/// Takes this VM's entry away, so that its cells go to others.
pub(crate) async fn leave(node: &Rc<Node>) {
    let txn = Txn { removed: vec![keys::vm(&node.boot.vm)], ..Txn::default() };
    if let Err(error) = node.store.txn(&txn).await {
        node.store_failed("leave", &error);
    }
}
