//! Starts and ends of runs, and the evidence that a run is over.

mod world;

use {
    oleanderstage_fleet::{Event, State, action::Report, event::Refusal},
    std::collections::BTreeMap,
    world::{QUEUE, Store, World, name, step},
};

#[test]
fn a_job_runs_its_steps_in_order_and_completes_once_recorded() {
    let mut world = World::new(&["w1", "w2"]);
    let mut second = step(2, 1);
    second.after = vec![0];
    world.submit("1", QUEUE, vec![step(3, 1), second]);
    assert_eq!(world.starts(name("1", 0, 2)).len(), 1);
    assert!(world.starts(name("1", 1, 0)).is_empty());
    world.advance(600);
    assert_eq!(world.starts(name("1", 1, 1)).len(), 1);
    world.advance(700);
    assert_eq!(world.state("1"), State::Completed);
    assert_eq!(world.cell.job_count(), 0);
}

#[test]
fn an_end_is_acknowledged_only_after_its_record() {
    let mut world = World::new(&["w1"]);
    world.submit("1", QUEUE, vec![step(1, 1), step(1, 1)]);
    world.store = Store::Down;
    world.advance(1_500);
    assert_eq!(world.worker("w1").acknowledged, 0);
    assert_eq!(world.worker("w1").ended.len(), 2);
    world.store = Store::Up;
    world.advance(1_500);
    assert_eq!(world.worker("w1").acknowledged, 2);
    assert_eq!(world.state("1"), State::Completed);
}

#[test]
fn work_goes_on_while_the_store_is_down() {
    let mut world = World::new(&["w1"]);
    let mut second = step(1, 1);
    second.after = vec![0];
    world.store = Store::Down;
    world.submit("1", QUEUE, vec![step(1, 1), second]);
    world.advance(800);
    assert_eq!(world.starts(name("1", 1, 0)).len(), 1);
}

#[test]
fn a_commit_without_an_answer_is_made_once() {
    let mut world = World::new(&["w1"]);
    world.store = Store::LosesAnswers;
    world.submit("1", QUEUE, vec![step(1, 1)]);
    world.advance(1_000);
    let made = world.commits;
    world.store = Store::Up;
    world.advance(1_000);
    assert!(!world.lost);
    assert!(made >= 1);
    assert_eq!(world.state("1"), State::Completed);
}

#[test]
fn a_start_without_an_answer_is_found_again_and_not_repeated_elsewhere() {
    let mut world = World::new(&["w1", "w2"]);
    for id in ["w1", "w2"] {
        world.worker(id).loses_answers = true;
    }
    world.submit("1", QUEUE, vec![step(1, 1)]);
    world.advance(2_500);
    assert_eq!(world.starts(name("1", 0, 0)).len(), 1);
    assert_eq!(world.state("1"), State::Completed);
}

#[test]
fn a_silent_worker_is_proven_gone_within_its_lease_although_it_is_polled() {
    let mut world = World::new(&["w1", "w2"]);
    let mut lasting = step(1, 10);
    lasting.lasting = true;
    world.run_ms = 1_000_000;
    world.submit("1", QUEUE, vec![lasting]);
    world.advance(500);
    let first = world.starts(name("1", 0, 0))[0].0.clone();
    world.worker(&first).unreachable = true;
    world.advance(3_000);
    assert_eq!(world.starts(name("1", 0, 0)).len(), 1, "its lease still holds");
    world.advance(3_500);
    let starts = world.starts(name("1", 0, 0));
    assert_eq!(starts.len(), 2);
    assert_ne!(starts[1].0, first);
}

#[test]
fn what_ran_before_a_worker_restarted_runs_again() {
    let mut world = World::new(&["w1"]);
    world.run_ms = 5_000;
    world.submit("1", QUEUE, vec![step(1, 1)]);
    world.advance(500);
    world.worker("w1").restart();
    world.advance(2_500);
    let runs: Vec<u32> = world.starts(name("1", 0, 0)).into_iter().map(|(_, run)| run).collect();
    assert_eq!(runs, [1, 2]);
}

#[test]
fn another_worker_at_an_address_proves_the_first_one_gone() {
    let mut world = World::new(&["w1", "w2"]);
    world.run_ms = 5_000;
    world.submit("1", QUEUE, vec![step(1, 1)]);
    world.advance(500);
    let first = world.starts(name("1", 0, 0))[0].0.clone();
    world.worker(&first).held.clear();
    world.worker(&first).replaced = true;
    world.advance(1_500);
    let starts = world.starts(name("1", 0, 0));
    assert_eq!(starts.len(), 2);
    assert_ne!(starts[1].0, first);
}

#[test]
fn a_task_fails_as_often_as_its_queue_allows() {
    let mut world = World::new(&["w1", "w2"]);
    for id in ["w1", "w2"] {
        world.worker(id).fails_runs = true;
    }
    world.submit("1", QUEUE, vec![step(1, 1)]);
    world.advance(4_000);
    assert_eq!(world.starts(name("1", 0, 0)).len(), 2);
    assert_eq!(world.state("1"), State::Failed);
}

