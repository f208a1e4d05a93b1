//! Tests of two processes of one VM that live at the same time.

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
/// Longer than a new owner waits after one that has ended, and shorter than an owner without the store goes on.
const ENDED: Duration = Duration::from_millis(6_500);
/// Run time of the task, in milliseconds: longer than the test.
const TASK_MS: u64 = 30_000;
const ENTRY: &str = "m/vm/vm-same-ports";
const JOB: &str = "00000000000000b1";
const TASK: &str = "00000000000000b1.0.0.0";

async fn relay(target: SocketAddr) -> TcpRelay {
    TcpRelay::start(([127, 0, 0, 1], 0).into(), target).await.unwrap()
}

/// TWICE: an owner that was cut off from the store, and went on with most of its workers, was taken for ended since
/// another process of its VM had started beside it, with ports of its own.
#[test]
fn an_owner_that_lives_beside_a_later_process_of_its_vm_has_not_ended() {
    process::run(async {
        let (store, _) = UsersStore::start().await.unwrap();
        let ledger = UsersLedger::default();
        let (near, near_at) = UsersWorker::start("i-near", ledger.clone()).await.unwrap();
        let (far, far_at) = UsersWorker::start("i-far-a", ledger.clone()).await.unwrap();
        let (spare, spare_at) = UsersWorker::start("i-far-b", ledger.clone()).await.unwrap();
        store.put("op/config", &config());
        let workers = json!({"i-near": 0, "i-far-a": 0, "i-far-b": 0});
        store.put("m/map", &json!({"owners": ["vm-two"], "workers": workers}));
        near.set_capacity(0);
        spare.set_capacity(0);
        near.register(&store, near_at, false);
        far.register(&store, far_at, false);
        spare.register(&store, spare_at, false);
        let near_link = relay(near_at).await;
        let view = UsersView::new([(near_at, near_link.address)].into_iter().collect());
        let store_link = relay(store.serve(view).await.unwrap()).await;
        let (far_link, spare_link) = (relay(far_at).await, relay(spare_at).await);
        let view = [(far_at, far_link.address), (spare_at, spare_link.address)];
        let later_view = UsersView::new(view.into_iter().collect());
        let later_store = store.serve(later_view).await.unwrap();
        let owner = Process::start("vm-two", store_link.address, DRAIN_MS);
        owner.submit(JOB, TASK_MS, json!([step(1, &[])])).await;
        let on_far = || ledger.entry(TASK).running.contains("i-far-a");
        wait_until("the run", TIMEOUT, on_far).await;
        // The head that names the voters is written, and the lease has just been renewed.
        tokio::time::sleep(Duration::from_secs(1)).await;
        let taken = store.revision("c/0/@owner");
        [&store_link, &near_link, &far_link, &spare_link].into_iter().for_each(TcpRelay::hold);
        let _later = owner.start_beside(later_store, 100);
        near.set_capacity(CAPACITY_MILLI);
        near.register(&store, near_at, false);
        wait_until("the next owner", TIMEOUT, || store.revision("c/0/@owner") > taken).await;
        tokio::time::sleep(ENDED).await;
        assert_eq!(ledger.violations(), Vec::<String>::new());
    });
}

/// TWICE: an owner that lives would be taken for ended if a process that finds its ports taken wrote its entry before.
#[test]
fn a_process_whose_ports_are_taken_writes_no_entry() {
    process::run(async {
        let (store, address) = UsersStore::start().await.unwrap();
        store.put("op/config", &config());
        let vm = Process::start("vm-same-ports", address, DRAIN_MS);
        wait_until("the entry", TIMEOUT, || store.revision(ENTRY) > 0).await;
        let revision = store.revision(ENTRY);
        vm.pause(true);
        let mut later = vm.start_beside(address, 0);
        wait_until("the end of the process", TIMEOUT, || !later.is_running()).await;
        assert_eq!(store.revision(ENTRY), revision);
    });
}
