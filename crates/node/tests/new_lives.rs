//! Tests of orders that are sent to a worker while its restart has not been noticed.

#![allow(clippy::unwrap_used)]

mod process;

use {
    oleanderstage_proof::tcp_relay::TcpRelay,
    oleanderstage_standin::{
        UsersLedger, UsersStore, UsersView, UsersWorker, users_worker::CAPACITY_MILLI,
    },
    process::{Process, TIMEOUT, config, step, wait_until},
    serde_json::json,
    std::time::Duration,
};

/// How long endpoints may get new runs after they drain, in milliseconds.
const DRAIN_MS: u64 = 2_000;
/// How long the worker lives before it starts again: an order that is meant for this life then asks the next one
/// for the longest lease.
const FIRST_LIFE: Duration = Duration::from_secs(5);
/// Run time of the task, in milliseconds: longer than any lease.
const TASK_MS: u64 = 9_000;
/// Longer than the longest lease, and than the wait of a new owner.
const SETTLED: Duration = Duration::from_secs(8);
const JOB: &str = "00000000000000c1";
const TASK: &str = "00000000000000c1.0.0.0";

/// TWICE: a start was sent to a worker that had started again unnoticed. The new life carried it out with a longer
/// lease than the next owner waited for, which started the task elsewhere.
#[test]
fn a_start_for_an_earlier_life_does_not_run_beside_the_next_owners() {
    process::run(async {
        let (store, _) = UsersStore::start().await.unwrap();
        let ledger = UsersLedger::default();
        let (near, near_at) = UsersWorker::start("i-near", ledger.clone()).await.unwrap();
        let (far, far_at) = UsersWorker::start("i-far", ledger.clone()).await.unwrap();
        store.put("op/config", &config());
        store.put("m/map", &json!({"owners": ["vm-lives"], "workers": {"i-near": 0, "i-far": 0}}));
        near.set_capacity(0);
        near.register(&store, near_at, false);
        far.register(&store, far_at, false);
        let link = TcpRelay::start(([127, 0, 0, 1], 0).into(), far_at).await.unwrap();
        let view = UsersView::new([(far_at, link.address)].into_iter().collect());
        let address = store.serve(view).await.unwrap();
        let mut owner = Process::start("vm-lives", address, DRAIN_MS);
        tokio::time::sleep(FIRST_LIFE).await;
        far.restart_silently();
        owner.submit(JOB, TASK_MS, json!([step(1, &[])])).await;
        let on_far = || ledger.entry(TASK).running.contains("i-far");
        // An order that reaches the new life does so within a poll's time.
        for _ in 0..300 {
            if on_far() {
                break;
            }
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
        link.hold();
        owner.restart();
        near.set_capacity(CAPACITY_MILLI);
        near.register(&store, near_at, false);
        tokio::time::sleep(SETTLED).await;
        assert_eq!(ledger.violations(), Vec::<String>::new());
        wait_until("the task", TIMEOUT, || ledger.entry(TASK).acknowledged).await;
    });
}
