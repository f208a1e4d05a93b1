//! Tests of owners that learn of an evacuated availability zone, with real processes.

#![allow(clippy::unwrap_used)]

mod process;

use {
    oleanderstage_standin::{UsersLedger, UsersStore, UsersWorker},
    process::{Process, TIMEOUT, config, run, step, wait_until},
    serde_json::json,
    std::{net::SocketAddr, time::Duration},
};

/// A time in which an owner would have started waiting tasks, several times over.
const START_TIME: Duration = Duration::from_millis(800);
/// The stand-in's workers are in this zone.
const REQUEST: &str = "op/evacuate/a";
const SETTINGS: &str = "bounds.evacuate_ms=2000\n";

async fn platform() -> (UsersStore, SocketAddr, UsersLedger, UsersWorker) {
    let (store, address) = UsersStore::start().await.unwrap();
    store.put("op/config", &config());
    let ledger = UsersLedger::default();
    let (worker, worker_address) = UsersWorker::start("i-1", ledger.clone()).await.unwrap();
    worker.register(&store, worker_address, false);
    (store, address, ledger, worker)
}

#[test]
fn tasks_wait_until_the_zone_is_taken_back_also_over_a_takeover() {
    run(async {
        let (store, address, ledger, _worker) = platform().await;
        let first = Process::start_with("vm-evacuate-a", address, 2_000, SETTINGS);
        first.submit("000000000000000a", 600, json!([step(1, &[]), step(1, &[0])])).await;
        wait_until("the first task", TIMEOUT, || ledger.tasks().len() == 1).await;
        store.put(REQUEST, &json!({}));
        tokio::time::sleep(2 * START_TIME).await;
        assert_eq!(ledger.tasks().len(), 1, "the zone is evacuated");
        let second = Process::start_with("vm-evacuate-b", address, 2_000, SETTINGS);
        drop(first);
        wait_until("the second owner", TIMEOUT, || {
            store.values("c/0/@owner").iter().any(|(_, owner)| owner.starts_with(b"vm-evacuate-b"))
        })
        .await;
        tokio::time::sleep(START_TIME).await;
        assert_eq!(ledger.tasks().len(), 1, "the zone is evacuated");
        store.remove(REQUEST);
        wait_until("the second task", TIMEOUT, || ledger.tasks().len() == 2).await;
        drop(second);
    });
}

/// The watch of a paused owner was not answered; what it knew of the zones is too old to act on.
#[test]
fn an_owner_resumed_after_a_pause_starts_nothing_in_an_evacuated_zone() {
    run(async {
        let (store, address, ledger, _worker) = platform().await;
        let vm = Process::start_with("vm-evacuate-paused", address, 60_000, SETTINGS);
        vm.submit("000000000000000a", 400, json!([step(1, &[]), step(1, &[0])])).await;
        wait_until("the first task", TIMEOUT, || ledger.tasks().len() == 1).await;
        store.hold_watches(&["op/evacuate/"]);
        vm.pause(true);
        store.put(REQUEST, &json!({}));
        tokio::time::sleep(Duration::from_millis(2_600)).await;
        vm.pause(false);
        tokio::time::sleep(START_TIME).await;
        assert_eq!(ledger.tasks().len(), 1, "the zone has been evacuated for longer than allowed");
        store.hold_watches(&[]);
        tokio::time::sleep(START_TIME).await;
        assert_eq!(ledger.tasks().len(), 1, "the zone is evacuated");
        store.remove(REQUEST);
        wait_until("the second task", TIMEOUT, || ledger.tasks().len() == 2).await;
    });
}

#[test]
fn a_compacted_history_hides_no_request() {
    run(async {
        let (store, address, ledger, _worker) = platform().await;
        let vm = Process::start_with("vm-evacuate-compact", address, 2_000, SETTINGS);
        vm.submit("000000000000000a", 1_500, json!([step(1, &[]), step(1, &[0])])).await;
        wait_until("the first task", TIMEOUT, || ledger.tasks().len() == 1).await;
        store.hold_watches(&["op/evacuate/"]);
        store.put(REQUEST, &json!({}));
        store.put("op/other", &json!({}));
        store.compact();
        store.hold_watches(&[]);
        tokio::time::sleep(Duration::from_millis(1_500) + START_TIME).await;
        assert_eq!(ledger.tasks().len(), 1, "the zone is evacuated");
        store.remove(REQUEST);
        wait_until("the second task", TIMEOUT, || ledger.tasks().len() == 2).await;
    });
}
