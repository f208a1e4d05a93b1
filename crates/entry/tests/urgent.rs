//! Urgent requests through a running entry.

#![allow(clippy::unwrap_used)]

use {
    cluster::{Builder, Cluster, send, until},
    oleanderstage_core::outcome,
    std::time::Duration,
    tokio::io::{AsyncReadExt, AsyncWriteExt},
};

mod cluster;

/// Writes `text` to the entry unchanged, and returns the start of its response.
async fn send_raw(cluster: &Cluster, text: &str) -> String {
    let mut caller = tokio::net::TcpStream::connect(cluster.entries[0].address).await.unwrap();
    caller.write_all(text.as_bytes()).await.unwrap();
    let mut answer = [0; 2_048];
    let read = tokio::time::timeout(cluster::WAIT_TIMEOUT, caller.read(&mut answer)).await;
    String::from_utf8_lossy(&answer[..read.unwrap().unwrap()]).into_owned()
}

#[tokio::test]
async fn an_answer_is_passed_on_whole() {
    let cluster = Builder::new("whole").start().await;
    let body = "x".repeat(150_000);
    let response = send(cluster.post(0, "/services/site/publish?a=1", &body)).await;
    assert_eq!((response.status, response.outcome.as_str()), (200, "answered"));
    let (id, echo) = response.body.split_once('\n').unwrap();
    assert_eq!(echo, body);
    let executed = cluster.executed();
    assert_eq!(executed.requests.len(), 1);
    assert_eq!(executed.requests[0].request, id);
}

#[tokio::test]
async fn malformed_requests_are_refused_and_not_run() {
    let cluster = Builder::new("malformed").start().await;
    let long = "x".repeat(300);
    let requests = [
        cluster.post(0, "/services/none/a", ""),
        cluster.post(0, "/services/Site/a", ""),
        cluster.post(0, "/services/site/a", "").header(outcome::DEADLINE_HEADER, "soon"),
        cluster.post(0, "/services/site/a", "").header(outcome::IDEMPOTENT_HEADER, "maybe"),
        cluster.post(0, "/services/site/a", "").header("idempotency-key", &long),
        cluster.post(0, "/services/site/a", &"x".repeat(200_001)),
        cluster.post(0, "/elsewhere", ""),
        cluster.post(0, "/jobs", "{"),
    ];
    let mut text = String::new();
    for request in requests {
        let response = send(request).await;
        text += &format!(
            "{} {} {}: {}\n",
            response.status, response.outcome, response.reason, response.body
        );
    }
    insta::assert_snapshot!(text);
    assert_eq!(cluster.executed().requests.len(), 0);
}

#[tokio::test]
async fn a_path_that_leads_to_another_service_is_refused() {
    let cluster = Builder::new("dots").start().await;
    for path in ["/services/site/../other/a", "/services/site/%2e%2E/other/a"] {
        let text = send_raw(&cluster, &format!("GET {path} HTTP/1.1\r\nhost: a\r\n\r\n")).await;
        assert!(text.starts_with("HTTP/1.1 400"), "{text}");
    }
}

#[tokio::test]
async fn a_body_without_length_is_cut_off_at_the_limit() {
    let cluster = Builder::new("chunked").service(|s| s.body_limit_bytes = 1_000).start().await;
    let parts = (0..100).map(|_| Ok::<_, std::io::Error>("x".repeat(100)));
    let body = reqwest::Body::wrap_stream(futures_util::stream::iter(parts));
    let response = send(cluster.http.post(cluster.url(0, "/services/site/a")).body(body)).await;
    assert_eq!((response.status, response.outcome.as_str()), (413, "not-run"));
    assert_eq!(cluster.executed().requests.len(), 0);
}

#[tokio::test]
async fn a_head_above_the_limit_is_refused() {
    let cluster = Builder::new("head").start().await;
    let request = cluster.post(0, "/services/site/a", "").header("x-long", "x".repeat(64 << 10));
    let response = request.send().await.unwrap();
    assert_eq!(response.status().as_u16(), 431);
    assert_eq!(cluster.executed().requests.len(), 0);
}

