//! Tests of an owner that is cut off from the store and from some of its workers, but not from all.

#![allow(clippy::unwrap_used)]

mod process;

use {
    oleanderstage_proof::tcp_relay::TcpRelay,
    oleanderstage_standin::{
        UsersLedger, UsersStore, UsersView, UsersWorker, users_worker::CAPACITY_MILLI,
    },
    process::{Process, TIMEOUT, config, step, wait_until},
    serde_json::json,
    std::{net::SocketAddr, time::Duration},
};

/// How long endpoints may get new runs after they drain, in milliseconds.
const DRAIN_MS: u64 = 2_000;
/// Longer than an owner goes on without the store.
const CUT: Duration = Duration::from_secs(7);
/// Run time of the task, in milliseconds: longer than the cut.
const TASK_MS: u64 = 9_000;
const JOB: &str = "00000000000000aa";
const TASK: &str = "00000000000000aa.0.0.0";

/// The connections of a VM.
struct Links {
    store: TcpRelay,
    near: TcpRelay,
    far: TcpRelay,
}

impl Links {
    async fn start(store: &UsersStore, near: SocketAddr, far: SocketAddr) -> Self {
        let relay = |target| TcpRelay::start(([127, 0, 0, 1], 0).into(), target);
        let (near_relay, far_relay) = (relay(near).await.unwrap(), relay(far).await.unwrap());
        let view = [(near, near_relay.address), (far, far_relay.address)].into_iter().collect();
        let address = store.serve(UsersView::new(view)).await.unwrap();
        Self { store: relay(address).await.unwrap(), near: near_relay, far: far_relay }
    }

    fn heal(&self) {
        [&self.store, &self.near, &self.far].into_iter().for_each(TcpRelay::heal);
    }
}

/// TWICE: the owner took a worker that it didn't reach for one whose lease was over, while another VM
/// had taken the cell and renewed that lease.
#[test]
fn a_task_runs_once_while_its_owner_is_cut_off_beside_another_worker() {
    process::run(async {
        let (store, _) = UsersStore::start().await.unwrap();
        let ledger = UsersLedger::default();
        let (near, near_at) = UsersWorker::start("i-near", ledger.clone()).await.unwrap();
        let (far, far_at) = UsersWorker::start("i-far", ledger.clone()).await.unwrap();
        store.put("op/config", &config());
        store.put("m/map", &json!({"owners": ["vm-a"], "workers": {"i-near": 0, "i-far": 0}}));
        near.set_capacity(0);
        near.register(&store, near_at, false);
        far.register(&store, far_at, false);
        let links = Links::start(&store, near_at, far_at).await;
        let other_links = Links::start(&store, near_at, far_at).await;
        let owner = Process::start("vm-a", links.store.address, DRAIN_MS);
        let _other = Process::start("vm-b", other_links.store.address, DRAIN_MS);
        owner.submit(JOB, TASK_MS, json!([step(1, &[])])).await;
        let on_far = || ledger.entry(TASK).running.contains("i-far");
        wait_until("the run", TIMEOUT, on_far).await;
        near.set_capacity(CAPACITY_MILLI);
        near.register(&store, near_at, false);
        tokio::time::sleep(Duration::from_secs(1)).await;
        links.store.hold();
        links.far.hold();
        other_links.near.hold();
        tokio::time::sleep(CUT).await;
        links.heal();
        other_links.heal();
        wait_until("the end", TIMEOUT, || ledger.entry(TASK).acknowledged).await;
        assert_eq!(ledger.violations(), Vec::<String>::new());
        assert_eq!(ledger.entry(TASK).starts, 1);
    });
}
