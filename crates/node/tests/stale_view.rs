//! Tests of an owner whose view of its workers is old: it must not order work from that view.

#![allow(clippy::unwrap_used)]

mod process;

use {
    oleanderstage_standin::{UsersLedger, UsersStore, UsersWorker},
    process::{Process, TIMEOUT, config, run, step, wait_until},
    serde_json::{Value, json},
    std::{net::SocketAddr, time::Duration},
};

/// A time in which an owner would have started waiting tasks, several times over.
const START_TIME: Duration = Duration::from_millis(800);

/// Starts a store with a configuration and a ready worker.
async fn platform() -> (UsersStore, SocketAddr, UsersLedger, UsersWorker, SocketAddr) {
    let (store, address) = UsersStore::start().await.unwrap();
    store.put("op/config", &config());
    let ledger = UsersLedger::default();
    let (worker, worker_address) = UsersWorker::start("i-1", ledger.clone()).await.unwrap();
    worker.register(&store, worker_address, false);
    (store, address, ledger, worker, worker_address)
}

/// Returns an assignment of cells 0 and 1, with the worker in cell 0.
fn assignment(owners: [&str; 2]) -> Value {
    json!({"owners": owners, "workers": {"i-1": 0}})
}

/// DRAIN on fyrtaarn-hq-grown: a VM took a cell over and read all workers, one of which was
/// draining. An older answer to its watch came after that and made the worker ready again.
#[test]
fn a_watch_answered_after_a_takeover_does_not_make_a_draining_worker_ready() {
    run(async {
        let (store, address, ledger, worker, worker_address) = platform().await;
        store.put("m/vm/vm-a", &json!({"processors_milli": 500}));
        store.put("m/map", &assignment(["vm-late-watch", "vm-a"]));
        let vm = Process::start("vm-late-watch", address, 2_000);
        wait_until("cell 0", TIMEOUT, || !store.values("c/0/@owner").is_empty()).await;
        store.hold_watches(&["servers/", "c/0/"]);
        vm.submit("000000000000000a", 300, json!([step(1, &[])])).await;
        worker.register(&store, worker_address, false);
        wait_until("the held watches", TIMEOUT, || store.held_watches() == 2).await;
        worker.register(&store, worker_address, true);
        store.put("m/map", &assignment(["vm-late-watch", "vm-late-watch"]));
        wait_until("cell 1", TIMEOUT, || !store.values("c/1/@owner").is_empty()).await;
        tokio::time::sleep(Duration::from_millis(200)).await;
        store.hold_watches(&[]);
        tokio::time::sleep(START_TIME).await;
        assert_eq!(ledger.tasks().len(), 0, "the worker drains");
        worker.register(&store, worker_address, false);
        wait_until("the start", TIMEOUT, || ledger.tasks().len() == 1).await;
    });
}

/// An owner that was paused took the silence of its store for an outage, in which no worker can
/// start to drain, and handled what had arrived before it asked the store again.
#[test]
fn an_owner_resumed_after_a_pause_starts_nothing_on_a_draining_worker() {
    run(async {
        let (store, address, ledger, worker, worker_address) = platform().await;
        let vm = Process::start("vm-paused", address, 2_000);
        vm.submit("000000000000000a", 400, json!([step(1, &[]), step(1, &[0])])).await;
        wait_until("the first task", TIMEOUT, || ledger.tasks().len() == 1).await;
        store.hold_watches(&["servers/", "c/0/"]);
        vm.pause(true);
        worker.register(&store, worker_address, true);
        tokio::time::sleep(Duration::from_millis(2_600)).await;
        vm.pause(false);
        tokio::time::sleep(START_TIME).await;
        assert_eq!(ledger.tasks().len(), 1, "the worker has drained for longer than allowed");
        store.hold_watches(&[]);
        let (spare, spare_address) = UsersWorker::start("i-2", ledger.clone()).await.unwrap();
        spare.register(&store, spare_address, false);
        wait_until("the second task", TIMEOUT, || ledger.tasks().len() == 2).await;
    });
}
