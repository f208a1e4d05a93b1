//! Whole sessions of a cell against golden files: what came in, what was done.

#![allow(clippy::unwrap_used)]

mod world;

use {
    oleanderstage_core::Faults,
    std::time::Duration,
    world::{Upset, World, spec},
};

const fn seconds(seconds: u64) -> Duration {
    Duration::from_secs(seconds)
}

fn world(schedulers: usize, workers: usize) -> World {
    let mut world = World::new(7, schedulers, workers, Faults::None).traced();
    world.run(seconds(2));
    world
}

#[test]
fn a_job_runs_from_end_to_end() {
    let mut world = world(1, 2);
    world.submit(spec(3, 2, 12_000));
    world.run(seconds(20));
    insta::assert_snapshot!(world.trace);
}

#[test]
fn a_cell_is_taken_over_in_an_outage() {
    let mut world = world(2, 2);
    world.submit(spec(3, 2, 70_000));
    world.upset(seconds(2), Upset::StoreDown(seconds(40)));
    world.upset(seconds(5), Upset::KillScheduler { index: 0, span: seconds(100) });
    world.run(seconds(30));
    world.submit(spec(1, 1, 1_000));
    world.run(seconds(60));
    insta::assert_snapshot!(world.trace);
}

#[test]
fn an_owner_keeps_running_tasks_alive_in_an_outage() {
    let mut world = world(1, 1);
    world.submit(spec(2, 2, 90_000));
    world.upset(seconds(2), Upset::StoreDown(seconds(60)));
    world.run(seconds(40));
    world.submit(spec(1, 1, 1_000));
    world.run(seconds(60));
    insta::assert_snapshot!(world.trace);
}

#[test]
fn the_top_of_the_hour_evicts_and_resumes() {
    let mut world = world(1, 2);
    world.submit(spec(4, 2, 30_000));
    world.run(seconds(5));
    world.upset(seconds(0), Upset::Evict);
    world.upset(seconds(0), Upset::Evict);
    world.run(seconds(60));
    insta::assert_snapshot!(world.trace);
}

#[test]
fn a_lost_answer_of_a_write_is_read_back() {
    let mut world = world(1, 1);
    world.upset(Duration::ZERO, Upset::LoseAnswers(seconds(1)));
    world.submit(spec(1, 2, 3_000));
    world.run(seconds(20));
    insta::assert_snapshot!(world.trace);
}

#[test]
fn a_leaving_owner_hands_the_cell_over() {
    let mut world = world(2, 1);
    world.submit(spec(2, 2, 20_000));
    world.run(seconds(3));
    world.upset(Duration::ZERO, Upset::Leave { index: 0, span: seconds(30) });
    world.run(seconds(25));
    insta::assert_snapshot!(world.trace);
}
