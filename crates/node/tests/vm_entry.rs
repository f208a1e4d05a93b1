//! Tests of the entry by which a VM takes part in the assignment of cells.

#![allow(clippy::unwrap_used)]

mod process;

use {
    oleanderstage_standin::UsersStore,
    process::{Process, TIMEOUT, config, wait_until},
    serde_json::Value,
    std::{net::SocketAddr, time::Duration},
};

/// How long endpoints may get new runs after they drain, in milliseconds.
const DRAIN_MS: u64 = 2_000;
/// How late the store removes an entry: after the process that asked for it has ended, within its grace period, and
/// another one has started.
const DELAY: Duration = Duration::from_millis(5_900);

/// A store, with the configuration.
struct Site {
    store: UsersStore,
    address: SocketAddr,
}

impl Site {
    async fn start() -> Self {
        let (store, address) = UsersStore::start().await.unwrap();
        store.put("op/config", &config());
        Self { store, address }
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
