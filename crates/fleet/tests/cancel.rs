//! Cancellation of jobs.

mod world;

use {
    oleanderstage_fleet::State,
    world::{QUEUE, Store, World, id, name, step},
};

#[test]
fn a_cancelled_job_stops_and_starts_nothing_more() {
    let mut world = World::new(&["w1"]);
    world.run_ms = 5_000;
    world.submit("1", QUEUE, vec![step(20, 1)]);
    world.advance(200);
    assert_eq!(world.worker("w1").held.len(), 16);
    world.cancel("1");
    world.advance(500);
    assert!(world.worker("w1").held.is_empty());
    assert_eq!(world.worker("w1").starts.len(), 16);
    assert_eq!(world.state("1"), State::Cancelled);
    assert!(!world.records.contains_key(&(0, id("1"))));
}

#[test]
fn a_cancellation_that_the_owner_has_not_seen_wins_over_its_record() {
    let mut world = World::new(&["w1"]);
    world.submit("1", QUEUE, vec![step(1, 1)]);
    world.advance(300);
    world.revision += 1;
    let revision = world.revision;
    let entry = world.tickets.get_mut(&id("1")).expect("a ticket");
    entry.0.state = State::Cancelled;
    entry.1 = revision;
    world.advance(2_000);
    assert_eq!(world.state("1"), State::Cancelled);
    assert_eq!(world.cell.jobs(), 0);
}

#[test]
fn a_start_without_an_answer_is_fenced_off_when_its_job_is_cancelled() {
    let mut world = World::new(&["w1"]);
    world.run_ms = 60_000;
    world.worker("w1").loses_answers = true;
    world.submit("1", QUEUE, vec![step(1, 1)]);
    world.cancel("1");
    world.advance(300);
    assert!(world.worker("w1").held.is_empty());
    assert_eq!(world.worker("w1").last_ended.get(&name("1", 0, 0)), Some(&1));
}

#[test]
fn what_runs_for_a_job_that_is_over_is_stopped_by_a_new_owner() {
    let mut world = World::new(&["w1"]);
    world.run_ms = 60_000;
    world.submit("1", QUEUE, vec![step(1, 1)]);
    world.advance(300);
    world.store = Store::Up;
    world.records.clear();
    world.tickets.get_mut(&id("1")).expect("a ticket").0.state = State::Cancelled;
    world.take_over();
    world.advance(1_500);
    assert!(world.running(name("1", 0, 0)).is_empty());
}
