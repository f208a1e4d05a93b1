//! Jobs that no worker can hold, or that wait for long for a worker that can, beside jobs that could start.

mod world;

use {
    oleanderstage_core::resources::Resources,
    oleanderstage_fleet::{Event, Inventory, Registration, State, Step, action::Report},
    world::{QUEUE, World, filling, name, serving, step},
};

/// Jobs that can't start: more than the searches after which a placement pass ends.
const STUCK_JOBS: usize = 60;

/// Returns a step that asks for an accelerator, which no worker has.
fn accelerated() -> Step {
    let plain = step(1, 1);
    Step { resources: Resources { accelerators: 1, ..plain.resources }, ..plain }
}

/// Submits jobs that can't start, each with a step of another size. `prefix` begins their IDs.
fn submit_stuck(world: &mut World, prefix: &str, queue: &str, stuck: &Step) {
    for number in 0..STUCK_JOBS {
        let milli = stuck.resources.processors_milli + number as u64 * 10;
        let resources = Resources { processors_milli: milli, ..stuck.resources };
        let step = Step { resources, ..stuck.clone() };
        world.submit(&format!("{prefix}{number}"), queue, vec![step]);
    }
}

/// Asserts that a small job of a queue is done soon although jobs like this one can't start.
fn assert_holds_up_nothing(stuck_queue: &str, stuck: &Step, queue: &str, small: Step) {
    let mut world = World::new(&["w1", "w2"]);
    submit_stuck(&mut world, "a", stuck_queue, stuck);
    world.advance(100);
    world.submit("1", queue, vec![small]);
    world.advance(3_000);
    assert_eq!(world.state("1"), State::Completed, "behind {stuck:?}");
    for number in 0..STUCK_JOBS {
        assert_eq!(world.state(&format!("a{number}")), State::Queued);
    }
}

/// LOST: jobs that ask for what no worker has kept all jobs of lower priority from starting.
#[test]
fn jobs_that_no_worker_can_hold_hold_up_no_queue_of_lower_priority() {
    assert_holds_up_nothing(QUEUE, &accelerated(), "render", step(1, 1));
    assert_holds_up_nothing(QUEUE, &step(1, 17), "render", step(1, 1));
    let memory = Resources { memory_mib: 70_000, ..step(1, 1).resources };
    assert_holds_up_nothing(QUEUE, &Step { resources: memory, ..step(1, 1) }, "render", step(1, 1));
    let label = Some("nowhere".into());
    assert_holds_up_nothing(QUEUE, &Step { label, ..step(1, 1) }, "render", step(1, 1));
    let gang = Step { gang: true, per_worker: 1, ..step(3, 1) };
    assert_holds_up_nothing(QUEUE, &gang, "render", step(1, 1));
}

/// LOST: the same within a queue: lasting jobs are never late, and go before all that are.
#[test]
fn lasting_jobs_that_no_worker_can_hold_hold_up_no_late_job() {
    let lasting = Step { lasting: true, ..accelerated() };
    assert_holds_up_nothing(QUEUE, &lasting, QUEUE, Step { estimate_ms: 1, ..step(1, 1) });
}

/// LOST: filling jobs that no worker can hold held up the jobs of the same image that could start.
#[test]
fn filling_jobs_that_no_worker_can_hold_hold_up_none_of_their_image() {
    let label = Some("nowhere".into());
    let stuck = Step { label, ..filling(1, "bulk") };
    assert_holds_up_nothing("render", &stuck, "render", filling(1, "bulk"));
    let memory = Resources { memory_mib: 70_000, ..stuck.resources };
    let stuck = Step { resources: memory, ..filling(1, "bulk") };
    assert_holds_up_nothing("render", &stuck, "render", filling(1, "bulk"));
}

/// LOST: one worker with a label is full for minutes; what waits for it kept jobs from the idle one.
#[test]
fn jobs_that_wait_for_a_busy_worker_hold_up_none_that_others_can_hold() {
    let mut world = World::new(&["w1", "w2"]);
    world.worker("w2").rack = 1;
    let members = world.members();
    world.handle(Event::Workers(members));
    world.run_ms = 60_000;
    let only_there = Step { label: Some("r2".into()), ..step(1, 16) };
    world.submit("f", QUEUE, vec![Step { lasting: true, ..only_there.clone() }]);
    world.advance(300);
    submit_stuck(&mut world, "a", QUEUE, &Step { label: Some("r2".into()), ..step(1, 1) });
    world.advance(100);
    world.run_ms = 500;
    world.submit("1", "render", vec![step(1, 1)]);
    world.advance(3_000);
    assert_eq!(world.state("1"), State::Completed);
}

/// LOST: large tasks that fit on no worker for long kept small ones of lower priority from the room left.
#[test]
fn large_tasks_without_room_hold_up_no_small_ones_for_good() {
    let mut world = World::new(&["w1", "w2"]);
    world.run_ms = 60_000;
    world.submit("f", QUEUE, vec![Step { lasting: true, per_worker: 1, ..step(2, 4) }]);
    world.advance(300);
    let large = |number: usize| Step {
        // No one of them is as small as another in every respect.
        resources: Resources {
            accelerators: 0,
            memory_mib: 30_000 - number as u64 * 100,
            processors_milli: 13_000 + number as u64 * 10,
        },
        ..step(1, 1)
    };
    for number in 0..4 * STUCK_JOBS {
        world.submit(&format!("b{number}"), QUEUE, vec![large(number)]);
    }
    world.advance(100);
    world.run_ms = 500;
    world.submit("1", "render", vec![step(1, 1)]);
    world.advance(7_000);
    assert_eq!(world.state("1"), State::Completed);
}

