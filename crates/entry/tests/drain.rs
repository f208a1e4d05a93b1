//! Entries that leave.

#![allow(clippy::unwrap_used)]

use bench::{PATIENCE, Plan, send, until};

mod bench;

#[tokio::test]
async fn a_drain_cuts_off_no_request() {
    let mut bench = Plan::new("drain").start().await;
    let slow = tokio::spawn(send(bench.post(0, "/services/site/a?work_ms=4000", "")));
    until(async || bench.ran().requests.len() == 1).await;
    let got = send(bench.post(0, "/drain", "")).await;
    assert_eq!(got.status, 202);
    let health = send(bench.http.get(bench.url(0, "/health"))).await;
    assert_eq!(health.status, 503);
    let health = bench.http.get(bench.url(0, "/health")).send().await.unwrap();
    assert_eq!(health.headers().get("connection").unwrap(), "close");
    let during = send(bench.post(0, "/services/site/a", "")).await;
    assert_eq!(during.outcome, "answered", "requests are taken during the grace");
    let mut running = bench.entries.remove(0);
    tokio::time::timeout(PATIENCE, &mut running.serving).await.unwrap().unwrap();
    let slow = slow.await.unwrap();
    assert_eq!((slow.status, slow.outcome.as_str()), (200, "answered"));
    let gone = reqwest::Method::GET;
    let url = format!("http://{}/health", running.address);
    assert!(bench.http.request(gone, url).send().await.unwrap_err().is_connect());
}
