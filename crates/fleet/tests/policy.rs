//! Mechanisms that are switched off by name, and the use of a cell that its owner reports.

mod world;

use {
    oleanderstage_fleet::{Policy, Step, Usage, action::Report},
    world::{QUEUE, World, filling, step},
};

#[test]
fn mechanisms_are_switched_off_by_name() {
    let expected = Policy { moves: false, waves: false, ..Policy::default() };
    assert_eq!("waves, moves".parse(), Ok(expected));
    assert_eq!("".parse(), Ok(Policy::default()));
}

#[test]
fn an_unknown_mechanism_is_named() {
    let error = "moves,magic".parse::<Policy>().expect_err("no such mechanism");
    assert_eq!(error.to_string(), "no mechanism is called `magic`");
}

#[test]
fn the_use_of_a_cell_tells_what_runs_and_what_waits() {
    let mut world = World::new(&["w1"]);
    world.run_ms = 60_000;
    world.submit("1", QUEUE, vec![Step { lasting: true, ..step(2, 4) }]);
    world.submit("2", "render", vec![filling(1, "bulk")]);
    world.submit("3", QUEUE, vec![step(4, 4)]);
    world.advance(2_500);
    let usage = world.reports.iter().rev().find_map(|report| match report {
        Report::Usage(usage) => Some(*usage),
        _ => None,
    });
    let submissions = world.records.values().map(|record| &record.submission);
    let held_bytes =
        submissions.map(|submission| submission.job_footprint_bytes()).sum::<usize>() as u64;
    let expected = Usage {
        begun_jobs: 2,
        delayed_jobs: 0,
        filling_milli: 2_000,
        filling_tasks: 1,
        held_bytes,
        largest_active: 2,
        largest_tasks: 2,
        lasting_active: 2,
        lasting_limit_milli: 11_200,
        lasting_milli: 8_000,
        lasting_tasks: 2,
        late_jobs: 2,
        longest_delay_ms: 0,
        over_target: 0,
        overtaken_jobs: 0,
        paced_milli: 2_000,
        reserved_milli: 16_000,
        serving_tasks: 0,
        total_milli: 16_000,
        unheld_tasks: 0,
        waiting_jobs: 0,
        waiting_filling_milli: 0,
        waiting_milli: 8_000,
        waiting_lasting_milli: 0,
    };
    assert_eq!(usage, Some(expected));
}
