//! End-to-end tests of urgent requests: entries, workers and the key-value service are killed,
//! replaced and silenced.

#![allow(clippy::unwrap_used)]

use {
    oleanderstage_proof::{Load, Plan, fleet::until, load::Tally},
    oleanderstage_standin::faults::{Faults, Outage},
    std::time::{Duration, Instant},
};

/// How long a program may take to end after SIGTERM.
const DRAIN_TIMEOUT: Duration = Duration::from_secs(60);

fn plan(test: &str) -> Plan {
    Plan::new(env!("CARGO_BIN_EXE_oleanderstage-proof"), env!("CARGO_TARGET_TMPDIR"), test)
}

/// Asserts that every call had an outcome, and that no answer belongs to another request.
fn assert_served(tally: &Tally) {
    assert_eq!((tally.lost, tally.wrong), (0, 0), "{tally:?}");
}

/// Replaces every entry in turn under a load of short and a load of long requests to `publish`, and
/// returns the results of both loads.
async fn replace_entries(test: &str) -> [Tally; 2] {
    let mut fleet = plan(test).entries(3).workers(3).start().await.unwrap();
    let caller = fleet.caller().unwrap();
    let load = Load::start(&caller, "publish", 8, 30);
    let slow = Load::start(&caller, "publish", 4, 2_500);
    for index in 0..3 {
        load.wait_answers(40).await.unwrap();
        let entry = fleet.process(&format!("entry-{index}")).unwrap();
        entry.terminate().unwrap();
        let status = entry.wait(DRAIN_TIMEOUT).await.unwrap();
        assert!(status.success(), "{status}");
        fleet.start_entry(index).unwrap();
        fleet.wait_ready(index).await.unwrap();
    }
    load.wait_answers(40).await.unwrap();
    let tallies = [load.stop().await, slow.stop().await];
    tallies.iter().for_each(assert_served);
    assert_eq!(fleet.ledger.summary().repeated, 0);
    tallies
}

#[tokio::test(flavor = "multi_thread")]
async fn a_killed_entry_repeats_no_request() {
    const KILLS: usize = 4;
    let mut fleet = plan("entry_killed").entries(3).workers(3).start().await.unwrap();
    let caller = fleet.caller().unwrap();
    let load = Load::start(&caller, "publish", 8, 1_000);
    let idempotent = Load::start(&caller, "bulletin", 4, 20);
    let kills_began = Instant::now();
    for _ in 0..KILLS {
        load.wait_answers(16).await.unwrap();
        fleet.process("entry-1").unwrap().kill().unwrap();
        load.wait_answers(16).await.unwrap();
        fleet.start_entry(1).unwrap();
        fleet.wait_ready(1).await.unwrap();
        if load.cut() > 0 {
            break;
        }
    }
    let (tally, idempotent) = (load.stop().await, idempotent.stop().await);
    println!(
        "longest time without a publish while entries died: {:?}",
        tally.longest_gap(kills_began)
    );
    println!(
        "longest time without a bulletin while entries died: {:?}",
        idempotent.longest_gap(kills_began)
    );
    assert_served(&tally);
    assert_served(&idempotent);
    assert!(tally.cut > 0, "no kill hit a request in progress: {tally:?}");
    let summary = fleet.ledger.summary();
    assert_eq!(summary.repeated, 0, "{summary:?}");
}

#[tokio::test(flavor = "multi_thread")]
async fn a_rolling_replacement_cuts_off_no_request() {
    let cut: u64 = replace_entries("rolling_cut").await.iter().map(|tally| tally.cut).sum();
    println!("requests cut off by a rolling replacement: {cut}");
    assert_eq!(cut, 0);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_rolling_replacement_leaves_no_publish_unknown() {
    let tallies = replace_entries("rolling_unknown").await;
    let unknown: u64 = tallies.iter().map(|tally| tally.unknown).sum();
    assert_eq!(unknown, 0, "{tallies:?}");
}

#[tokio::test(flavor = "multi_thread")]
async fn urgent_requests_go_on_without_the_key_value_service() {
    let fleet = plan("store_down").entries(2).workers(2).start().await.unwrap();
    let load = Load::start(&fleet.caller().unwrap(), "bulletin", 4, 20);
    load.wait_answers(40).await.unwrap();
    for outage in [Outage::Silent, Outage::Refusing] {
        let faults = Faults { outage, ..Faults::default() };
        fleet.platform.store().set_faults(faults);
        tokio::time::sleep(Duration::from_secs(6)).await;
        load.wait_answers(100).await.unwrap();
    }
    let before = fleet.platform.store().counters();
    fleet.platform.store().set_faults(Faults::default());
    tokio::time::sleep(Duration::from_secs(2)).await;
    let after = fleet.platform.store().counters();
    load.wait_answers(40).await.unwrap();
    let tally = load.stop().await;
    println!("calls within 2 s of the key-value service's return: {before:?} to {after:?}");
    assert_served(&tally);
    assert_eq!((tally.unknown, tally.refused, after.refused), (0, 0, 0), "{tally:?}");
}

#[tokio::test(flavor = "multi_thread")]
async fn silent_connections_are_retired() {
    const WORKERS: u16 = 3;
    const SILENCED_CALLERS: usize = 12;
    let fleet = plan("silent").workers(WORKERS).start().await.unwrap();
    let caller = fleet.caller().unwrap();
    let warm = Load::start(&caller, "publish", 24, 20);
    warm.wait_answers(200).await.unwrap();
    assert_served(&warm.stop().await);
    let silenced_at = Instant::now();
    fleet.worker_relays.iter().for_each(|relay| relay.silence());
    let silenced = Load::start(&caller, "publish", SILENCED_CALLERS, 20);
    let retired = async || fleet.connections_retired(0).await >= u64::from(WORKERS);
    until("confirm that every worker's connections were retired", retired).await.unwrap();
    println!("time to take silent connections out: {:?}", silenced_at.elapsed());
    let fresh = Load::start(&caller, "publish", 8, 20);
    fresh.wait_answers(100).await.unwrap();
    let fresh = fresh.stop().await;
    println!("time to 100 fresh answers after silence: {:?}", silenced_at.elapsed());
    assert_served(&fresh);
    assert_eq!(fresh.unknown, 0, "{fresh:?}");
    silenced.wait_answers(50).await.unwrap();
    let silenced = silenced.stop().await;
    assert_served(&silenced);
    assert!((1..=SILENCED_CALLERS as u64).contains(&silenced.unknown), "{silenced:?}");
    assert_eq!(fleet.ledger.summary().repeated, 0);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_killed_worker_stops_no_service() {
    let fleet = plan("worker_killed").entries(2).workers(3).start().await.unwrap();
    let load = Load::start(&fleet.caller().unwrap(), "bulletin", 8, 20);
    load.wait_answers(100).await.unwrap();
    let killed = Instant::now();
    fleet.workers[0].stop().await;
    load.wait_answers(200).await.unwrap();
    let tally = load.stop().await;
    println!("longest time without an answer after a worker died: {:?}", tally.longest_gap(killed));
    assert_served(&tally);
}
