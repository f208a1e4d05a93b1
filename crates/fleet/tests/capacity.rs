//! Workers whose capacity shrinks and grows while they run, and that reject nothing.

mod world;

use {
    oleanderstage_core::resources::Resources,
    oleanderstage_fleet::Event,
    rand::{Rng, SeedableRng},
    rand_pcg::Pcg64Mcg,
    world::{QUEUE, Store, World, name, step},
};

fn cores(count: u64) -> Option<Resources> {
    Some(Resources { accelerators: 0, memory_mib: 65_536, processors_milli: count * 1_000 })
}

fn resize(world: &mut World, worker: &str, count: u64) {
    world.worker(worker).capacity = cores(count);
    let members = world.members();
    world.handle(Event::Workers(members));
}

#[test]
fn a_shrunk_worker_gets_no_task_until_it_has_room_again() {
    let mut world = World::new(&["w1"]);
    world.run_ms = 1_000;
    world.submit("1", QUEUE, vec![step(8, 2)]);
    world.advance(200);
    resize(&mut world, "w1", 5);
    world.submit("2", QUEUE, vec![step(4, 2)]);
    world.advance(700);
    assert!(world.starts(name("2", 0, 0)).is_empty(), "16 cores are in use, 5 are left");
    world.advance(600);
    assert_eq!(world.worker("w1").held.len(), 2, "two of the four fit");
    resize(&mut world, "w1", 16);
    world.advance(100);
    assert_eq!(world.worker("w1").held.len(), 4);
}

/// The start waited for the store while the worker shrank.
#[test]
fn a_planned_start_is_dropped_when_its_worker_shrinks() {
    let mut world = World::new(&["w1", "w2", "w3"]);
    world.crashing.insert(name("1", 0, 0), 10);
    world.submit("1", QUEUE, vec![step(1, 2)]);
    while world.crashes.len() < 2 {
        world.advance(10);
    }
    world.advance(1_000);
    world.store = Store::Down;
    world.advance(5_000);
    for id in ["w1", "w2", "w3"] {
        resize(&mut world, id, 1);
    }
    world.store = Store::Up;
    world.advance(2_000);
    assert_eq!(world.starts(name("1", 0, 0)).len(), 2, "one core is left");
}

/// The runs of a job that is over are stopped by a new owner, which does not know what they hold.
#[test]
fn a_worker_with_runs_of_unknown_size_gets_no_task() {
    let mut world = World::new(&["w1"]);
    world.run_ms = 60_000;
    world.submit("1", QUEUE, vec![step(8, 2)]);
    world.advance(200);
    world.records.clear();
    world.tickets.clear();
    world.worker("w1").stops_slowly = true;
    world.take_over();
    world.submit("2", QUEUE, vec![step(4, 2)]);
    world.advance(300);
    assert!(world.starts(name("2", 0, 0)).is_empty(), "16 cores are still in use");
    world.worker("w1").stops_slowly = false;
    world.worker("w1").held.clear();
    world.advance(2_500);
    assert_eq!(world.starts(name("2", 0, 0)).len(), 1);
}

/// Starts never bring a worker over what it has said of itself, through random changes and owners.
#[test]
fn no_start_brings_a_worker_over_its_capacity() {
    for seed in 0..60 {
        let mut random = Pcg64Mcg::seed_from_u64(seed);
        let mut world = World::new(&["w1", "w2", "w3", "w4"]);
        world.run_ms = 900;
        for number in 0..40 {
            let width = random.random_range(1..9);
            world.submit(&format!("{number}"), QUEUE, vec![step(width, random.random_range(1..5))]);
            let id = format!("w{}", random.random_range(1..5));
            resize(&mut world, &id, random.random_range(0..17));
            match random.random_range(0..12) {
                0 => world.take_over(),
                1 => world.store = Store::LosesAnswers,
                2 => world.store = Store::Up,
                3 => world.worker(&id).loses_answers = true,
                4 => world.worker(&id).loses_answers = false,
                _ => {}
            }
            world.advance(random.random_range(1..30) * 10);
        }
        assert_eq!(world.overloads, Vec::<String>::new(), "seed {seed}");
    }
}
