//! Workers that answer nobody, and work on until their lease is over.

mod world;

use {
    oleanderstage_fleet::Event,
    world::{QUEUE, World, name, step},
};

/// Returns a cell of two workers and the one of them that runs the task of job 1, which drains.
fn draining_holder() -> (World, String) {
    let mut world = World::new(&["w1", "w2"]);
    world.run_ms = 60_000;
    world.submit("1", QUEUE, vec![step(1, 1)]);
    world.advance(1_000);
    let holder = world.running(name("1", 0, 0))[0].to_owned();
    world.worker(&holder).draining = true;
    let members = world.members();
    world.handle(Event::Workers(members));
    world.advance(1_000);
    (world, holder)
}

/// Removes a worker's entry, as the store does once it has been silent for three heartbeats.
fn remove_entry(world: &mut World, id: &str) {
    world.worker(id).gone = true;
    let members = world.members();
    world.handle(Event::Workers(members));
}

/// Advances the time, and returns whether the task of job 1 ever ran at two workers.
fn runs_twice(world: &mut World, ms: u64) -> bool {
    (0..ms / 10).any(|_| {
        world.advance(10);
        world.running(name("1", 0, 0)).len() > 1
    })
}

/// TWICE: tasks of a draining worker that was cut off ran at another one while its lease lasted.
#[test]
fn a_draining_worker_without_an_entry_may_work_until_its_lease_is_over() {
    let (mut world, holder) = draining_holder();
    world.worker(&holder).unreachable = true;
    world.advance(2_900);
    remove_entry(&mut world, &holder);
    assert!(!runs_twice(&mut world, 4_000));
    assert_eq!(world.starts(name("1", 0, 0)).len(), 2, "the lease is over");
}

/// TWICE: the same for a worker that answers the owner, but whose way to the store is cut.
#[test]
fn a_draining_worker_that_loses_its_entry_first_may_work_until_its_lease_is_over() {
    let (mut world, holder) = draining_holder();
    remove_entry(&mut world, &holder);
    assert!(!runs_twice(&mut world, 3_000));
    assert_eq!(world.starts(name("1", 0, 0)).len(), 1, "it is still polled");
    world.worker(&holder).unreachable = true;
    assert!(!runs_twice(&mut world, 6_000));
    assert_eq!(world.starts(name("1", 0, 0)).len(), 2, "the lease is over");
}
