//! What an owner of a cell leaves in the store for the next one, and what that one makes of it.

use {
    super::*,
    owner::{Acquisition, RELEASE_RETRY_DELAY},
};

/// Returns what is known of the owner before an acquisition. `released` is the mark of the last owner
/// that has stopped, if it was read.
pub(crate) fn predecessor(
    node: &Node,
    cell: u32,
    acquisition: &Acquisition,
    released: Option<&Item>,
) -> Predecessor {
    let (previous, revision) = &acquisition.previous;
    let own = node.stops.borrow().get(&cell).copied();
    let own = own.filter(|stop| {
        previous.owner == node.incarnation && previous.generation == stop.generation
    });
    let release = released.and_then(decode::<Release>);
    let release = release.filter(|release| release.generation == previous.generation);
    let end = match (own, release) {
        (Some(stop), _) => End::Stopped { leases_over_at: stop.leases_over_at },
        (None, Some(release)) => release.end(time::now()),
        // The cell had no owner before.
        (None, None) if *revision == 0 => End::Stopped { leases_over_at: acquisition.sent_at },
        (None, None) if node.has_ended(&previous.owner, *revision) => End::Ended,
        (None, None) => End::Unknown,
    };
    Predecessor::new(previous, end)
}

/// Removes the owner's entry, so that the next owner does not wait for the lease to expire, and leaves
/// the mark that it has stopped. Tries until the store has answered.
pub(crate) async fn release(node: &Rc<Node>, cell: u32, fence: u64, stop: &Stop) {
    loop {
        let mut txn = Txn::expecting(keys::owner(cell), fence);
        txn.remove(keys::owner(cell));
        txn.write(keys::released(cell), record::encode(&stop.release()), 0);
        match node.store.txn(&txn).await {
            Ok(_) => return,
            // The entry has gone with the VM's lease, or an earlier try was carried out.
            Err(store::Error::Conflict(_)) => return leave_mark(node, cell, stop).await,
            Err(error) => node.store_failed("give-up", &error),
        }
        sleep(RELEASE_RETRY_DELAY).await;
    }
}

/// Leaves the mark of an owner that has stopped, unless it is there or a later owner has left one.
/// Tries until the store has answered.
async fn leave_mark(node: &Rc<Node>, cell: u32, stop: &Stop) {
    while let Err(error) = try_leave_mark(node, cell, stop).await {
        node.store_failed("mark", &error);
        sleep(RELEASE_RETRY_DELAY).await;
    }
}

async fn try_leave_mark(node: &Rc<Node>, cell: u32, stop: &Stop) -> Result<(), store::Error> {
    let key = keys::released(cell);
    let item = node.store.get(&key).await?;
    let is_over = |release: Release| release.generation >= stop.generation;
    if item.as_ref().and_then(decode::<Release>).is_some_and(is_over) {
        return Ok(());
    }
    let mut txn = Txn::expecting(key.clone(), item.map_or(0, |item| item.revision));
    txn.write(key, record::encode(&stop.release()), 0);
    node.store.txn(&txn).await.map(drop)
}
