//! Tests of what follows an outage of the store that lasts longer than an owner continues without it.

#![allow(clippy::unwrap_used)]

mod process;

use {
    oleanderstage_standin::{UsersLedger, UsersStore, UsersWorker, users_store::Availability},
    process::{Process, TIMEOUT, config, wait_until},
    serde_json::{Value, json},
    std::time::Duration,
};

/// How long endpoints may get new runs after they drain, in milliseconds.
const DRAIN_MS: u64 = 2_000;
/// Longer than an owner continues without the store, and the leases that it granted before that.
const OUTAGE: Duration = Duration::from_secs(11);
/// The time limit for a lasting task without a run to start again.
const RESTART_TIMEOUT: Duration = Duration::from_secs(6);

/// Whether the leases in the store outlive its outage.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Leases {
    Kept,
    Lapsed,
}

/// A process with a cell of two workers, on each of which a lasting task runs.
struct Cell {
    store: UsersStore,
    ledger: UsersLedger,
    workers: [UsersWorker; 2],
    _vm: Process,
}

const JOB: &str = "00000000000000aa";

impl Cell {
    async fn start(vm: &str) -> Self {
        let (store, address) = UsersStore::start().await.unwrap();
        store.put("op/config", &config());
        assign(&store, vm);
        let ledger = UsersLedger::default();
        let workers = [
            start_worker("i-1", &store, &ledger).await,
            start_worker("i-2", &store, &ledger).await,
        ];
        let vm = Process::start(vm, address, DRAIN_MS);
        let lasting = json!({
            "count": 2, "cpu": 1_000, "mem_mb": 64, "estimate_ms": 500, "long_running": true,
            "anti_affinity": 1,
        });
        vm.submit(JOB, 3_600_000, json!([lasting])).await;
        let cell = Self { store, ledger, workers, _vm: vm };
        wait_until("the lasting tasks", TIMEOUT, || cell.is_running(0) && cell.is_running(1)).await;
        cell
    }

    /// Returns whether a task of the lasting job runs on any worker.
    fn is_running(&self, index: u32) -> bool {
        !self.ledger.entry(&format!("{JOB}.0.0.{index}")).running.is_empty()
    }

    /// Makes the store silent until every lease of the workers is over.
    async fn lose_store(&self, leases: Leases) {
        self.store.set_availability(Availability::Silent);
        tokio::time::sleep(OUTAGE).await;
        if leases == Leases::Lapsed {
            self.store.revoke_all();
        }
        self.store.set_availability(Availability::Up);
    }

    /// Returns the number of the cell's owner, counted from 1.
    fn generation(&self) -> u64 {
        let (_, head) = self.store.values("h/0").remove(0);
        serde_json::from_slice::<Value>(&head).unwrap()["generation"].as_u64().unwrap()
    }
}

/// Assigns the cell to a VM.
fn assign(store: &UsersStore, vm: &str) {
    store.put("m/map", &json!({"owners": [vm], "workers": {"i-1": 0, "i-2": 0, "i-3": 0}}));
}

async fn start_worker(id: &str, store: &UsersStore, ledger: &UsersLedger) -> UsersWorker {
    let (worker, address) = UsersWorker::start(id, ledger.clone()).await.unwrap();
    worker.register(store, address, false);
    worker
}

/// Lasting tasks waited for ten seconds, since their owner did not know that it had itself stopped during
/// the outage, and waited for a worker that had left.
async fn lasting_tasks_restart(vm: &str, leases: Leases) {
    let cell = Cell::start(vm).await;
    let third = start_worker("i-3", &cell.store, &cell.ledger).await;
    cell.workers[1].leave();
    cell.lose_store(leases).await;
    let restarted = || cell.is_running(0) && cell.is_running(1);
    wait_until("the lasting tasks to run again", RESTART_TIMEOUT, restarted).await;
    assert_eq!(cell.ledger.violations(), Vec::<String>::new());
    drop(third);
}

#[test]
fn lasting_tasks_restart_after_an_outage_in_which_a_worker_left() {
    process::run(lasting_tasks_restart("vm-keeps", Leases::Kept));
}

#[test]
fn lasting_tasks_restart_after_an_outage_in_which_leases_lapsed_and_a_worker_left() {
    process::run(lasting_tasks_restart("vm-lapses", Leases::Lapsed));
}

/// The VM took the cell before it had renewed its own lease, and gave it up at once, a dozen times.
#[test]
fn a_vm_takes_its_cell_once_after_an_outage() {
    process::run(async {
        let cell = Cell::start("vm-takes-once").await;
        let before = cell.generation();
        cell.lose_store(Leases::Kept).await;
        let restarted = || cell.is_running(0) && cell.is_running(1);
        wait_until("the lasting tasks to run again", TIMEOUT, restarted).await;
        tokio::time::sleep(Duration::from_secs(1)).await;
        assert_eq!(cell.generation(), before + 1);
    });
}

/// The VM had taken the cell without an answer, and then waited as long for itself as for an owner of
/// which it knew nothing.
#[test]
fn lasting_tasks_restart_after_a_take_without_an_answer() {
    process::run(async {
        let cell = Cell::start("vm-unanswered").await;
        let _third = start_worker("i-3", &cell.store, &cell.ledger).await;
        let is_free = || cell.store.values("c/0/@owner").is_empty();
        cell.store.put("m/vm/vm-a", &json!({"processors_milli": 500}));
        assign(&cell.store, "vm-a");
        wait_until("the cell without an owner", TIMEOUT, is_free).await;
        cell.workers[1].leave();
        cell.store.set_availability(Availability::Mute);
        assign(&cell.store, "vm-unanswered");
        wait_until("the owner's entry", TIMEOUT, || !is_free()).await;
        cell.store.set_availability(Availability::Up);
        let restarted = || cell.is_running(0) && cell.is_running(1);
        wait_until("the lasting tasks to run again", RESTART_TIMEOUT, restarted).await;
        assert_eq!(cell.ledger.violations(), Vec::<String>::new());
    });
}
