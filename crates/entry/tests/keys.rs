//! Requests with an idempotency key, over several entries.

#![allow(clippy::unwrap_used)]

use {
    bench::{Bench, Got, Plan, send, until},
    oleanderstage_core::outcome,
    oleanderstage_standin::faults::{Faults, Outage},
    std::time::Duration,
};

mod bench;

const PATH: &str = "/services/site/publish";
/// Longer than an entry's lease.
const OUTAGE: Duration = Duration::from_millis(12_000);

async fn start(folder: &'static str, entries: usize) -> Bench {
    let bench = Plan::new(folder).entries(entries).workers(4).start().await;
    bench.until_keys_settle(entries).await;
    bench
}

/// Sends a request under a key, once.
async fn publish_once(bench: &Bench, entry: usize, key: &str, body: &str) -> Got {
    send(bench.post(entry, PATH, body).header("idempotency-key", key)).await
}

/// Sends a request under a key, and comes back as told when no owner was ready.
async fn publish(bench: &Bench, entry: usize, key: &str, body: &str) -> Got {
    for _ in 0..5 {
        let got = publish_once(bench, entry, key, body).await;
        if got.reason != "key-unavailable" {
            return got;
        }
        tokio::time::sleep(Duration::from_secs(1)).await;
    }
    publish_once(bench, entry, key, body).await
}

fn fresh() -> String {
    uuid::Uuid::now_v7().to_string()
}

#[tokio::test]
async fn a_repetition_through_any_entry_gets_the_first_answer() {
    let bench = start("repetition", 3).await;
    for key in [fresh(), "opaque".into(), fresh()] {
        let first = publish(&bench, 0, &key, "page").await;
        assert_eq!(first.outcome, "answered", "{first:?}");
        for entry in [0, 1, 2] {
            let again = publish(&bench, entry, &key, "page").await;
            assert_eq!((again.status, &again.outcome), (200, &first.outcome), "{again:?}");
            assert_eq!(again.body, first.body);
        }
    }
    assert_eq!(bench.ran().requests.len(), 3);
}

#[tokio::test]
async fn repetitions_join_a_run_in_progress() {
    let bench = start("joining", 3).await;
    let (key, path) = (fresh(), format!("{PATH}?work_ms=1000"));
    let requests = (0..9)
        .map(|index| send(bench.post(index % 3, &path, "page").header("idempotency-key", &key)));
    let got = futures_util::future::join_all(requests).await;
    assert!(got.iter().all(|one| one.outcome == "answered" && one.body == got[0].body), "{got:?}");
    assert_eq!(bench.ran().requests.len(), 1);
}

#[tokio::test]
async fn another_body_or_caller_does_not_get_the_answer() {
    let bench = start("others", 2).await;
    let key = fresh();
    let first = publish(&bench, 0, &key, "page").await;
    let other = publish(&bench, 1, &key, "another page").await;
    assert_eq!((other.status, other.outcome.as_str()), (422, "not-run"));
    assert_eq!(other.reason, "key-reused");
    let request = bench.post(1, PATH, "page").header("idempotency-key", &key);
    let named = send(request.header(outcome::CALLER_HEADER, "other")).await;
    assert_eq!(named.outcome, "answered");
    assert_ne!(named.body, first.body);
    assert_eq!(bench.ran().requests.len(), 2);
}

#[tokio::test]
async fn a_caller_gone_half_way_finds_its_answer_on_return() {
    let bench = start("return", 2).await;
    let key = fresh();
    let request = bench.post(0, &format!("{PATH}?work_ms=500"), "page");
    let request = request.header("idempotency-key", &key).timeout(Duration::from_millis(200));
    assert!(request.send().await.unwrap_err().is_timeout());
    let request = bench.post(1, &format!("{PATH}?work_ms=500"), "page");
    let got = send(request.header("idempotency-key", &key)).await;
    assert_eq!(got.outcome, "answered", "{got:?}");
    assert_eq!(bench.ran().requests.len(), 1);
}

#[tokio::test]
async fn a_key_of_the_future_is_refused() {
    let bench = start("future", 1).await;
    let got = publish(&bench, 0, "0fffffff-ffff-7000-8000-000000000000", "page").await;
    assert_eq!((got.status, got.reason.as_str()), (400, "key-from-future"));
    assert_eq!(bench.ran().requests.len(), 0);
}

#[tokio::test]
async fn after_its_owner_died_a_key_still_has_its_answer() {
    let mut bench = start("owner-dies", 3).await;
    let key = fresh();
    let owner = bench.owner_of(&key);
    let (runner, other) = ((owner + 1) % 3, (owner + 2) % 3);
    let first = publish(&bench, runner, &key, "page").await;
    assert_eq!(first.outcome, "answered");
    bench.entries[owner].kill();
    let during = publish_once(&bench, other, &key, "page").await;
    assert_eq!((during.status, during.outcome.as_str()), (503, "not-run"), "{during:?}");
    assert!(!during.retry_after.is_empty());
    bench.until_keys_settle(2).await;
    for entry in [runner, other] {
        let again = publish(&bench, entry, &key, "page").await;
        assert_eq!((&again.outcome, &again.body), (&first.outcome, &first.body), "{again:?}");
    }
    assert_eq!(bench.ran().requests.len(), 1);
}