/// A job that waits for a worker which can hold it starts once there is one.
#[test]
fn a_job_that_no_worker_could_hold_starts_when_one_comes() {
    let mut world = World::new(&["w1"]);
    world.submit("1", QUEUE, vec![step(1, 17)]);
    world.advance(2_000);
    assert!(world.starts(name("1", 0, 0)).is_empty());
    let capacity = Resources { processors_milli: 32_000, ..step(1, 1).resources };
    world.workers.insert(
        "w2".into(),
        world::Worker { capacity: Some(capacity), ..world::Worker::default() },
    );
    let members = world.members();
    world.handle(Event::Workers(members));
    world.advance(1_000);
    assert_eq!(world.state("1"), State::Completed);
}

/// Steps that no worker can hold are told once, with what they ask for.
#[test]
fn a_step_that_no_worker_can_hold_is_reported_once() {
    let mut world = World::new(&["w1"]);
    world.submit("1", QUEUE, vec![accelerated()]);
    world.advance(3_000);
    let unheld = |report: &&Report| matches!(report, Report::Unheld { .. });
    assert_eq!(world.reports.iter().filter(unheld).count(), 1);
}

/// What can't start is no load: it kept callers from a cell with room, and lasting jobs from theirs.
#[test]
fn jobs_that_no_worker_can_hold_are_no_load() {
    let mut world = World::new(&["w1"]);
    submit_stuck(&mut world, "a", QUEUE, &accelerated());
    let elsewhere = Step { label: Some("nowhere".into()), ..filling(1, "bulk") };
    submit_stuck(&mut world, "b", "render", &elsewhere);
    world.advance(2_000);
    let head = &world.head.0;
    assert!(head.backlog.values().all(|work| *work == 0), "{:?}", head.backlog);
    assert!(head.throughput.values().all(|entry| entry.backlog == 0), "{:?}", head.throughput);
    let usage = world.reports.iter().rev().find_map(|report| match report {
        Report::Usage(usage) => Some(*usage),
        _ => None,
    });
    assert!(usage.is_some_and(|usage| usage.unheld_tasks == 2 * STUCK_JOBS));
}

/// A worker that doesn't answer for a moment is no reason to give up on what only it can hold.
#[test]
fn a_worker_that_is_silent_for_a_moment_still_counts() {
    let mut world = World::new(&["w1", "w2"]);
    world.worker("w2").rack = 1;
    let members = world.members();
    world.handle(Event::Workers(members));
    world.advance(300);
    world.worker("w2").unreachable = true;
    world.advance(2_000);
    world.submit("1", QUEUE, vec![Step { label: Some("r2".into()), ..step(1, 1) }]);
    world.advance(500);
    let unheld = |report: &Report| matches!(report, Report::Unheld { .. });
    assert!(!world.reports.iter().any(unheld));
    world.advance(4_000);
    assert!(world.reports.iter().any(unheld), "it has been silent for long");
    world.worker("w2").unreachable = false;
    world.advance(2_500);
    assert_eq!(world.state("1"), State::Completed);
}

fn entry(labels: &[&str], capacity: Resources) -> Registration {
    Registration {
        address: "10.0.0.1:1".into(),
        born: None,
        capacity,
        draining: false,
        labels: labels.iter().map(|label| (*label).to_owned()).collect(),
        remaining_ms: None,
        service: "desk".into(),
        zone: String::new(),
    }
}

#[test]
fn an_inventory_answers_for_everything_that_a_step_asks_for() {
    let large = Resources { accelerators: 2, memory_mib: 65_536, processors_milli: 16_000 };
    let small = Resources { accelerators: 0, ..large };
    let entries = [entry(&["a", "r1"], large), entry(&["b", "r1"], small), entry(&["b"], small)];
    let inventory = Inventory::new(&entries);
    let holds = |step: &Step| inventory.holds("desk", step);
    assert!(holds(&step(1, 16)) && !holds(&step(1, 17)));
    assert!(!inventory.holds("other", &step(1, 1)));
    assert!(holds(&accelerated()));
    assert!(!holds(&Step { label: Some("b".into()), ..accelerated() }), "on one worker");
    let gang = |count, per_worker| Step { gang: true, per_worker, ..step(count, 4) };
    assert!(holds(&gang(12, 0)) && !holds(&gang(13, 0)));
    assert!(holds(&gang(3, 1)) && !holds(&gang(4, 1)));
    assert!(!holds(&Step { label: Some("b".into()), ..gang(9, 0) }));
    assert!(holds(&Step { per_worker: 1, ..step(100, 4) }), "they need not run at the same time");
    let filling = Step { fills: true, ..step(1, 17) };
    assert!(holds(&filling), "it reserves no processors");
    assert!(holds(&serving(1, "feed")));
}
