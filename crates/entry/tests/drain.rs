//! Drain of an entry.

#![allow(clippy::unwrap_used)]

use cluster::{Builder, WAIT_TIMEOUT, send, until};

mod cluster;

#[tokio::test]
async fn a_drain_cuts_off_no_request() {
    let mut cluster = Builder::new("drain").start().await;
    let slow = tokio::spawn(send(cluster.post(0, "/services/site/a?work_ms=4000", "")));
    until(async || cluster.executed().requests.len() == 1).await;
    let response = send(cluster.post(0, "/drain", "")).await;
    assert_eq!(response.status, 202);
    let health = send(cluster.http.get(cluster.url(0, "/health"))).await;
    assert_eq!(health.status, 503);
    let health = cluster.http.get(cluster.url(0, "/health")).send().await.unwrap();
    assert_eq!(health.headers().get("connection").unwrap(), "close");
    let during = send(cluster.post(0, "/services/site/a", "")).await;
    assert_eq!(during.outcome, "answered", "requests are taken during the grace");
    let mut process = cluster.entries.remove(0);
    tokio::time::timeout(WAIT_TIMEOUT, &mut process.serving).await.unwrap().unwrap();
    let slow = slow.await.unwrap();
    assert_eq!((slow.status, slow.outcome.as_str()), (200, "answered"));
    let method = reqwest::Method::GET;
    let url = format!("http://{}/health", process.address);
    assert!(cluster.http.request(method, url).send().await.unwrap_err().is_connect());
}
