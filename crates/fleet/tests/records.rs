//! What an owner's records tell its successor, and those of other cells.

mod world;

use {
    oleanderstage_fleet::{Event, Head, Step, inventory::Inventory, task},
    world::{QUEUE, Store, World, id, name, step},
};

fn task() -> task::Name {
    name("1", 0, 0)
}

/// The head of cell 1, which has room.
fn roomy() -> Head {
    Head {
        cell: 1,
        total_milli: 64_000,
        free_milli: 32_000,
        largest_milli: 16_000,
        ..Head::default()
    }
}

/// TWICE: the commit of a split leaves out the job's progress, and its ends are acknowledged all the same. The
/// next owner starts a task again that has ended `done`. The job has a step that lasts and one that ends.
#[test]
fn an_end_that_is_committed_with_a_split_is_recorded() {
    let mut world = World::new(&["w1"]);
    world.run_ms = 600_000;
    let lasting = Step { lasting: true, ..step(3, 6) };
    world.submit("1", QUEUE, vec![step(1, 1), lasting]);
    world.advance(300);
    assert_eq!(world.starts(task()).len(), 1);
    world.handle(Event::Heads { heads: vec![(roomy(), 9)], owners: 1 });
    world.store = Store::Down;
    world.submit("2", QUEUE, vec![step(1, 1)]);
    // The split is planned, and the task ends, while an earlier commit waits for the store.
    world.advance(1_000);
    world.worker("w1").held.get_mut(&task()).expect("the run").remaining_ms = 10;
    world.advance(300);
    world.store = Store::Up;
    world.advance(1_000);
    assert!(world.records.contains_key(&(1, id("1"))), "the job is split");
    let worker = world.worker("w1");
    assert_eq!((worker.done.len(), worker.acknowledged), (1, 1), "the end is acknowledged");
    world.take_over();
    world.advance(2_000);
    assert_eq!(world.starts(task()).len(), 1, "it has ended `done`");
}

/// TWICE: the same without an outage, wherever the end falls around the split.
#[test]
fn an_end_around_a_split_is_recorded_whenever_it_comes() {
    let mut lost = Vec::new();
    for end_at in (600..1_400).step_by(10) {
        let mut world = World::new(&["w1"]);
        world.run_ms = 600_000;
        let lasting = Step { lasting: true, ..step(3, 6) };
        world.submit("1", QUEUE, vec![step(1, 1), lasting]);
        world.advance(300);
        world.handle(Event::Heads { heads: vec![(roomy(), 9)], owners: 1 });
        world.worker("w1").held.get_mut(&task()).expect("the run").remaining_ms = end_at;
        world.advance(2_500);
        assert_eq!(world.worker("w1").acknowledged, 1);
        world.take_over();
        world.advance(2_000);
        if world.starts(task()).len() > 1 {
            lost.push(end_at);
        }
    }
    assert!(lost.is_empty(), "started again after `done`, for ends at {lost:?} ms");
}

/// The numbers of a task's runs rise, also where an owner has started it more often than numbers are kept free
/// for it. A lower one is refused as `old` by the worker of the earlier runs.
#[test]
fn numbers_rise_across_owners_however_often_a_task_was_started() {
    let mut world = World::new(&["w1"]);
    world.run_ms = 10;
    world.submit("1", QUEUE, vec![Step { lasting: true, ..step(1, 1) }]);
    world.advance(10_000);
    let highest = world.starts(task()).iter().map(|(_, run)| *run).max().expect("a start");
    let refused = |world: &World| {
        let old = |report: &&oleanderstage_fleet::action::Report| {
            format!("{report:?}").contains("reason: Old")
        };
        world.reports.iter().filter(old).count()
    };
    let before = refused(&world);
    world.take_over();
    let taken_at = world.now;
    while world.starts(task()).iter().all(|(_, run)| *run <= highest)
        && world.now < taken_at + 20_000
    {
        world.advance(10);
    }
    let away_ms = world.now - taken_at;
    assert_eq!(refused(&world) - before, 0, "refused as old; highest {highest}, away {away_ms} ms");
}

/// LOST: a job is moved away by a commit without an answer, and comes back before the answer of its repetition.
/// Its record in the store is then one that its owner doesn't know.
#[test]
fn a_job_that_comes_back_before_the_answer_to_its_move_is_known() {
    let mut world = World::new(&["w1"]);
    world.advance(700);
    let step = Step { label: Some("r9".into()), ..step(1, 1) };
    world.submit("1", QUEUE, vec![step]);
    world.advance(100);
    let record = world.records[&(0, id("1"))].clone();
    let mut other = world.members().remove("w1").flatten().expect("an entry");
    other.labels = vec!["a".into(), "r9".into()];
    let head = Head { inventory: Some(Inventory::new([&other])), ..roomy() };
    world.store = Store::LosesAnswers;
    let mut revision = 9;
    while !world.records.contains_key(&(1, id("1"))) {
        revision += 1;
        assert!(revision < 400, "it is not moved");
        world.handle(Event::Heads {
            heads: vec![(world.head.0.clone(), revision), (head.clone(), revision)],
            owners: 1,
        });
        world.advance(10);
    }
    assert!(world.cell.job(&id("1")).is_some(), "the answer is lost");
    // Cell 1 moves it back at once.
    world.accept(id("1"), record);
    world.store = Store::Up;
    world.advance(1_000);
    assert!(world.records.contains_key(&(0, id("1"))));
    assert!(
        world.cell.job(&id("1")).is_some(),
        "its record is in the store, and its owner doesn't know it"
    );
}

/// LOST: a start waited for a commit that held all changes. Where more came than a commit holds, none did, and the start
/// was never ordered.
#[test]
fn starts_that_a_commit_records_wait_for_no_other_changes() {
    let mut world = World::new(&["w1", "w2", "w3", "w4"]);
    world.run_ms = 600_000;
    world.store = Store::Down;
    for job in 0..40 {
        world.submit(&job.to_string(), QUEUE, vec![Step { lasting: true, ..step(1, 1) }]);
    }
    world.advance(300);
    let runs = |world: &World| {
        let task = |job: &i32| name(&job.to_string(), 0, 0);
        (0..40).filter(|job| !world.running(task(job)).is_empty()).count()
    };
    assert_eq!(runs(&world), 0, "no start is recorded");
    // The commit of the first job, and one that holds as many as fit.
    let commits = world.commits;
    world.store = Store::Up;
    while world.commits < commits + 2 {
        world.advance(10);
    }
    world.store = Store::Down;
    world.advance(100);
    let started = runs(&world);
    assert!((2..40).contains(&started), "{started}");
}

/// LOST: an owner with more changes than its commits hold took seconds until it came to that of a lasting task.
#[test]
fn starts_of_lasting_tasks_are_recorded_before_other_changes() {
    let mut world = World::new(&["w1", "w2", "w3", "w4", "w5", "w6", "w7", "w8"]);
    world.run_ms = 600_000;
    world.store = Store::Down;
    for job in 0..100 {
        world.submit(&format!("a{job}"), QUEUE, vec![step(1, 1)]);
    }
    world.advance(300);
    world.submit("1", QUEUE, vec![Step { lasting: true, ..step(1, 1) }]);
    world.advance(100);
    assert_eq!(world.running(task()), [] as [&str; 0], "its start is not recorded");
    // The commit that is on its way, and the next one.
    let commits = world.commits;
    world.store = Store::Up;
    while world.commits < commits + 2 {
        world.advance(10);
    }
    world.store = Store::Down;
    world.advance(100);
    assert_eq!(world.running(task()).len(), 1);
}
