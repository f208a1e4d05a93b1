//! Property test of idempotency keys over several entries: under random faults, a non-idempotent
//! request runs at most once.

#![allow(clippy::unwrap_used)]

use {
    key_fleet::{Conditions, Fleet},
    quickcheck::{Gen, QuickCheck, TestResult},
    std::{
        env,
        sync::atomic::{AtomicU64, Ordering},
    },
};

mod key_fleet;

/// Requests answered in all sessions with faults.
static ANSWERED: AtomicU64 = AtomicU64::new(0);

/// Minimum mean of requests answered in a session, so that faults don't stop all work.
const MEAN_ANSWERED: u64 = 200;
/// Length of each session in seconds.
const SECONDS: u64 = 90;

fn number(variable: &str, default: u64) -> u64 {
    env::var(variable).ok().and_then(|text| text.parse().ok()).unwrap_or(default)
}

#[test]
fn without_faults_every_request_is_answered_and_runs_once() {
    let mut fleet = Fleet::new(1, 4, Conditions::NoFaults);
    fleet.run(SECONDS);
    let (answered, rejected) = (fleet.answered, fleet.rejected);
    assert!(fleet.keys_run_twice().is_empty());
    assert!(answered > 500 && rejected < answered, "{answered} and {rejected}");
}

fn session(seed: u64) -> TestResult {
    let mut fleet = Fleet::new(seed, 2 + (seed % 4) as usize, Conditions::Faults);
    fleet.run(SECONDS);
    ANSWERED.fetch_add(fleet.answered.into(), Ordering::Relaxed);
    let keys_run_twice = fleet.keys_run_twice();
    match keys_run_twice.is_empty() {
        true => TestResult::passed(),
        false => TestResult::error(format!("seed {seed}: {keys_run_twice:?}")),
    }
}

/// `KEYS_SEED` and `KEYS_COUNT` choose the generator's seed and the number of sessions.
#[test]
fn with_faults_no_key_runs_twice() {
    let count = number("KEYS_COUNT", 40);
    QuickCheck::new()
        .tests(count)
        .rng(Gen::from_size_and_seed(100, number("KEYS_SEED", 1)))
        .quickcheck(session as fn(u64) -> TestResult);
    let answered = ANSWERED.load(Ordering::Relaxed);
    println!("{count} sessions, {answered} requests answered");
    assert!(answered >= MEAN_ANSWERED * count, "{answered} answered");
}