#[tokio::test]
async fn a_caller_gone_half_way_takes_no_slot() {
    let cluster = Builder::new("gone").start().await;
    let mut caller = tokio::net::TcpStream::connect(cluster.entries[0].address).await.unwrap();
    let head = "POST /services/site/a HTTP/1.1\r\nhost: a\r\ncontent-length: 100\r\n\r\nhalf";
    caller.write_all(head.as_bytes()).await.unwrap();
    drop(caller);
    // All 8 slots are free again: 8 requests run at the same time.
    let requests = (0..8).map(|_| send(cluster.post(0, "/services/site/a?work_ms=200", "")));
    let responses = futures_util::future::join_all(requests).await;
    assert!(responses.iter().all(|response| response.outcome == "answered"), "{responses:?}");
    assert_eq!(cluster.executed().requests.len(), 8);
}

#[tokio::test]
async fn a_caller_gone_while_waiting_gives_its_slot_back() {
    let cluster = Builder::new("waiting").slots(1).start().await;
    let mut caller = tokio::net::TcpStream::connect(cluster.entries[0].address).await.unwrap();
    let head = "POST /services/site/a?work_ms=100 HTTP/1.1\r\nhost: a\r\ncontent-length: 0\r\n\r\n";
    caller.write_all(head.as_bytes()).await.unwrap();
    until(async || cluster.executed().requests.len() == 1).await;
    drop(caller);
    until(async || send(cluster.post(0, "/services/site/a", "")).await.outcome == "answered").await;
}

#[tokio::test]
async fn a_stalled_body_is_answered_with_408() {
    let cluster = Builder::new("stalled").start().await;
    let head = "POST /services/site/a HTTP/1.1\r\nhost: a\r\ncontent-length: 100\r\n\r\nhalf";
    let text = send_raw(&cluster, head).await;
    assert!(text.starts_with("HTTP/1.1 408"), "{text}");
    assert!(text.contains("oleanderstage-outcome: not-run"), "{text}");
    assert_eq!(cluster.executed().requests.len(), 0);
}

#[tokio::test]
async fn beyond_the_slots_requests_are_refused_at_once_and_not_run() {
    let cluster = Builder::new("slots").slots(2).start().await;
    let requests = (0..6).map(|_| send(cluster.post(0, "/services/site/a?work_ms=500", "")));
    let responses = futures_util::future::join_all(requests).await;
    let answered = responses.iter().filter(|response| response.outcome == "answered").count();
    let refused = responses
        .iter()
        .filter(|response| response.outcome == "not-run" && response.status == 503)
        .count();
    assert_eq!((answered, refused), (2, 4), "{responses:?}");
    assert!(
        responses.iter().all(|response| response.status == 200 || !response.retry_after.is_empty())
    );
    assert_eq!(cluster.executed().requests.len(), 2);
}

#[tokio::test]
async fn a_flooding_caller_is_limited_alone() {
    let builder = Builder::new("flood").service(|service| service.caller_concurrency = 2);
    let cluster = builder.start().await;
    let flood = (0..5).map(|_| {
        let request = cluster.post(0, "/services/site/a?work_ms=500", "");
        send(request.header(outcome::CALLER_HEADER, "flood"))
    });
    let other = async {
        until(async || cluster.executed().requests.len() == 2).await;
        send(cluster.post(0, "/services/site/a", "").header(outcome::CALLER_HEADER, "other")).await
    };
    let (flood, other) = tokio::join!(futures_util::future::join_all(flood), other);
    let limited: Vec<_> = flood.iter().filter(|response| response.status == 429).collect();
    assert_eq!(limited.len(), 3, "{flood:?}");
    assert!(
        limited
            .iter()
            .all(|response| response.reason == "caller-limit" && response.outcome == "not-run")
    );
    assert_eq!(other.outcome, "answered");
}

