//! Tests the faults of the users' key-value store.

#![allow(clippy::unwrap_used)]

use {
    oleanderstage_standin::{UsersStore, users_store::Availability},
    serde_json::{Value, json},
    std::time::Duration,
};

/// Time within which a call that nothing holds up is answered.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(700);

/// Asks for a lease of one second, and writes a key that ends with it.
async fn write_leased_key(client: &reqwest::Client, base: &str) {
    let lease =
        client.post(format!("{base}/-/kv-lease")).body(json!({"ttl_ms": 1_000}).to_string());
    let lease: Value =
        serde_json::from_slice(&lease.send().await.unwrap().bytes().await.unwrap()).unwrap();
    let write = json!({"key": "k", "value": "", "lease": lease["lease"]});
    let txn = client.post(format!("{base}/-/kv-txn")).body(json!({"writes": [write]}).to_string());
    assert_eq!(txn.send().await.unwrap().status(), 200);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_silent_store_answers_nothing_and_ends_no_lease() {
    let (store, address) = UsersStore::start().await.unwrap();
    let base = format!("http://{address}");
    let client = oleanderstage_platform::client("test", Duration::from_secs(5)).unwrap();
    write_leased_key(&client, &base).await;
    let watch = client.get(format!("{base}/-/kv-watch?prefix=k&after=1000&wait_ms=300")).send();
    let watch = tokio::spawn(tokio::time::timeout(ANSWER_TIMEOUT, watch));
    tokio::time::sleep(Duration::from_millis(100)).await;
    store.set_availability(Availability::Silent);
    let read = client.get(format!("{base}/-/kv-key?key=k")).send();
    assert!(tokio::time::timeout(ANSWER_TIMEOUT, read).await.is_err());
    assert!(watch.await.unwrap().is_err(), "a watch from before the silence was answered");
    tokio::time::sleep(Duration::from_millis(500)).await;
    store.set_availability(Availability::Up);
    let read = client.get(format!("{base}/-/kv-key?key=k")).send();
    assert_eq!(tokio::time::timeout(ANSWER_TIMEOUT, read).await.unwrap().unwrap().status(), 200);
    tokio::time::sleep(Duration::from_millis(1_100)).await;
    assert!(store.values("k").is_empty(), "the lease ends after its length");
}
