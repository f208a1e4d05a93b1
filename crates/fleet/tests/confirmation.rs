//! Conclusions of an owner that is cut off from the store, and may have been replaced.

mod world;

use {
    oleanderstage_fleet::task,
    world::{QUEUE, World, name, step},
};

/// Longer than a worker's lease, and shorter than an owner goes on without the store, in milliseconds.
const CUT_MS: u64 = 5_000;

fn task() -> task::Name {
    name("1", 0, 0)
}

/// Returns a cell of two workers, and the one that runs the task.
fn running() -> (World, String) {
    let mut world = World::new(&["w1", "w2"]);
    world.run_ms = 20_000;
    world.submit("1", QUEUE, vec![step(1, 1)]);
    world.advance(500);
    let holder = world.running(task())[0].to_owned();
    (world, holder)
}

/// TWICE: a later owner had renewed the lease.
#[test]
fn a_cut_off_owner_takes_no_lease_for_over() {
    let (mut world, holder) = running();
    world.cut_off = true;
    world.worker(&holder).unreachable = true;
    world.advance(CUT_MS);
    assert_eq!(world.starts(task()).len(), 1);
    world.cut_off = false;
    world.advance(1_000);
    assert_eq!(world.starts(task()).len(), 2);
}

/// TWICE: a later owner had acknowledged the end.
#[test]
fn a_cut_off_owner_takes_no_unlisted_run_for_over() {
    let (mut world, holder) = running();
    world.cut_off = true;
    world.worker(&holder).held.clear();
    world.advance(CUT_MS);
    assert_eq!(world.starts(task()).len(), 1);
    world.cut_off = false;
    world.advance(1_000);
    assert_eq!(world.starts(task()).len(), 2);
}

/// TWICE: the new life did not know the fence of a later owner, which its last life had answered.
#[test]
fn a_worker_that_restarts_while_its_owner_is_cut_off_gets_no_run() {
    let mut world = World::new(&["w1"]);
    world.cut_off = true;
    let now = world.now;
    world.worker("w1").restart_with_new_clock(now);
    world.advance(1_500);
    world.submit("1", QUEUE, vec![step(1, 1)]);
    world.advance(CUT_MS);
    assert_eq!(world.starts(task()), []);
    world.cut_off = false;
    world.advance(500);
    assert_eq!(world.starts(task()).len(), 1);
}
