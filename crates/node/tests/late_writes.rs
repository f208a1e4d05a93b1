//! Tests of transactions that the store carries out late, when the process that sent them is gone.

#![allow(clippy::unwrap_used)]

mod process;

use {
    oleanderstage_standin::{UsersLedger, UsersStore, UsersWorker},
    process::{Process, TIMEOUT, config, step, wait_until},
    serde_json::json,
    std::{net::SocketAddr, time::Duration},
};

/// How long endpoints may get new runs after they drain, in milliseconds.
const DRAIN_MS: u64 = 2_000;
/// How long urgent work may wait for its start, also while a VM is lost.
const START_TIMEOUT: Duration = Duration::from_millis(6_200);
const OWNER: &str = "c/0/@owner";
const TASK_MS: u64 = 100;
const JOB: &str = "00000000000000e1";

/// A store with one endpoint, whose cell the VM `owner` is to own.
struct Site {
    store: UsersStore,
    address: SocketAddr,
    ledger: UsersLedger,
    _worker: UsersWorker,
}

impl Site {
    async fn start(owner: &str) -> Self {
        let (store, address) = UsersStore::start().await.unwrap();
        store.put("op/config", &config());
        store.put("m/map", &json!({"owners": [owner], "workers": {"i-1": 0}}));
        let ledger = UsersLedger::default();
        let (worker, worker_address) = UsersWorker::start("i-1", ledger.clone()).await.unwrap();
        worker.register(&store, worker_address, false);
        Self { store, address, ledger, _worker: worker }
    }

    /// Returns the incarnation of the cell's owner, empty if there is none.
    fn owner(&self) -> String {
        let entry = self.store.values(OWNER).pop().map(|(_, owner)| owner);
        String::from_utf8(entry.unwrap_or_default()).unwrap()
    }

    /// Submits a job and waits until its task has started.
    async fn run_job(&self, vm: &Process) {
        vm.submit(JOB, TASK_MS, json!([step(1, &[])])).await;
        let started = || self.ledger.entry(&format!("{JOB}.0.0.0")).starts == 1;
        wait_until("the task", START_TIMEOUT, started).await;
        assert_eq!(self.ledger.violations(), Vec::<String>::new());
    }
}

/// LOST: a cell that is taken for a process that is gone by then would have no owner that works. Its lease bounds that.
#[test]
fn a_cell_that_a_lost_process_takes_late_is_taken_over_in_time() {
    process::run(async {
        let site = Site::start("vm-late-a").await;
        site.store.delay_write(OWNER, Duration::from_millis(1_200));
        let lost = Process::start("vm-late-a", site.address, DRAIN_MS);
        let other = Process::start("vm-late-b", site.address, DRAIN_MS);
        wait_until("the call", TIMEOUT, || !site.store.awaits_delayed_write()).await;
        drop(lost);
        assert_eq!(site.owner(), "");
        wait_until("the late owner", TIMEOUT, || site.owner().starts_with("vm-late-a@")).await;
        site.run_job(&other).await;
        assert!(site.owner().starts_with("vm-late-b@"));
    });
}

/// LOST: a cell whose owner is removed by the late release of the owner before would have none.
#[test]
fn a_late_release_of_a_cell_spares_its_next_owner() {
    process::run(async {
        let site = Site::start("vm-free-a").await;
        let first = Process::start("vm-free-a", site.address, DRAIN_MS);
        let other = Process::start("vm-free-b", site.address, DRAIN_MS);
        wait_until("the owner", TIMEOUT, || site.owner().starts_with("vm-free-a@")).await;
        let delay = Duration::from_secs(5);
        site.store.delay_write(OWNER, delay);
        first.terminate();
        wait_until("the call", TIMEOUT, || !site.store.awaits_delayed_write()).await;
        let release = tokio::time::sleep(delay + Duration::from_millis(500));
        wait_until("the next owner", TIMEOUT, || site.owner().starts_with("vm-free-b@")).await;
        let revision = site.store.revision(OWNER);
        release.await;
        assert_eq!(site.store.revision(OWNER), revision);
        site.run_job(&other).await;
    });
}