#[tokio::test]
async fn a_request_past_its_deadline_is_unknown() {
    let cluster = Builder::new("deadline").start().await;
    let request = cluster.post(0, "/services/site/a?work_ms=2000", "");
    let response = send(request.header(outcome::DEADLINE_HEADER, "100")).await;
    assert_eq!(
        (response.status, response.outcome.as_str(), response.reason.as_str()),
        (504, "unknown", "deadline")
    );
}

#[tokio::test]
async fn an_endpoint_that_is_down_ran_nothing_and_others_answer() {
    let cluster = Builder::new("down").workers(3).start().await;
    cluster.workers[0].stop().await;
    let mut answered = 0;
    for _ in 0..20 {
        let response = send(cluster.post(0, "/services/site/a", "")).await;
        assert!(["answered", "not-run"].contains(&response.outcome.as_str()), "{response:?}");
        answered += usize::from(response.outcome == "answered");
    }
    // The retry budget allows two retries before the endpoint is ejected.
    assert!(answered >= 17, "{answered} answered");
    assert_eq!(cluster.executed().requests.len(), answered);
}

#[tokio::test]
async fn a_leaving_endpoint_gets_nothing_new() {
    let cluster = Builder::new("leaving").workers(2).start().await;
    cluster.platform.vms().set_lag(Duration::ZERO);
    let leaving = cluster::name("vm-0");
    let state = oleanderstage_platform::vms::State::Leaving;
    cluster.platform.vms().set(&leaving, Some(state));
    tokio::time::sleep(Duration::from_millis(2_000)).await;
    let before = cluster.executed().requests.len();
    for _ in 0..20 {
        assert_eq!(send(cluster.post(0, "/services/site/a", "")).await.outcome, "answered");
    }
    let after = &cluster.executed().requests[before..];
    assert!(after.len() == 20 && after.iter().all(|request| request.vm != leaving));
}

#[tokio::test]
async fn a_silent_connection_retires_its_generation() {
    let builder = Builder::new("silent").service(|service| service.deadline_ms = 4_000);
    let cluster = builder.start().await;
    // Opens two connections, which are idle when they go silent.
    let warm = (0..2).map(|_| send(cluster.post(0, "/services/site/a?work_ms=200", "")));
    futures_util::future::join_all(warm).await;
    cluster.workers[0].set_fault(oleanderstage_standin::faults::Fault::Silence);
    cluster.workers[0].set_fault(oleanderstage_standin::faults::Fault::None);
    let lost = tokio::spawn(send(cluster.post(0, "/services/site/lost", "")));
    until(async || retired(&cluster).await == 1).await;
    for _ in 0..5 {
        assert_eq!(send(cluster.post(0, "/services/site/a", "")).await.outcome, "answered");
    }
    let lost = lost.await.unwrap();
    assert_eq!((lost.status, lost.outcome.as_str()), (504, "unknown"), "{lost:?}");
    assert_eq!(retired(&cluster).await, 1);
}

async fn retired(cluster: &Cluster) -> u64 {
    let response = send(cluster.http.get(cluster.url(0, "/report"))).await;
    let report: serde_json::Value = serde_json::from_str(&response.body).unwrap();
    report["connections_retired"].as_u64().unwrap()
}

#[tokio::test]
async fn several_entries_stay_within_the_guards_without_asking_each_other() {
    let cluster = Builder::new("guards").entries(3).workers(2).slots(8).start().await;
    let requests = (0..120).map(|index| async move {
        tokio::time::sleep(Duration::from_millis(index as u64 * 5)).await;
        index % 3
    });
    let requests = requests.map(|entry| async {
        let request = cluster.post(entry.await, "/services/site/a?work_ms=100", "");
        send(request).await
    });
    let responses = futures_util::future::join_all(requests).await;
    assert!(
        responses
            .iter()
            .all(|response| ["answered", "not-run"].contains(&response.outcome.as_str()))
    );
    let executed = cluster.executed();
    assert_eq!(executed.turned_away, 0, "no worker turned a request away");
    assert!(executed.peaks.values().all(|peak| peak.slots <= 8), "{:?}", executed.peaks);
    assert_eq!(
        executed.requests.len(),
        responses.iter().filter(|response| response.outcome == "answered").count()
    );
}
