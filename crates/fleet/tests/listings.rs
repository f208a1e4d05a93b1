//! Workers that have more ends to list than one listing holds.

mod world;

use {
    oleanderstage_fleet::{Event, Listing, State, Step, predecessor::End},
    world::{QUEUE, Store, World, name, step},
};

/// The tasks of the job, which all run at one worker, and how many ends a listing holds.
const TASKS: u16 = 16;
const LIMIT: usize = 5;

/// Returns a cell of one worker that runs the job's tasks while the store is down.
fn outage() -> World {
    let mut world = World::new(&["w1"]);
    world.worker("w1").ends_per_listing = LIMIT;
    world.submit("1", QUEUE, vec![step(TASKS, 1)]);
    world.advance(200);
    world.store = Store::Down;
    world.advance(1_500);
    assert_eq!(world.worker("w1").ended.len(), usize::from(TASKS));
    world
}

fn assert_each_ran_once(world: &World) {
    for index in 0..TASKS {
        assert_eq!(world.starts(name("1", 0, index)).len(), 1, "task {index}");
    }
    assert_eq!(world.state("1"), State::Completed);
}

/// TWICE: tasks whose ends did not fit into the listing of their worker were started again. The ends fill
/// three listings, and part of a fourth.
#[test]
fn tasks_whose_ends_are_not_listed_yet_do_not_run_again() {
    let mut world = outage();
    world.advance(5_000);
    world.store = Store::Up;
    world.advance(3_000);
    assert_each_ran_once(&world);
}

/// TWICE: a new owner started the tasks again whose ends were in a later listing.
#[test]
fn a_new_owner_starts_nothing_again_before_all_ends_are_listed() {
    let mut world = outage();
    world.store = Store::Up;
    world.owner_end = End::Stopped { leases_over_at: world.now };
    world.take_over();
    world.advance(3_000);
    assert_each_ran_once(&world);
}

/// TWICE: the same beside an outage that outlasts the leases of earlier owners.
#[test]
fn a_new_owner_waits_for_all_ends_however_long_the_store_is_down() {
    let mut world = outage();
    world.take_over();
    world.advance(15_000);
    world.store = Store::Up;
    world.advance(3_000);
    assert_each_ran_once(&world);
}

/// LOST: a worker that falls silent while it has ends to list is waited for until its lease is over.
#[test]
fn tasks_of_a_worker_that_falls_silent_before_it_has_listed_all_start_again() {
    let mut world = outage();
    world.add_worker("w2");
    world.take_over();
    world.advance(200);
    world.worker("w1").unreachable = true;
    world.advance(1_500);
    world.store = Store::Up;
    world.advance(2_000);
    let last = name("1", 0, TASKS - 1);
    assert_eq!(world.starts(last).len(), 1, "its lease may last");
    world.advance(10_000);
    assert_eq!(world.starts(last).len(), 2);
    assert_eq!(world.state("1"), State::Completed);
}

/// TWICE: a task that had ended before the order to stop it came, which the listing did not hold yet, was
/// started again.
#[test]
fn a_stopped_run_whose_end_is_not_listed_yet_is_not_over() {
    let mut world = World::new(&["w1", "w2"]);
    world.run_ms = 60_000;
    let lasting = Step { lasting: true, ..step(1, 1) };
    world.submit("1", QUEUE, vec![lasting]);
    world.advance(500);
    let holder = world.starts(name("1", 0, 0))[0].0.clone();
    world.worker(&holder).draining = true;
    world.worker(&holder).stops_slowly = true;
    let members = world.members();
    world.handle(Event::Workers(members));
    world.advance(300);
    world.now += 10;
    let listing =
        |complete| Listing { born: Some(0), clock_ms: world.now, complete, ..Listing::default() };
    let (partial, whole) = (listing(false), listing(true));
    let poll = |listing| Event::Poll {
        worker: holder.as_str().into(),
        sent: world.now,
        answer: Ok(listing),
    };
    let (partial, whole) = (poll(partial), poll(whole));
    world.handle(partial);
    assert_eq!(world.starts(name("1", 0, 0)).len(), 1);
    world.handle(whole);
    assert_eq!(world.starts(name("1", 0, 0)).len(), 2);
}

/// Ends that have not been listed are not acknowledged either.
#[test]
fn only_listed_ends_are_acknowledged() {
    let mut world = outage();
    world.store = Store::Up;
    while world.commits == 0 {
        world.advance(10);
    }
    world.advance(10);
    assert!(world.worker("w1").acknowledged <= LIMIT as u64);
    world.advance(3_000);
    assert_eq!(world.worker("w1").acknowledged, u64::from(TASKS));
}

/// TWICE: the store held that a worker has no runs, before it held all of their ends. A new owner did not
/// wait for the worker's list.
#[test]
fn a_worker_whose_ends_are_not_recorded_is_not_left_out_by_the_next_owner() {
    let mut world = World::new(&["w1", "w2"]);
    world.cores = 64;
    let members = world.members();
    world.handle(Event::Workers(members));
    // More jobs than one commit takes.
    let jobs: Vec<String> = (0..40).map(|number| format!("a{number}")).collect();
    for job in &jobs {
        world.submit(job, QUEUE, vec![step(1, 1), Step { after: vec![0], ..step(1, 1) }]);
    }
    world.advance(200);
    world.store = Store::Down;
    for worker in ["w1", "w2"] {
        world.worker(worker).draining = true;
    }
    let members = world.members();
    world.handle(Event::Workers(members));
    world.advance(1_500);
    world.store = Store::Up;
    while world.commits == 0 || world.progress.is_empty() {
        world.advance(10);
    }
    assert!(world.progress.len() < jobs.len(), "the first of several commits");
    world.add_worker("w3");
    for worker in ["w1", "w2"] {
        world.worker(worker).unreachable = true;
    }
    world.owner_end = End::Stopped { leases_over_at: world.now };
    world.take_over();
    world.advance(1_000);
    for worker in ["w1", "w2"] {
        world.worker(worker).unreachable = false;
    }
    world.advance(4_000);
    for job in &jobs {
        assert_eq!(world.starts(name(job, 0, 0)).len(), 1, "{job}");
        assert_eq!(world.state(job), State::Completed, "{job}");
    }
}