#[tokio::test]
async fn after_its_runner_died_a_key_still_has_its_answer() {
    let mut bench = start("runner-dies", 3).await;
    let key = fresh();
    let owner = bench.owner_of(&key);
    let (runner, other) = ((owner + 1) % 3, (owner + 2) % 3);
    let first = publish(&bench, runner, &key, "page").await;
    bench.entries[runner].kill();
    let again = publish(&bench, other, &key, "page").await;
    assert_eq!((&again.outcome, &again.body), (&first.outcome, &first.body), "{again:?}");
    assert_eq!(bench.ran().requests.len(), 1);
}

#[tokio::test]
async fn a_run_whose_runner_died_is_unknown_and_does_not_run_again() {
    let mut bench = start("run-dies", 3).await;
    let (key, path) = (fresh(), format!("{PATH}?work_ms=1000"));
    let owner = bench.owner_of(&key);
    let (runner, other) = ((owner + 1) % 3, (owner + 2) % 3);
    let request = bench.post(runner, &path, "page").header("idempotency-key", &key);
    let first = tokio::spawn(request.send());
    until(async || bench.ran().requests.len() == 1).await;
    bench.entries[runner].kill();
    assert!(first.await.unwrap().is_err());
    let again = send(bench.post(other, &path, "page").header("idempotency-key", &key)).await;
    assert_eq!((again.status, again.outcome.as_str()), (504, "unknown"), "{again:?}");
    assert_eq!(bench.ran().requests.len(), 1);
}

#[tokio::test]
async fn an_outage_of_the_key_value_service_stops_no_key() {
    let mut bench = start("outage", 3).await;
    let key = fresh();
    let first = publish(&bench, 0, &key, "page").await;
    let faults = Faults { outage: Outage::Refusing, ..Faults::default() };
    bench.platform.store().set_faults(faults);
    tokio::time::sleep(OUTAGE).await;
    for entry in [0, 1, 2] {
        let again = publish(&bench, entry, &key, "page").await;
        assert_eq!((&again.outcome, &again.body), (&first.outcome, &first.body), "{again:?}");
        let new = publish(&bench, entry, &fresh(), "page").await;
        assert_eq!(new.outcome, "answered", "{new:?}");
    }
    // With a member gone, no owner can rely on its partitions.
    bench.entries[2].kill();
    tokio::time::sleep(Duration::from_millis(2_000)).await;
    let before = bench.ran().requests.len();
    let keyed = publish_once(&bench, 0, &fresh(), "page").await;
    assert_eq!((keyed.status, keyed.outcome.as_str()), (503, "not-run"), "{keyed:?}");
    assert_eq!((keyed.reason.as_str(), keyed.retry_after.as_str()), ("key-unavailable", "1"));
    assert_eq!(bench.ran().requests.len(), before);
    let idempotent = bench.post(0, PATH, "page").header("idempotency-key", fresh());
    let idempotent = send(idempotent.header(outcome::IDEMPOTENT_HEADER, "true")).await;
    assert_eq!(idempotent.outcome, "answered", "{idempotent:?}");
    assert_eq!(send(bench.post(0, PATH, "page")).await.outcome, "answered");
}

#[tokio::test]
async fn a_leaving_entry_hands_its_keys_over() {
    let bench = start("handover", 3).await;
    let keys: Vec<String> = (0..12).map(|_| fresh()).collect();
    let mut bodies = Vec::new();
    for key in &keys {
        bodies.push(publish(&bench, 0, key, "page").await.body);
    }
    bench.entries[0].leave.cancel();
    bench.until_keys_settle(2).await;
    for (key, body) in keys.iter().zip(&bodies) {
        for entry in [1, 2] {
            let again = publish(&bench, entry, key, "page").await;
            assert_eq!((again.outcome.as_str(), &again.body), ("answered", body), "{again:?}");
        }
    }
    assert_eq!(bench.ran().requests.len(), keys.len());
}

#[tokio::test]
async fn keyed_requests_cost_no_call_to_the_key_value_service() {
    let bench = start("calls", 3).await;
    let calls = || {
        let counters = bench.platform.store().counters();
        counters.reads + counters.writes
    };
    let (before, since) = (calls(), tokio::time::Instant::now());
    for index in 0..300 {
        let got = publish(&bench, index % 3, &fresh(), "page").await;
        assert_eq!(got.outcome, "answered", "{got:?}");
    }
    let (made, seconds) = (calls() - before, since.elapsed().as_secs_f64());
    println!("{made} calls in {seconds:.1} s for 300 requests");
    // Each entry reads the map and, as a watcher, the configuration each second, and renews its
    // lease each 3 seconds.
    assert!((made as f64) < 3.0 * (2.4 * seconds + 4.0), "{made} calls in {seconds} s");
}