#[test]
fn a_second_attempt_goes_to_another_worker() {
    let mut world = World::new(&["w1", "w2"]);
    world.submit("1", QUEUE, vec![step(1, 1)]);
    let first = world.starts(name("1", 0, 0))[0].0.clone();
    world.worker(&first).fails_runs = true;
    world.advance(2_000);
    let starts = world.starts(name("1", 0, 0));
    assert_ne!(starts[1].0, first);
    assert_eq!(world.state("1"), State::Completed);
}

#[test]
fn a_lasting_task_starts_again_however_it_ends() {
    let mut world = World::new(&["w1"]);
    let mut lasting = step(1, 1);
    lasting.lasting = true;
    world.submit("1", QUEUE, vec![lasting]);
    world.advance(2_000);
    assert!(world.starts(name("1", 0, 0)).len() >= 3);
    assert_eq!(world.state("1"), State::Running);
}

#[test]
fn a_worker_that_fails_what_it_starts_gets_nothing_for_a_while() {
    let mut world = World::new(&["w1", "w2"]);
    world.worker("w1").fails_runs = true;
    for job in 1..=12 {
        world.submit(&job.to_string(), QUEUE, vec![step(1, 4)]);
        world.advance(300);
    }
    world.advance(2_000);
    assert!(world.worker("w1").starts.len() <= 6, "{}", world.worker("w1").starts.len());
}

#[test]
fn no_more_is_placed_on_a_worker_than_it_holds() {
    let mut world = World::new(&["w1"]);
    world.submit("1", QUEUE, vec![step(6, 5)]);
    assert_eq!(world.worker("w1").held.len(), 3);
    world.advance(600);
    assert_eq!(world.worker("w1").starts.len(), 6);
}

#[test]
fn a_step_runs_no_more_tasks_on_a_worker_than_it_allows() {
    let mut world = World::new(&["w1", "w2"]);
    let mut apart = step(4, 1);
    apart.per_worker = 1;
    world.submit("1", QUEUE, vec![apart]);
    assert_eq!(world.worker("w1").held.len(), 1);
    assert_eq!(world.worker("w2").held.len(), 1);
}

#[test]
fn a_gang_starts_whole_or_not_at_all() {
    let mut world = World::new(&["w1"]);
    let mut gang = step(4, 5);
    gang.gang = true;
    world.submit("1", QUEUE, vec![gang]);
    world.advance(200);
    assert!(world.worker("w1").starts.is_empty());
    let mut small = step(3, 5);
    small.gang = true;
    world.submit("2", QUEUE, vec![small]);
    assert_eq!(world.worker("w1").held.len(), 3);
    world.advance(800);
    assert_eq!(world.state("2"), State::Completed);
}

#[test]
fn a_refusal_for_a_lower_token_ends_the_ownership() {
    let mut world = World::new(&["w1"]);
    let event = oleanderstage_fleet::Event::Poll {
        worker: "w1".into(),
        sent: world.now,
        answer: Err(Refusal::Fenced),
    };
    world.handle(event);
    assert!(world.lost);
}

/// Soak seeds 114 and 128: a poll that was sent before a start was confirmed, but in the same
/// millisecond, did not list the run and was taken as evidence that it was over.
#[test]
fn a_poll_in_the_same_millisecond_proves_nothing_about_a_start() {
    let mut world = World::new(&["w1"]);
    world.submit("1", QUEUE, vec![step(1, 1)]);
    let event = oleanderstage_fleet::Event::Poll {
        worker: "w1".into(),
        sent: world.now,
        answer: Ok(oleanderstage_fleet::Listing {
            born: Some(0),
            clock_ms: world.now,
            complete: true,
            ..Default::default()
        }),
    };
    world.handle(event);
    assert_eq!(world.starts(name("1", 0, 0)).len(), 1);
}

/// The entries of the workers were seconds old after a takeover, and tasks started on workers that
/// had been draining all the while.
#[test]
fn an_owner_with_too_old_entries_starts_nothing_until_they_are_current() {
    let mut world = World::new(&["w1"]);
    world.handle(Event::ViewStale(true));
    world.submit("1", QUEUE, vec![step(1, 1)]);
    world.advance(1_000);
    assert!(world.starts(name("1", 0, 0)).is_empty());
    world.handle(Event::ViewStale(false));
    world.advance(20);
    assert_eq!(world.starts(name("1", 0, 0)).len(), 1);
}

