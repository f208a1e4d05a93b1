//! Tests of the ownership of cells: a process runs against a store that the test controls.

#![allow(clippy::unwrap_used)]

use {
    oleanderstage_standin::UsersStore,
    serde_json::{Value, json},
    std::{
        fs,
        path::PathBuf,
        process::{Child, Command, Stdio},
        time::{Duration, Instant},
    },
};

/// The time limit for an awaited state.
const TIMEOUT: Duration = Duration::from_secs(20);
/// The time limit for the removal of the entry of an owner that has lost its cell. The entry does
/// not expire by itself, since the process still renews its lease.
const RELEASE_TIMEOUT: Duration = Duration::from_secs(4);

/// A process that is killed when the test ends.
struct Vm(Child);

impl Drop for Vm {
    fn drop(&mut self) {
        self.0.kill().unwrap();
        self.0.wait().unwrap();
    }
}

fn start(name: &str, store: std::net::SocketAddr) -> Vm {
    let directory = PathBuf::from(env!("CARGO_TARGET_TMPDIR"));
    let settings = directory.join(format!("tenure-{name}.conf"));
    let text = format!(
        "node_name={name}\nzone=z\nip=127.0.0.1\nlisten.front=127.0.0.1:0\n\
         listen.ready=127.0.0.1:0\nplatform.address={store}\nlimits.cpu_share=0.5\n\
         limits.cores=1\nbounds.hold_max_ms=6000\nbounds.stop_timeout_ms=400\n\
         bounds.gang_timeout_ms=3000\nbounds.grace_s=6\nbounds.drain_ms=2000\n"
    );
    fs::write(&settings, text).unwrap();
    let log = fs::File::create(directory.join(format!("tenure-{name}.log"))).unwrap();
    let mut command = Command::new(env!("CARGO_BIN_EXE_oleanderstage-node"));
    // Any free port: several runs of the tests share a machine.
    command.arg("--settings").arg(settings).args(["--metrics-port", "0"]);
    let child = command.stdin(Stdio::null()).stdout(log).spawn();
    Vm(child.unwrap())
}

/// Waits until a condition holds, and fails the test after `timeout`.
async fn wait_until(what: &str, timeout: Duration, mut holds: impl FnMut() -> bool) {
    let deadline = Instant::now() + timeout;
    while !holds() {
        assert!(Instant::now() < deadline, "timed out waiting for {what}");
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
}

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
    let _vm = start("vm-b", address);
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

/// Returns a worker's entry.
fn worker() -> Value {
    json!({
        "service": "desk", "address": "127.0.0.1:9", "zone": "z", "version": "1", "slots": 8,
        "state": "ready", "cold_remaining_ms": 0, "seq": 1, "born": 1,
        "capacity": {"cpu": 16_000, "mem_mb": 64_000, "gpu": 0}, "labels": ["a", "r1"],
        "machine": "m1"
    })
}
