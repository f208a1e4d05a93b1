//! Tests of the entry by which a VM takes part in the assignment of cells.

#![allow(clippy::unwrap_used)]

mod process;

use {
    oleanderstage_standin::{UsersLedger, UsersStore, UsersWorker},
    process::{Process, TIMEOUT, config, step, wait_until},
    serde_json::{Value, json},
    std::{net::SocketAddr, time::Duration},
};

/// How long endpoints may get new runs after they drain, in milliseconds.
const DRAIN_MS: u64 = 2_000;
/// How late the store removes an entry: after the process that asked for it has ended, within its grace period, and
/// another one has started.
const DELAY: Duration = Duration::from_millis(5_900);
/// The longest time for which a VM may be without its entry: the lease after which a lost VM's cells are taken over.
const MAX_ABSENCE: Duration = Duration::from_secs(2);
/// How long an entry is observed that must not change.
const OBSERVED: Duration = Duration::from_secs(4);
/// How long a job may wait for the VM that is left: its cell is assigned and acquired anew.
const START_TIMEOUT: Duration = Duration::from_secs(15);
const TASK_MS: u64 = 100;
const JOB: &str = "00000000000000d1";

/// A store with one endpoint.
struct Site {
    store: UsersStore,
    address: SocketAddr,
    ledger: UsersLedger,
    _worker: UsersWorker,
}

impl Site {
    async fn start() -> Self {
        let (store, address) = UsersStore::start().await.unwrap();
        store.put("op/config", &config());
        let ledger = UsersLedger::default();
        let (worker, worker_address) = UsersWorker::start("i-1", ledger.clone()).await.unwrap();
        worker.register(&store, worker_address, false);
        Self { store, address, ledger, _worker: worker }
    }

    /// Starts a VM's process, and waits for its entry.
    async fn start_vm(&self, name: &str) -> Process {
        let before = self.revision(name);
        let vm = Process::start(name, self.address, DRAIN_MS);
        wait_until("the entry", TIMEOUT, || self.revision(name) > before).await;
        vm
    }

    /// Returns the revision of a VM's entry, 0 if there is none.
    fn revision(&self, name: &str) -> u64 {
        self.store.revision(&key(name))
    }

    /// Returns the incarnation of the process that has written a VM's entry.
    fn incarnation(&self, name: &str) -> Option<String> {
        let (_, value) = self.store.values(&key(name)).pop()?;
        let entry: Value = serde_json::from_slice(&value).unwrap();
        Some(entry["incarnation"].as_str()?.into())
    }

    /// Submits a job and waits until its task has started.
    async fn run_job(&self, vm: &Process) {
        vm.submit(JOB, TASK_MS, json!([step(1, &[])])).await;
        let started = || self.ledger.entry(&format!("{JOB}.0.0.0")).starts == 1;
        wait_until("the task", START_TIMEOUT, started).await;
    }
}

fn key(name: &str) -> String {
    format!("m/vm/{name}")
}

/// LOST: a VM that was restarted took part in nothing any more, since the entry of its new process was removed by a
/// late transaction of the earlier one.
#[test]
fn a_late_removal_spares_the_entry_of_the_next_process() {
    process::run(async {
        let site = Site::start().await;
        let mut vm = site.start_vm("vm-again").await;
        let first = site.incarnation("vm-again").unwrap();
        site.store.delay_write(&key("vm-again"), DELAY);
        vm.terminate();
        let removal = tokio::time::sleep(DELAY + Duration::from_millis(500));
        wait_until("the end of the process", TIMEOUT, || !vm.is_running()).await;
        assert!(!site.store.awaits_delayed_write());
        vm.start_again();
        let is_new = || site.incarnation("vm-again").is_some_and(|other| other != first);
        wait_until("the new entry", TIMEOUT, is_new).await;
        let revision = site.revision("vm-again");
        removal.await;
        assert_eq!(site.revision("vm-again"), revision);
    });
}

/// LOST: a VM whose entry was gone while its lease lived took part in nothing any more. It was ready, accepted jobs and,
/// once it was the last VM, ran none of them.
#[test]
fn a_vm_whose_entry_is_removed_writes_it_again() {
    process::run(async {
        let site = Site::start().await;
        let other = site.start_vm("vm-a-lost").await;
        let vm = site.start_vm("vm-b-removed").await;
        for _ in 0..3 {
            let revision = site.revision("vm-b-removed");
            site.store.remove(&key("vm-b-removed"));
            let is_back = || site.revision("vm-b-removed") > revision;
            wait_until("the entry", MAX_ABSENCE, is_back).await;
        }
        drop(other);
        wait_until("the end of a lease", TIMEOUT, || site.revision("vm-a-lost") == 0).await;
        site.run_job(&vm).await;
    });
}

/// LOST: a process took the entry of another process of its VM for its own, and had none once that was gone.
#[test]
fn a_process_leaves_the_entry_to_a_later_one_of_its_vm() {
    process::run(async {
        let site = Site::start().await;
        let vm = site.start_vm("vm-entry").await;
        let later = json!({"processors_milli": 500, "incarnation": "vm-entry@127.0.0.1#9.9"});
        site.store.put(&key("vm-entry"), &later);
        let revision = site.revision("vm-entry");
        tokio::time::sleep(OBSERVED).await;
        assert_eq!(site.revision("vm-entry"), revision);
        site.store.remove(&key("vm-entry"));
        wait_until("the entry", MAX_ABSENCE, || site.revision("vm-entry") > revision).await;
        site.run_job(&vm).await;
    });
}

/// A process that had been paused replaced the entry of its successor, which didn't notice and took part in nothing.
#[test]
fn a_paused_process_takes_no_entry_from_its_successor() {
    process::run(async {
        let site = Site::start().await;
        let earlier = site.start_vm("vm-paused").await;
        let first = site.incarnation("vm-paused").unwrap();
        earlier.pause(true);
        let later = site.start_vm("vm-paused").await;
        assert_ne!(site.incarnation("vm-paused").unwrap(), first);
        // The lease of the earlier process ends before it goes on.
        tokio::time::sleep(MAX_ABSENCE + Duration::from_millis(500)).await;
        let revision = site.revision("vm-paused");
        earlier.pause(false);
        tokio::time::sleep(OBSERVED).await;
        assert_eq!(site.revision("vm-paused"), revision);
        drop(later);
        let is_back = || site.incarnation("vm-paused").is_some_and(|process| process == first);
        wait_until("the entry of the earlier process", TIMEOUT, is_back).await;
        site.run_job(&earlier).await;
    });
}
