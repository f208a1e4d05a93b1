//! The load of serving jobs, from noisy measurements of their tasks.

#![allow(clippy::unwrap_used)]

use {
    oleanderstage_fleet::Load,
    rand::{Rng, SeedableRng},
};

/// Standard deviation of the contention that one measurement shows.
const NOISE: f64 = 0.05;
const TASKS: u64 = 14;
const POLL_MS: u64 = 400;
/// The margin between the contention allowed and that of a tail at its target.
const MARGIN: f64 = 1.0 - 1.0 / 4.5 - 0.735;

/// Returns a wave with a period in seconds, at a time in milliseconds.
fn wave(period_s: f64, at: u64) -> f64 {
    0.42 + 0.21 * (at as f64 / 1_000.0 / period_s * std::f64::consts::TAU).sin()
}

/// Follows a wave for 20 s. Returns the share of the polls after which the wave was above its forecast
/// by more than the margin within 800 ms, for the filter and for a task's own last measurement.
fn exceeded(period_s: f64, seed: u64) -> (f64, f64) {
    let mut random = rand_pcg::Pcg64Mcg::seed_from_u64(seed);
    let mut load = Load::default();
    let (mut polls, mut by_filter, mut by_last) = (0.0, 0.0, 0.0);
    for poll in 0..(20_000 / POLL_MS) * TASKS {
        let now = 1_000 + poll * POLL_MS / TASKS;
        let measured = wave(period_s, now - 250) + random.random_range(-1.7..1.7) * NOISE;
        load.observe(now, measured, 0.0, 0.0);
        if now > 3_000 {
            let highest = wave(period_s, now).max(wave(period_s, now + 800));
            polls += 1.0;
            by_filter += f64::from(highest > load.highest(now, now + 800) + MARGIN);
            by_last += f64::from(highest > measured + MARGIN);
        }
    }
    (by_filter / polls, by_last / polls)
}

/// A task's own last measurement is too low for a quarter of the time and more: its load rises until the next one.
#[test]
fn waves_of_ten_and_fourteen_seconds_are_forecast() {
    for period_s in [10.0, 14.0] {
        let shares: Vec<(f64, f64)> = (0..20).map(|seed| exceeded(period_s, seed)).collect();
        let mean = |sum: f64| sum / shares.len() as f64;
        let by_filter = mean(shares.iter().map(|share| share.0).sum());
        let by_last = mean(shares.iter().map(|share| share.1).sum());
        assert!(by_filter < 0.05, "period {period_s} s: {by_filter}");
        assert!(by_last > 0.25, "period {period_s} s: {by_last}");
    }
}

/// A tenth of the workers ran five times slower, and tails there were far over their target.
#[test]
fn measurements_of_slow_workers_are_left_out() {
    let mut load = Load::default();
    for poll in 0..100 {
        let now = 1_000 + poll * 50;
        let contention = if poll % 10 == 9 { 0.99 } else { 0.4 };
        let measured = load.observe(now, contention, 0.0, 0.0);
        assert_eq!(measured.is_none(), poll % 10 == 9);
    }
    assert!((load.highest(6_000, 6_000) - 0.4).abs() < 0.03);
}

/// Not every load comes in waves.
#[test]
fn a_constant_load_is_not_expected_to_fall() {
    let mut load = Load::default();
    for poll in 0..60 {
        load.observe(1_000 + 400 * poll, 0.6, 0.0, 0.0);
    }
    assert!(load.highest(25_000, 25_800) > 0.6 - MARGIN);
}

#[test]
fn an_unknown_load_is_taken_for_its_peak() {
    let mut load = Load::default();
    assert!(load.highest(1_000, 1_000) > 0.6);
    for poll in 0..20 {
        load.observe(1_000 + 50 * poll, 0.25, 0.0, 0.0);
    }
    assert!(load.highest(2_000, 2_000) < 0.3);
    assert!(load.highest(2_000, 7_500) > 0.55, "it may peak by then");
}
