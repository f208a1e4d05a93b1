//! Conclusions of an owner that is cut off from the store, and may have been replaced.

mod world;

use {
    oleanderstage_fleet::{Event, predecessor::End, task},
    world::{QUEUE, Store, World, name, step},
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

/// TWICE: a later owner had acknowledged the end before another worker took the address.
#[test]
fn a_cut_off_owner_takes_no_run_of_a_replaced_worker_for_over() {
    let (mut world, holder) = running();
    world.cut_off = true;
    world.worker(&holder).held.clear();
    world.worker(&holder).replaced = true;
    world.advance(CUT_MS);
    assert_eq!(world.starts(task()).len(), 1, "{:?}", world.starts(task()));
}

/// TWICE: a later owner had acknowledged the end before the worker restarted.
#[test]
fn a_cut_off_owner_does_not_settle_by_the_answer_of_a_later_life() {
    let (mut world, holder) = running();
    world.worker(&holder).unreachable = true;
    world.take_over();
    world.advance(300);
    world.cut_off = true;
    let now = world.now;
    world.worker(&holder).restart_with_new_clock(now);
    world.worker(&holder).unreachable = false;
    world.advance(4_000);
    assert_eq!(world.starts(task()).len(), 1, "{:?}", world.starts(task()));
}

/// TWICE: an owner that had never reached a worker waited for the leases of earlier owners only.
#[test]
fn a_cut_off_owner_does_not_settle_by_the_end_of_earlier_leases() {
    let (mut world, holder) = running();
    world.worker(&holder).unreachable = true;
    world.owner_end = End::Stopped { leases_over_at: world.now + 3_000 };
    world.take_over();
    world.cut_off = true;
    world.advance(CUT_MS);
    assert_eq!(world.starts(task()).len(), 1);
    world.cut_off = false;
    world.advance(1_000);
    assert_eq!(world.starts(task()).len(), 2);
}

#[test]
fn a_run_that_is_listed_again_is_kept() {
    let (mut world, holder) = running();
    world.cut_off = true;
    let held = world.worker(&holder).held.clone();
    world.worker(&holder).held.clear();
    world.advance(1_500);
    // A late copy of its start reached a new life.
    world.worker(&holder).held = held;
    world.advance(1_500);
    world.cut_off = false;
    world.advance(1_000);
    assert_eq!(world.starts(task()).len(), 1, "{:?}", world.starts(task()));
}

/// A planned start went to a life of its worker that did not know the fence of a later owner.
#[test]
fn a_planned_start_waits_until_its_worker_is_confirmed() {
    let mut world = World::new(&["w1", "w2", "w3"]);
    world.run_ms = 20_000;
    world.submit("1", QUEUE, vec![step(1, 1)]);
    world.advance(500);
    let holder = world.running(task())[0].to_owned();
    world.crash(&holder);
    world.store = Store::LosesAnswers;
    // Until the restart is planned.
    let planned = |world: &World| {
        ["w1", "w2", "w3"].into_iter().find(|id| {
            world
                .cell
                .worker(id)
                .is_some_and(|worker| worker.runs.get(&task()).is_some_and(|run| run.number > 1))
        })
    };
    let mut waited = 0;
    while planned(&world).is_none() && waited < 5_000 {
        world.advance(10);
        waited += 10;
    }
    let target = planned(&world).expect("a planned start").to_owned();
    assert_eq!(world.starts(task()).len(), 1, "not sent yet");
    world.cut_off = true;
    let now = world.now;
    world.worker(&target).restart_with_new_clock(now);
    world.drop_polls(&target);
    world.advance(10);
    let listing = world.worker(&target).listing(now);
    let worker = target.as_str().into();
    let answer = Ok(listing);
    world.handle(Event::Poll { worker, sent: now, answer });
    for _ in 0..400 {
        world.advance(10);
    }
    assert_eq!(world.starts(task()).len(), 1, "{:?}", world.starts(task()));
}

#[test]
fn a_conclusion_that_is_due_asks_for_a_confirmation() {
    let (mut world, holder) = running();
    let asked = world.confirmations_asked;
    world.cut_off = true;
    world.worker(&holder).unreachable = true;
    world.advance(3_000);
    assert_eq!(world.confirmations_asked, asked);
    world.advance(2_500);
    assert!(world.confirmations_asked > asked);
}