/// A start was sent again for 600 ms whatever the owner had learned of the worker meanwhile.
#[test]
fn an_unanswered_start_is_not_repeated_at_a_worker_that_drains() {
    let mut world = World::new(&["w1"]);
    world.worker("w1").unreachable = true;
    world.submit("1", QUEUE, vec![step(1, 1)]);
    world.advance(50);
    world.worker("w1").draining = true;
    let members = world.members();
    world.handle(Event::Workers(members));
    world.worker("w1").unreachable = false;
    world.add_worker("w2");
    world.advance(3_000);
    let workers: Vec<String> = world.starts(name("1", 0, 0)).into_iter().map(|run| run.0).collect();
    assert_eq!(workers, ["w2"]);
}

/// The same while the owner does not know whether the worker drains.
#[test]
fn an_unanswered_start_is_not_repeated_from_too_old_entries() {
    let mut world = World::new(&["w1"]);
    world.worker("w1").unreachable = true;
    world.submit("1", QUEUE, vec![step(1, 1)]);
    world.advance(50);
    world.handle(Event::ViewStale(true));
    world.worker("w1").unreachable = false;
    world.advance(3_000);
    assert!(world.starts(name("1", 0, 0)).is_empty());
    world.handle(Event::ViewStale(false));
    world.advance(200);
    assert_eq!(world.starts(name("1", 0, 0)).len(), 1);
}

/// The owner of a cell follows the entries of its members only, so it would not notice that a
/// worker drains which was removed from the cell while a task ran there.
#[test]
fn a_worker_that_is_no_longer_a_member_gets_no_new_run() {
    let mut world = World::new(&["w1"]);
    world.submit("1", QUEUE, vec![step(1, 1)]);
    world.advance(100);
    world.handle(Event::Workers(BTreeMap::new()));
    world.submit("2", QUEUE, vec![step(1, 1)]);
    world.advance(300);
    assert_eq!(world.running(name("1", 0, 0)), ["w1"], "what runs there goes on");
    assert!(world.starts(name("2", 0, 0)).is_empty());
    world.add_worker("w2");
    world.advance(200);
    assert_eq!(world.starts(name("2", 0, 0)).len(), 1);
}

/// A worker restarted under its ID while a start was on its way. The new incarnation ran it, and the
/// next poll acknowledged its end unseen, by the number up to which the old one's ends were known.
#[test]
fn a_poll_does_not_acknowledge_ends_of_a_new_incarnation_unseen() {
    let mut world = World::new(&["w1"]);
    world.submit("1", QUEUE, vec![step(3, 1)]);
    world.advance(1_500);
    world.worker("w1").restart();
    world.submit("2", QUEUE, vec![step(1, 1)]);
    world.worker("w1").unreachable = true;
    world.advance(1_500);
    world.worker("w1").unreachable = false;
    world.advance(2_000);
    assert_eq!(world.starts(name("2", 0, 0)).len(), 1);
    assert_eq!(world.state("2"), State::Completed);
}

/// Ends of steps arrive one by one, and each took a write of the store.
#[test]
fn ends_of_steps_share_commits_and_a_finished_job_is_recorded_at_once() {
    let mut world = World::new(&["w1"]);
    for job in 0..12 {
        let mut second = step(1, 1);
        second.after = vec![0];
        world.submit(&format!("{job:x}"), QUEUE, vec![step(1, 1), second]);
        world.advance(20);
    }
    world.advance(240);
    let before = world.commits;
    world.advance(260);
    assert!(world.commits - before <= 5, "{} commits", world.commits - before);
    world.advance(320);
    assert_eq!(
        world.state("0"),
        State::Completed,
        "60 ms after the second of its two steps of 0.5 s"
    );
}

/// One job with absurd figures must not stop its cell.
#[test]
fn a_job_that_asks_for_more_than_can_be_counted_waits_and_others_run() {
    let mut world = World::new(&["w1"]);
    let mut absurd = step(20_000, 1);
    absurd.resources.processors_milli = u64::MAX;
    absurd.estimate_ms = 86_400_000;
    world.submit("1", QUEUE, vec![absurd]);
    world.submit("2", QUEUE, vec![step(1, 1)]);
    world.advance(2_000);
    assert_eq!(world.state("2"), State::Completed);
    assert!(world.starts(name("1", 0, 0)).is_empty());
}

/// The log tells that a start was sent again, for which life of the worker, and that an owner found a run that it had
/// not ordered.
#[test]
fn the_log_tells_which_life_a_start_was_for_and_which_runs_were_found() {
    let mut world = World::new(&["w1"]);
    world.worker("w1").loses_answers = true;
    world.submit("1", QUEUE, vec![step(1, 1)]);
    world.worker("w1").loses_answers = false;
    world.advance(150);
    let task = name("1", 0, 0);
    let worker: std::sync::Arc<str> = "w1".into();
    let (born, lease_ms) = (Some(0), 4_000);
    let repeated = Report::Repeated { task, run: 1, worker: worker.clone(), born, lease_ms };
    assert!(world.reports.contains(&repeated));
    world.take_over();
    world.advance(150);
    let adopted = Report::Adopted { task, run: 1, worker, born, wanted: true };
    assert!(world.reports.contains(&adopted));
}
