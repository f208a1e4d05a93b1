//! A new owner of a cell.

mod world;

use {
    oleanderstage_fleet::{Event, Head, State, action::Report},
    world::{QUEUE, Store, World, id, name, step},
};

#[test]
fn a_new_owner_adopts_what_runs() {
    let mut world = World::new(&["w1", "w2"]);
    world.run_ms = 3_000;
    world.submit("1", QUEUE, vec![step(4, 1)]);
    world.pass(500);
    world.take_over();
    world.pass(4_000);
    assert_eq!(world.starts(name("1", 0, 0)).len(), 1);
    assert_eq!(world.state("1"), State::Completed);
}

#[test]
fn a_new_owner_starts_nothing_that_a_worker_it_has_not_heard_may_run() {
    let mut world = World::new(&["w1", "w2"]);
    world.run_ms = 60_000;
    world.submit("1", QUEUE, vec![step(1, 1)]);
    world.pass(300);
    let holder = world.starts(name("1", 0, 0))[0].0.clone();
    world.worker(&holder).dark = true;
    world.take_over();
    world.pass(5_000);
    assert_eq!(world.starts(name("1", 0, 0)).len(), 1);
    world.pass(5_500);
    assert_eq!(world.starts(name("1", 0, 0)).len(), 2, "every lease has run out");
}

#[test]
fn a_job_accepted_under_a_new_owner_need_not_wait_for_a_silent_worker() {
    let mut world = World::new(&["w1", "w2"]);
    world.worker("w1").dark = true;
    world.take_over();
    world.pass(200);
    world.submit("2", QUEUE, vec![step(1, 1)]);
    world.pass(800);
    assert_eq!(world.state("2"), State::Completed);
}

#[test]
fn an_end_that_no_owner_recorded_is_taken_in_by_the_next() {
    let mut world = World::new(&["w1"]);
    world.submit("1", QUEUE, vec![step(1, 1)]);
    world.store = Store::Down;
    world.pass(800);
    world.store = Store::Up;
    world.take_over();
    world.pass(1_000);
    assert_eq!(world.starts(name("1", 0, 0)).len(), 1);
    assert_eq!(world.state("1"), State::Completed);
}

#[test]
fn a_failure_counts_once_across_owners() {
    let mut world = World::new(&["w1"]);
    world.worker("w1").fails_all = true;
    world.submit("1", QUEUE, vec![step(1, 1)]);
    world.pass(520);
    world.worker("w1").fails_all = false;
    world.take_over();
    world.pass(3_000);
    assert_eq!(world.state("1"), State::Completed);
}

#[test]
fn a_new_owner_uses_run_numbers_that_no_earlier_one_did() {
    let mut world = World::new(&["w1"]);
    world.run_ms = 60_000;
    world.submit("1", QUEUE, vec![step(1, 1)]);
    world.pass(100);
    world.worker("w1").bear();
    world.take_over();
    world.pass(500);
    let runs: Vec<u32> = world.starts(name("1", 0, 0)).into_iter().map(|(_, run)| run).collect();
    assert!(runs.len() == 2 && runs[1] > runs[0] + 16, "{runs:?}");
}

/// A done task known only from its worker's list, in a job that looked as if it had not begun, was
/// passed on to another cell without that end, and ran there again.
#[test]
fn a_job_with_an_end_is_not_passed_on_as_new() {
    let mut world = World::new(&["w1"]);
    let mut second = step(1, 17);
    // Its other step finds no room here.
    second.after = vec![0];
    world.submit("1", QUEUE, vec![step(1, 1), second]);
    world.store = Store::Down;
    world.pass(600);
    world.take_over();
    let idle = Head { cell: 1, total_milli: 64_000, free_milli: 64_000, ..Head::default() };
    let busy =
        Head { cell: 0, total_milli: 1_000, backlog: [(0, 900_000)].into(), ..Head::default() };
    world.handle(Event::Board(vec![(idle, 50), (busy, 50)]));
    world.pass(900);
    world.store = Store::Up;
    world.pass(2_000);
    assert!(!world.reports.iter().any(|report| matches!(report, Report::Moved { .. })));
    assert_eq!(world.starts(name("1", 0, 0)).len(), 1);
    assert!(world.cell.job(&id("1")).is_some());
}

#[test]
fn an_owner_whose_head_was_replaced_is_lost() {
    let mut world = World::new(&["w1"]);
    world.head.1 += 1;
    world.head.0.owner = "vm-9".into();
    world.submit("1", QUEUE, vec![step(1, 1)]);
    world.pass(1_000);
    assert!(world.lost);
}

/// Soak seed 223: the owner's entry was gone, no commit was under way, and the owner went on: it
/// started a job that its successor started too.
#[test]
fn an_owner_whose_entry_is_gone_is_lost_at_once() {
    let mut world = World::new(&["w1"]);
    world.pass(600);
    world.handle(Event::Lost);
    assert!(world.lost);
    world.submit("1", QUEUE, vec![step(1, 1)]);
    assert!(world.worker("w1").starts.is_empty());
}

#[test]
fn a_leaving_owner_starts_nothing_more_and_gets_quiet() {
    let mut world = World::new(&["w1"]);
    world.handle(Event::Leaving);
    world.submit("1", QUEUE, vec![step(1, 1)]);
    world.pass(500);
    assert!(world.worker("w1").starts.is_empty());
    assert!(world.cell.is_quiet());
}

/// A watch whose history was dropped reads the records anew; that read may be older than the
/// commit that removed a job, which then ran again from its start.
#[test]
fn a_record_read_before_its_removal_does_not_bring_a_job_back() {
    let mut world = World::new(&["w1"]);
    world.submit("1", QUEUE, vec![step(1, 1)]);
    let record = world.records[&(0, id("1"))].clone();
    let revision = world.revision;
    world.pass(1_000);
    assert_eq!(world.state("1"), State::Completed);
    world.handle(Event::Accepted { id: id("1"), record, revision });
    world.pass(1_000);
    assert_eq!(world.starts(name("1", 0, 0)).len(), 1);
    assert_eq!(world.cell.jobs(), 0);
}
