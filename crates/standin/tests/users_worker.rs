//! Tests which ends of runs count as acknowledged at a worker of the users' platform.

#![allow(clippy::unwrap_used)]

use {
    oleanderstage_standin::{UsersLedger, UsersWorker},
    serde_json::{Value, json},
    std::time::Duration,
};

const TASK: &str = "00000000000000aa.0.0.0";
/// Run time of the task, in milliseconds.
const RUN_MS: u64 = 50;
/// Length of a lease, in milliseconds.
const LEASE_MS: u64 = 600;

/// Starts the task, acknowledges its end as done after `pause`, starts it again, and returns the ledger.
async fn start_again(pause: Duration) -> UsersLedger {
    let ledger = UsersLedger::default();
    let (_worker, address) = UsersWorker::start("i-2", ledger.clone()).await.unwrap();
    let client = oleanderstage_platform::client("test", Duration::from_secs(5)).unwrap();
    let call = async |path: &str, body: Value| {
        let call = client.post(format!("http://{address}/-/{path}")).body(body.to_string());
        let answer = call.send().await.unwrap().bytes().await.unwrap();
        serde_json::from_slice::<Value>(&answer).unwrap()["clock_ms"].as_u64().unwrap()
    };
    let start = |run: u32, deadline_ms: u64| {
        json!({
            "task": TASK, "run": run, "spec": format!("{RUN_MS} 100"), "deadline_ms": deadline_ms,
            "fencing_token": 1,
        })
    };
    call("run-start", start(1, LEASE_MS)).await;
    tokio::time::sleep(pause).await;
    let clock_ms = call("hold", json!({"fencing_token": 1, "last_seen": 1})).await;
    call("run-start", start(2, clock_ms + LEASE_MS)).await;
    assert_eq!(ledger.entry(TASK).starts, 2);
    ledger
}

#[tokio::test(flavor = "multi_thread")]
async fn a_start_after_an_acknowledged_end_is_a_violation() {
    let ledger = start_again(Duration::from_millis(LEASE_MS / 2)).await;
    let expected = format!("task {TASK} is started on i-2 after its end as done was acknowledged");
    assert_eq!(ledger.violations(), [expected]);
}

/// An end isn't acknowledged if the lease has lapsed since.
#[tokio::test(flavor = "multi_thread")]
async fn a_start_after_an_end_whose_lease_lapsed_is_none() {
    let ledger = start_again(Duration::from_millis(LEASE_MS + 200)).await;
    assert_eq!(ledger.violations(), Vec::<String>::new());
    assert!(!ledger.entry(TASK).acknowledged);
}
