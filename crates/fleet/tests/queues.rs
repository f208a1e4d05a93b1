//! Jobs whose queue their owner doesn't know yet, or no longer.

#![allow(clippy::unwrap_used)]

mod world;

use {
    oleanderstage_fleet::{
        Event, Progress, Queue, State, Step, Submission, job, listing::EndReason, task,
    },
    std::sync::Arc,
    world::{QUEUE, World, config, id, name, queue, step},
};

/// The queue that a later version of the configuration adds.
const LATE: &str = "late";

/// Returns a cell whose owner has version 1 of the configuration, which lacks the late queue.
fn behind() -> World {
    World::new(&["w1", "w2"])
}

fn late_queue(version: u64) -> Queue {
    Queue { version, ..queue(LATE, 0) }
}

/// Sends the owner a version of the configuration, which later owners start with.
fn configure(world: &mut World, version: u64, queues: Vec<Queue>) {
    world.config = config(version, queues);
    world.handle(Event::Configured(world.config.clone()));
}

fn add_late_queue(world: &mut World) {
    configure(world, 2, vec![queue(QUEUE, 0), queue("render", 2), late_queue(2)]);
}

/// Accepts a job of one task, whose record has this declaration of its queue.
fn accept(world: &mut World, job: &str, declared: Option<Queue>) {
    let submission =
        Submission { spec: "work".into(), steps: vec![step(1, 1)], ..Submission::default() };
    let record = job::Record {
        accepted_at_ms: 1_700_000_000_000 + world.now,
        begun: false,
        crashes: Vec::new(),
        declared: declared.map(Arc::new),
        last_run: 0,
        progress: None,
        queue: LATE.into(),
        submission,
        tasks: None,
        ticket: None,
        unstarted: Default::default(),
    };
    world.accept(id(job), record);
}

/// Returns a cell that an owner without any configuration has taken while a task of the late queue runs.
fn taken_without_configuration() -> World {
    let mut world = behind();
    world.run_ms = 1_000;
    add_late_queue(&mut world);
    accept(&mut world, "1", None);
    world.advance(200);
    assert_eq!(world.starts(name("1", 0, 0)).len(), 1);
    world.config = config(0, Vec::new());
    world.take_over();
    world.advance(100);
    world
}

/// LOST: jobs of a route that their owner learned of later than they were accepted never started.
#[test]
fn a_job_starts_once_its_owner_knows_the_queue() {
    let mut world = behind();
    accept(&mut world, "1", None);
    world.advance(500);
    assert!(world.starts(name("1", 0, 0)).is_empty());
    add_late_queue(&mut world);
    world.advance(1_000);
    assert_eq!(world.state("1"), State::Completed);
}

/// LOST: the same jobs don't wait for the configuration either, which may come seconds later.
#[test]
fn a_job_brings_the_declaration_of_its_queue_along() {
    let mut world = behind();
    accept(&mut world, "1", Some(late_queue(2)));
    world.advance(1_000);
    assert_eq!(world.state("1"), State::Completed);
}

/// LOST: accepted jobs of a removed route never started under the next owner.
#[test]
fn jobs_of_a_removed_queue_start_under_the_next_owner() {
    let mut world = behind();
    world.run_ms = 60_000;
    add_late_queue(&mut world);
    world.submit("f", QUEUE, vec![step(2, 16)]);
    accept(&mut world, "1", Some(late_queue(2)));
    world.advance(500);
    configure(&mut world, 3, vec![queue(QUEUE, 0)]);
    world.take_over();
    world.advance(500);
    assert!(world.starts(name("1", 0, 0)).is_empty(), "there is no room yet");
    world.cancel("f");
    world.advance(1_000);
    assert_eq!(world.starts(name("1", 0, 0)).len(), 1);
}

/// LOST: jobs of an owner that took its cell before it had any configuration never started.
#[test]
fn jobs_start_once_an_owner_without_configuration_has_one() {
    let mut world = behind();
    world.config = config(0, Vec::new());
    world.take_over();
    world.advance(500);
    world.submit("1", QUEUE, vec![step(1, 1)]);
    world.advance(500);
    assert!(world.starts(name("1", 0, 0)).is_empty());
    configure(&mut world, 1, vec![queue(QUEUE, 0)]);
    world.advance(1_000);
    assert_eq!(world.state("1"), State::Completed);
}

/// LOST: such an owner failed a job at the first failed run, although its queue allows more.
#[test]
fn a_failed_run_is_followed_by_another_although_the_queue_was_not_known() {
    let mut world = taken_without_configuration();
    fail_run(&mut world, name("1", 0, 0));
    world.advance(500);
    assert_eq!(world.state("1"), State::Running);
    add_late_queue(&mut world);
    world.advance(1_500);
    assert_eq!(world.starts(name("1", 0, 0)).len(), 2);
    assert_eq!(world.state("1"), State::Completed);
}

