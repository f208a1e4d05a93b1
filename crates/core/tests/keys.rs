//! Idempotency keys over several entries: random failures against the invariant that a
//! non-idempotent request runs at most once.

#![allow(clippy::unwrap_used)]

use {
    key_fleet::{Fleet, Weather},
    quickcheck::{Gen, QuickCheck, TestResult},
    std::env,
};

mod key_fleet;

/// Seconds of each session.
const SECONDS: u64 = 90;

fn number(variable: &str, default: u64) -> u64 {
    env::var(variable).ok().and_then(|text| text.parse().ok()).unwrap_or(default)
}

#[test]
fn in_calm_every_request_is_answered_and_runs_once() {
    let mut fleet = Fleet::new(1, 4, Weather::Calm);
    fleet.run(SECONDS);
    let (answered, turned_away) = (fleet.answered, fleet.turned_away);
    assert!(fleet.doubled().is_empty());
    assert!(answered > 500 && turned_away < answered, "{answered} and {turned_away}");
}

fn session(seed: u64) -> TestResult {
    let mut fleet = Fleet::new(seed, 2 + (seed % 4) as usize, Weather::Faults);
    fleet.run(SECONDS);
    if fleet.doubled().is_empty() && fleet.answered > 0 {
        return TestResult::passed();
    }
    TestResult::error(format!("{} answered, doubled: {:?}", fleet.answered, fleet.doubled()))
}

/// `KEYS_SEED` and `KEYS_COUNT` choose the generator's seed and the number of sessions.
#[test]
fn with_faults_no_key_runs_twice() {
    QuickCheck::new()
        .tests(number("KEYS_COUNT", 40))
        .rng(Gen::from_size_and_seed(100, number("KEYS_SEED", 1)))
        .quickcheck(session as fn(u64) -> TestResult);
}
