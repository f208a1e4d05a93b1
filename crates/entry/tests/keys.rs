//! Requests with an idempotency key, over several entries.

#![allow(clippy::unwrap_used)]

use {
    cluster::{Builder, Cluster, Response, send, until},
    oleanderstage_core::outcome,
    oleanderstage_standin::faults::{Faults, Outage},
    std::time::Duration,
};

mod cluster;

const PATH: &str = "/services/site/publish";
/// Duration of an outage, longer than an entry's lease.
const OUTAGE: Duration = Duration::from_millis(12_000);

async fn start(folder: &'static str, entries: usize) -> Cluster {
    let cluster = Builder::new(folder).entries(entries).workers(4).start().await;
    cluster.until_keys_settle(entries).await;
    cluster
}

/// Sends a request under a key, without retries.
async fn publish_once(cluster: &Cluster, entry: usize, key: &str, body: &str) -> Response {
    send(cluster.post(entry, PATH, body).header("idempotency-key", key)).await
}

/// Sends a request under a key, with up to 5 retries while no owner of the key is available.
async fn publish(cluster: &Cluster, entry: usize, key: &str, body: &str) -> Response {
    for _ in 0..5 {
        let response = publish_once(cluster, entry, key, body).await;
        if response.reason != "key-unavailable" {
            return response;
        }
        tokio::time::sleep(Duration::from_secs(1)).await;
    }
    publish_once(cluster, entry, key, body).await
}

fn new_key() -> String {
    uuid::Uuid::now_v7().to_string()
}

#[tokio::test]
async fn a_repetition_through_any_entry_gets_the_first_answer() {
    let cluster = start("repetition", 3).await;
    for key in [new_key(), "opaque".into(), new_key()] {
        let first = publish(&cluster, 0, &key, "page").await;
        assert_eq!(first.outcome, "answered", "{first:?}");
        for entry in [0, 1, 2] {
            let again = publish(&cluster, entry, &key, "page").await;
            assert_eq!((again.status, &again.outcome), (200, &first.outcome), "{again:?}");
            assert_eq!(again.body, first.body);
        }
    }
    assert_eq!(cluster.executed().requests.len(), 3);
}

#[tokio::test]
async fn repetitions_join_a_run_in_progress() {
    let cluster = start("joining", 3).await;
    let (key, path) = (new_key(), format!("{PATH}?work_ms=1000"));
    let requests = (0..9)
        .map(|index| send(cluster.post(index % 3, &path, "page").header("idempotency-key", &key)));
    let responses = futures_util::future::join_all(requests).await;
    assert!(
        responses
            .iter()
            .all(|response| response.outcome == "answered" && response.body == responses[0].body),
        "{responses:?}"
    );
    assert_eq!(cluster.executed().requests.len(), 1);
}

#[tokio::test]
async fn another_body_or_caller_does_not_get_the_answer() {
    let cluster = start("others", 2).await;
    let key = new_key();
    let first = publish(&cluster, 0, &key, "page").await;
    let other = publish(&cluster, 1, &key, "another page").await;
    assert_eq!((other.status, other.outcome.as_str()), (422, "not-run"));
    assert_eq!(other.reason, "key-reused");
    let request = cluster.post(1, PATH, "page").header("idempotency-key", &key);
    let named = send(request.header(outcome::CALLER_HEADER, "other")).await;
    assert_eq!(named.outcome, "answered");
    assert_ne!(named.body, first.body);
    assert_eq!(cluster.executed().requests.len(), 2);
}

#[tokio::test]
async fn a_caller_gone_half_way_finds_its_answer_on_return() {
    let cluster = start("return", 2).await;
    let key = new_key();
    let request = cluster.post(0, &format!("{PATH}?work_ms=500"), "page");
    let request = request.header("idempotency-key", &key).timeout(Duration::from_millis(200));
    assert!(request.send().await.unwrap_err().is_timeout());
    let request = cluster.post(1, &format!("{PATH}?work_ms=500"), "page");
    let response = send(request.header("idempotency-key", &key)).await;
    assert_eq!(response.outcome, "answered", "{response:?}");
    assert_eq!(cluster.executed().requests.len(), 1);
}

#[tokio::test]
async fn a_key_of_the_future_is_refused() {
    let cluster = start("future", 1).await;
    let response = publish(&cluster, 0, "0fffffff-ffff-7000-8000-000000000000", "page").await;
    assert_eq!((response.status, response.reason.as_str()), (400, "key-from-future"));
    assert_eq!(cluster.executed().requests.len(), 0);
}

#[tokio::test]
async fn after_its_owner_died_a_key_still_has_its_answer() {
    let mut cluster = start("owner-dies", 3).await;
    let key = new_key();
    let owner = cluster.owner_of(&key);
    let (runner, other) = ((owner + 1) % 3, (owner + 2) % 3);
    let first = publish(&cluster, runner, &key, "page").await;
    assert_eq!(first.outcome, "answered");
    cluster.entries[owner].kill();
    let during = publish_once(&cluster, other, &key, "page").await;
    assert_eq!((during.status, during.outcome.as_str()), (503, "not-run"), "{during:?}");
    assert!(!during.retry_after.is_empty());
    cluster.until_keys_settle(2).await;
    for entry in [runner, other] {
        let again = publish(&cluster, entry, &key, "page").await;
        assert_eq!((&again.outcome, &again.body), (&first.outcome, &first.body), "{again:?}");
    }
    assert_eq!(cluster.executed().requests.len(), 1);
}