/// BUDGET: failures of that time count as well once the queue is known.
#[test]
fn failures_before_the_queue_was_known_use_up_attempts() {
    let mut world = taken_without_configuration();
    fail_run(&mut world, name("1", 0, 0));
    world.advance(500);
    configure(&mut world, 2, vec![Queue { max_attempts: 1, ..late_queue(2) }]);
    world.advance(1_500);
    assert_eq!(world.starts(name("1", 0, 0)).len(), 1);
    assert_eq!(world.state("1"), State::Failed);
}

/// LOST: jobs kept the service and the priority that were in force when their owner first saw them.
#[test]
fn waiting_jobs_follow_a_changed_queue() {
    let mut world = behind();
    world.run_ms = 200;
    let elsewhere = Queue { service: "other".into(), priority: 3, ..late_queue(2) };
    configure(&mut world, 2, vec![queue(QUEUE, 0), queue("render", 2), elsewhere]);
    accept(&mut world, "1", None);
    world.submit("2", "render", vec![step(2, 16)]);
    world.submit("3", "render", vec![step(2, 16)]);
    world.advance(100);
    configure(&mut world, 3, vec![queue(QUEUE, 0), queue("render", 2), late_queue(3)]);
    world.advance(250);
    assert_eq!(world.starts(name("1", 0, 0)).len(), 1, "before what is less urgent now");
    assert!(world.starts(name("3", 0, 1)).is_empty());
    world.advance(2_000);
    assert_eq!(world.state("1"), State::Completed);
    assert_eq!(world.state("3"), State::Completed);
}

/// AVAIL: a lasting task left its draining worker for others of a service that its queue no longer names.
#[test]
fn a_lasting_task_leaves_a_draining_worker_for_the_service_of_its_queue() {
    for service in ["desk", "other"] {
        let mut world = World::new(&["w1", "w2", "w3"]);
        world.run_ms = 60_000;
        world.worker("w3").service = "other";
        let members = world.members();
        world.handle(Event::Workers(members));
        world.submit("1", QUEUE, vec![Step { lasting: true, ..step(1, 1) }]);
        world.advance(500);
        let old = world.running(name("1", 0, 0))[0].to_owned();
        let other = if old == "w1" { "w2" } else { "w1" };
        let changed = Queue { service: service.into(), ..queue(QUEUE, 0) };
        configure(&mut world, 2, vec![changed]);
        for worker in [old.as_str(), if service == "desk" { "w3" } else { other }] {
            world.worker(worker).draining = true;
        }
        let members = world.members();
        world.handle(Event::Workers(members));
        world.advance(2_000);
        let expected = if service == "desk" { other } else { "w3" };
        assert_eq!(world.running(name("1", 0, 0)), [expected], "{service}");
    }
}

/// CONFIG: a declaration in a record doesn't undo a later version of the configuration.
#[test]
fn the_newest_declaration_counts() {
    let mut world = behind();
    configure(&mut world, 3, vec![late_queue(3)]);
    let older = Queue { service: "other".into(), ..late_queue(2) };
    accept(&mut world, "1", Some(older));
    world.advance(1_000);
    assert_eq!(world.state("1"), State::Completed);
}

/// A job that moves takes along what its owner knows of its queue.
#[test]
fn a_moved_job_takes_the_declaration_of_its_queue_along() {
    let mut world = behind();
    world.run_ms = 60_000;
    world.submit("f", QUEUE, vec![step(2, 16)]);
    add_late_queue(&mut world);
    accept(&mut world, "1", None);
    let busy = oleanderstage_fleet::Head {
        cell: 0,
        backlog: [(0, 900_000)].into(),
        total_milli: 32_000,
        ..Default::default()
    };
    let free = oleanderstage_fleet::Head {
        cell: 1,
        free_milli: 64_000,
        largest_milli: 16_000,
        total_milli: 64_000,
        ..Default::default()
    };
    world.handle(Event::Heads { heads: vec![(busy, 90), (free, 90)], owners: 2 });
    world.advance(1_200);
    let moved = &world.records[&(1, id("1"))];
    assert_eq!(moved.declared.as_deref(), Some(&late_queue(2)));
}

/// Records of earlier versions of this program have no declaration.
#[test]
fn records_without_a_declaration_are_read() {
    let text = r#"{"accepted_at_ms":1,"queue":"late","submission":{"spec":"s","steps":[]}}"#;
    let record: job::Record = serde_json::from_str(text).unwrap();
    assert_eq!(record.declared, None);
    let job = oleanderstage_fleet::Job::new(
        record,
        &Progress::default(),
        Queue::undeclared(LATE).into(),
        1,
    );
    assert!(!job.is_exhausted());
}

/// Ends the run of a task as failed, at the worker that holds it.
fn fail_run(world: &mut World, task: task::Name) {
    let id = world.running(task).first().map(|id| (*id).to_owned()).unwrap();
    let worker = world.worker(&id);
    let run = worker.held.remove(&task).unwrap().run;
    worker.end(task, run, EndReason::Failed, String::new());
}
