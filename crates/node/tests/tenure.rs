//! Tests of the ownership of cells: a process runs against a store that the test controls.

#![allow(clippy::unwrap_used)]

mod process;

use {
    oleanderstage_standin::{UsersLedger, UsersStore, UsersWorker, users_store::Availability},
    process::{Process, TIMEOUT, config, step, wait_until},
    serde_json::{Value, json},
    std::time::Duration,
};

/// The time limit for the removal of the entry of an owner that has lost its cell. The entry does
/// not expire by itself, since the process still renews its lease.
const RELEASE_TIMEOUT: Duration = Duration::from_secs(4);
/// The time limit for a restarted VM to take its cells: well below its lease of 2 s.
const RESTART_TIMEOUT: Duration = Duration::from_millis(1_200);
/// How long endpoints may get new runs after they drain, in milliseconds.
const DRAIN_MS: u64 = 2_000;

/// A process must remove its owner's entry when the cell is assigned to another VM while it still
/// loads the cell. After an outage the first VM acquired every cell, the next assignment gave one
/// that it was still loading to another VM, and the entry that stayed kept every VM from acquiring
/// that cell for the rest of the day.
#[tokio::test(flavor = "multi_thread")]
async fn a_cell_lost_while_it_is_loaded_is_free_for_its_next_owner() {
    let (store, address) = UsersStore::start().await.unwrap();
    store.put("op/config", &json!({"version": 1, "routes": [], "services": [], "limits": {}}));
    store.put("servers/i-1", &worker());
    store.hold_reads(Some("p/"));
    let _vm = Process::start("vm-b", address, DRAIN_MS);
    let owned = || !store.values("c/0/@owner").is_empty();
    wait_until("an owner of the cell", TIMEOUT, owned).await;
    let map = store.values("m/map")[0].1.clone();
    let map = String::from_utf8(map).unwrap().replace("vm-b", "vm-a");
    store.put("m/vm/vm-a", &json!({"processors_milli": 500}));
    store.put("m/map", &serde_json::from_str::<Value>(&map).unwrap());
    tokio::time::sleep(Duration::from_millis(300)).await;
    assert!(owned(), "the cell is still being loaded");
    store.hold_reads(None);
    wait_until("the cell without an owner", RELEASE_TIMEOUT, || !owned()).await;
}

/// A cell was nobody's for the rest of the day: its owner released it while the answer to its last
/// commit was still on its way, and made the release depend on what that commit had changed.
#[test]
fn a_cell_released_while_a_commit_is_unanswered_is_free_for_its_next_owner() {
    process::run(async {
        let (store, address) = UsersStore::start().await.unwrap();
        store.put("op/config", &config());
        let ledger = UsersLedger::default();
        let (worker, worker_address) = UsersWorker::start("i-1", ledger.clone()).await.unwrap();
        worker.register(&store, worker_address, false);
        store.put("m/vm/vm-a", &json!({"processors_milli": 500}));
        store.put("m/map", &json!({"owners": ["vm-releases"], "workers": {"i-1": 0}}));
        let vm = Process::start("vm-releases", address, DRAIN_MS);
        vm.submit("000000000000000a", 300, json!([step(1, &[])])).await;
        wait_until("the run", TIMEOUT, || ledger.tasks().len() == 1).await;
        store.set_availability(Availability::Mute);
        let before = store.writes();
        let task = "000000000000000a.0.0.0";
        let is_committed = || ledger.entry(task).done == 1 && store.writes() > before;
        wait_until("the commit of the run's end", TIMEOUT, is_committed).await;
        store.put("m/map", &json!({"owners": ["vm-a"], "workers": {"i-1": 0}}));
        let is_free = || store.values("c/0/@owner").is_empty();
        wait_until("the cell without an owner", RELEASE_TIMEOUT, is_free).await;
    });
}