#[tokio::test]
async fn after_its_runner_died_a_key_still_has_its_answer() {
    let mut cluster = start("runner-dies", 3).await;
    let key = new_key();
    let owner = cluster.owner_of(&key);
    let (runner, other) = ((owner + 1) % 3, (owner + 2) % 3);
    let first = publish(&cluster, runner, &key, "page").await;
    cluster.entries[runner].kill();
    let again = publish(&cluster, other, &key, "page").await;
    assert_eq!((&again.outcome, &again.body), (&first.outcome, &first.body), "{again:?}");
    assert_eq!(cluster.executed().requests.len(), 1);
}

#[tokio::test]
async fn a_run_whose_runner_died_is_unknown_and_does_not_run_again() {
    let mut cluster = start("run-dies", 3).await;
    let (key, path) = (new_key(), format!("{PATH}?work_ms=1000"));
    let owner = cluster.owner_of(&key);
    let (runner, other) = ((owner + 1) % 3, (owner + 2) % 3);
    let request = cluster.post(runner, &path, "page").header("idempotency-key", &key);
    let first = tokio::spawn(request.send());
    until(async || cluster.executed().requests.len() == 1).await;
    cluster.entries[runner].kill();
    assert!(first.await.unwrap().is_err());
    let again = send(cluster.post(other, &path, "page").header("idempotency-key", &key)).await;
    assert_eq!((again.status, again.outcome.as_str()), (504, "unknown"), "{again:?}");
    assert_eq!(cluster.executed().requests.len(), 1);
}

#[tokio::test]
async fn an_outage_of_the_key_value_service_stops_no_key() {
    let mut cluster = start("outage", 3).await;
    let key = new_key();
    let first = publish(&cluster, 0, &key, "page").await;
    let faults = Faults { outage: Outage::Refusing, ..Faults::default() };
    cluster.platform.store().set_faults(faults);
    tokio::time::sleep(OUTAGE).await;
    for entry in [0, 1, 2] {
        let again = publish(&cluster, entry, &key, "page").await;
        assert_eq!((&again.outcome, &again.body), (&first.outcome, &first.body), "{again:?}");
        let new = publish(&cluster, entry, &new_key(), "page").await;
        assert_eq!(new.outcome, "answered", "{new:?}");
    }
    // Without one of the members, no owner can rely on its partitions.
    cluster.entries[2].kill();
    tokio::time::sleep(Duration::from_millis(2_000)).await;
    let before = cluster.executed().requests.len();
    let keyed = publish_once(&cluster, 0, &new_key(), "page").await;
    assert_eq!((keyed.status, keyed.outcome.as_str()), (503, "not-run"), "{keyed:?}");
    assert_eq!((keyed.reason.as_str(), keyed.retry_after.as_str()), ("key-unavailable", "1"));
    assert_eq!(cluster.executed().requests.len(), before);
    let idempotent = cluster.post(0, PATH, "page").header("idempotency-key", new_key());
    let idempotent = send(idempotent.header(outcome::IDEMPOTENT_HEADER, "true")).await;
    assert_eq!(idempotent.outcome, "answered", "{idempotent:?}");
    assert_eq!(send(cluster.post(0, PATH, "page")).await.outcome, "answered");
}

#[tokio::test]
async fn a_leaving_entry_hands_its_keys_over() {
    let cluster = start("handover", 3).await;
    let keys: Vec<String> = (0..12).map(|_| new_key()).collect();
    let mut bodies = Vec::new();
    for key in &keys {
        bodies.push(publish(&cluster, 0, key, "page").await.body);
    }
    cluster.entries[0].leave.cancel();
    cluster.until_keys_settle(2).await;
    for (key, body) in keys.iter().zip(&bodies) {
        for entry in [1, 2] {
            let again = publish(&cluster, entry, key, "page").await;
            assert_eq!((again.outcome.as_str(), &again.body), ("answered", body), "{again:?}");
        }
    }
    assert_eq!(cluster.executed().requests.len(), keys.len());
}

#[tokio::test]
async fn keyed_requests_cost_no_call_to_the_key_value_service() {
    let cluster = start("calls", 3).await;
    let calls = || {
        let counters = cluster.platform.store().counters();
        counters.reads + counters.writes
    };
    let (before, since) = (calls(), tokio::time::Instant::now());
    for index in 0..300 {
        let response = publish(&cluster, index % 3, &new_key(), "page").await;
        assert_eq!(response.outcome, "answered", "{response:?}");
    }
    let (made, seconds) = (calls() - before, since.elapsed().as_secs_f64());
    println!("{made} calls in {seconds:.1} s for 300 requests");
    // Each entry reads the map every second, reads the configuration every second as a watcher, and
    // renews its lease every 3 seconds.
    assert!((made as f64) < 3.0 * (2.4 * seconds + 4.0), "{made} calls in {seconds} s");
}
