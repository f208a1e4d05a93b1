//! Idempotency keys over several entries: random failures against the invariant that a
//! non-idempotent request runs at most once.

#![allow(clippy::unwrap_used)]

use {
    key_fleet::{Fleet, Weather},
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

/// `KEYS_SEED` and `KEYS_COUNT` choose the first seed and the number of sessions.
#[test]
fn with_faults_no_key_runs_twice() {
    let (seed, count) = (number("KEYS_SEED", 1), number("KEYS_COUNT", 40));
    let (mut answered, mut turned_away) = (0, 0);
    for seed in seed..seed + count {
        let mut fleet = Fleet::new(seed, 2 + (seed % 4) as usize, Weather::Faults);
        fleet.run(SECONDS);
        assert!(fleet.doubled().is_empty(), "seed {seed}: {:?}", fleet.doubled());
        answered += fleet.answered;
        turned_away += fleet.turned_away;
    }
    println!("{count} sessions: {answered} answered, {turned_away} turned away");
    assert!(answered > 0);
}