/// A VM took a cell in a transaction whose answer was lost, and the cell was assigned to another VM
/// before it could ask. Its entry stayed for as long as the VM lived.
#[test]
fn a_cell_taken_without_an_answer_is_free_for_its_next_owner() {
    process::run(async {
        let (store, address) = UsersStore::start().await.unwrap();
        store.put("op/config", &config());
        store.put("servers/i-1", &worker());
        store.put("m/vm/vm-a", &json!({"processors_milli": 500}));
        store.put("m/map", &json!({"owners": ["vm-a"], "workers": {"i-1": 0}}));
        let _vm = Process::start("vm-takes", address, DRAIN_MS);
        wait_until("the VM", TIMEOUT, || !store.values("m/vm/vm-takes").is_empty()).await;
        store.set_availability(Availability::Mute);
        store.put("m/map", &json!({"owners": ["vm-takes"], "workers": {"i-1": 0}}));
        let is_free = || store.values("c/0/@owner").is_empty();
        wait_until("the owner's entry", TIMEOUT, || !is_free()).await;
        store.put("m/map", &json!({"owners": ["vm-a"], "workers": {"i-1": 0}}));
        wait_until("the cell without an owner", RELEASE_TIMEOUT, is_free).await;
    });
}

/// The same, with a transaction that is carried out after its VM has asked and found no entry.
#[test]
fn a_cell_taken_after_its_vm_gave_up_is_free_for_its_next_owner() {
    process::run(async {
        let (store, address) = UsersStore::start().await.unwrap();
        store.put("op/config", &config());
        store.put("servers/i-1", &worker());
        store.put("m/vm/vm-a", &json!({"processors_milli": 500}));
        store.put("m/map", &json!({"owners": ["vm-takes-late"], "workers": {"i-1": 0}}));
        let _vm = Process::start("vm-takes-late", address, DRAIN_MS);
        let is_free = || store.values("c/0/@owner").is_empty();
        wait_until("the owner's entry", TIMEOUT, || !is_free()).await;
        let entry = store.values("c/0/@owner")[0].1.clone();
        store.put("m/map", &json!({"owners": ["vm-a"], "workers": {"i-1": 0}}));
        wait_until("the cell without an owner", RELEASE_TIMEOUT, is_free).await;
        tokio::time::sleep(Duration::from_secs(1)).await;
        let (key, head) = store.values("h/0").remove(0);
        store.put_bytes("c/0/@owner", entry);
        store.put_bytes(&key, head);
        wait_until("the cell without an owner", RELEASE_TIMEOUT, is_free).await;
    });
}

/// All VMs lost power for a second, and their cells had no owner until the leases of the ended processes
/// were over.
#[test]
fn a_restarted_vm_takes_its_cells_before_its_last_lease_is_over() {
    process::run(async {
        let (store, address) = UsersStore::start().await.unwrap();
        store.put("op/config", &config());
        store.put("servers/i-1", &worker());
        store.put("m/map", &json!({"owners": ["vm-restarts"], "workers": {"i-1": 0}}));
        let mut vm = Process::start("vm-restarts", address, DRAIN_MS);
        let owner = || store.values("c/0/@owner").first().map(|(_, owner)| owner.clone());
        wait_until("the owner's entry", TIMEOUT, || owner().is_some()).await;
        // Its lease has just been renewed.
        tokio::time::sleep(Duration::from_millis(700)).await;
        let first = owner();
        vm.restart();
        let is_taken = || owner().is_some_and(|owner| Some(owner) != first);
        wait_until("the next owner", RESTART_TIMEOUT, is_taken).await;
    });
}

/// Returns a worker's entry.
fn worker() -> Value {
    json!({
        "service": "desk", "address": "127.0.0.1:9", "zone": "z", "version": "1", "slots": 8,
        "state": "ready", "cold_remaining_ms": 0, "seq": 1, "born": 1,
        "capacity": {"cpu": 16_000, "mem_mb": 64_000, "gpu": 0}, "labels": ["a", "r1"],
        "machine": "m1"
    })
}
