//! Traces of whole sessions of a cell, events and actions, compared with snapshots.

#![allow(clippy::unwrap_used)]

mod world;

use {
    oleanderstage_core::{
        Faults, Holder, Instant, Owner, cell, journal,
        owner::{Action, Event, Note},
        sealed,
        store::{Reply, Request, Value},
    },
    std::time::Duration,
    world::{Incident, World, cell_id, name, spec},
};

const fn seconds(seconds: u64) -> Duration {
    Duration::from_secs(seconds)
}

fn world(schedulers: usize, workers: usize) -> World {
    let mut world = World::new(7, schedulers, workers, Faults::None).with_trace();
    world.run(seconds(2));
    world
}

#[test]
fn a_job_runs_from_end_to_end() {
    let mut world = world(1, 2);
    world.submit(spec(3, 2, 12_000));
    world.run(seconds(20));
    insta::assert_snapshot!(world.trace);
}

#[test]
fn a_cell_is_taken_over_in_an_outage() {
    let mut world = world(2, 2);
    world.submit(spec(3, 2, 70_000));
    world.schedule(seconds(2), Incident::StoreDown(seconds(40)));
    world.schedule(seconds(5), Incident::KillScheduler { index: 0, span: seconds(100) });
    world.run(seconds(30));
    world.submit(spec(1, 1, 1_000));
    world.run(seconds(60));
    insta::assert_snapshot!(world.trace);
}

#[test]
fn an_owner_keeps_running_tasks_alive_in_an_outage() {
    let mut world = world(1, 1);
    world.submit(spec(2, 2, 90_000));
    world.schedule(seconds(2), Incident::StoreDown(seconds(60)));
    world.run(seconds(40));
    world.submit(spec(1, 1, 1_000));
    world.run(seconds(60));
    insta::assert_snapshot!(world.trace);
}

#[test]
fn evicted_tasks_resume_from_their_checkpoints() {
    let mut world = world(1, 2);
    world.submit(spec(4, 2, 30_000));
    world.run(seconds(5));
    world.schedule(seconds(0), Incident::Evict);
    world.schedule(seconds(0), Incident::Evict);
    world.run(seconds(60));
    insta::assert_snapshot!(world.trace);
}

#[test]
fn a_lost_answer_of_a_write_is_read_back() {
    let mut world = world(1, 1);
    world.schedule(Duration::ZERO, Incident::LoseAnswers(seconds(1)));
    world.submit(spec(1, 2, 3_000));
    world.run(seconds(20));
    insta::assert_snapshot!(world.trace);
}

#[test]
fn a_leaving_owner_hands_the_cell_over() {
    let mut world = world(2, 1);
    world.submit(spec(2, 2, 20_000));
    world.run(seconds(3));
    world.schedule(Duration::ZERO, Incident::Leave { index: 0, span: seconds(30) });
    world.run(seconds(25));
    insta::assert_snapshot!(world.trace);
}

#[test]
fn a_task_of_a_worker_out_of_reach_starts_elsewhere_after_its_lease() {
    let mut world = world(1, 2);
    world.submit(spec(2, 3, 50_000));
    world.run(seconds(2));
    world.schedule(Duration::ZERO, Incident::CutWorker { vm: 0, span: seconds(60) });
    world.run(seconds(90));
    insta::assert_snapshot!(world.trace);
}

#[test]
fn a_task_of_a_dead_vm_starts_elsewhere_after_a_takeover() {
    let mut world = world(2, 2);
    world.submit(spec(2, 3, 300_000));
    world.run(seconds(2));
    world.schedule(Duration::ZERO, Incident::KillWorker(0));
    world.schedule(Duration::ZERO, Incident::KillScheduler { index: 0, span: seconds(600) });
    world.run(seconds(145));
    insta::assert_snapshot!(world.trace);
}

#[test]
fn a_worker_that_fails_everything_is_shut_out_and_the_job_ends() {
    let mut world = world(1, 3);
    world.workers[0].fails_every_run = true;
    let id = world.submit(spec(12, 1, 3_000));
    world.run(seconds(25));
    assert_eq!(world.status(&id).unwrap().state, oleanderstage_core::job::State::Finished);
    insta::assert_snapshot!(world.trace);
}

#[test]
fn a_damaged_value_is_refused_and_named() {
    let mut world = world(2, 1);
    world.submit(spec(1, 1, 2_000));
    world.run(seconds(6));
    let group = "oleanderstage/cells/kigali-1.0/journal/0000000000000002";
    world.store.keys.get_mut(group).unwrap().0[20] ^= 1;
    world.schedule(Duration::ZERO, Incident::KillScheduler { index: 0, span: seconds(600) });
    world.run(seconds(20));
    insta::assert_snapshot!(world.trace);
}

#[test]
fn a_leaving_vm_is_vacated_by_checkpoints() {
    let mut world = world(1, 2);
    world.submit(spec(2, 2, 30_000));
    world.run(seconds(3));
    world.workers[1].leaving = true;
    world.run(seconds(45));
    insta::assert_snapshot!(world.trace);
}

/// Passes the owner a reply of the store to `call`, and returns its actions.
fn reply(owner: &mut Owner, now: Instant, call: u64, reply: Reply) -> Vec<Action> {
    owner.handle(now, Event::Store { call, reply })
}

#[test]
fn a_claim_that_was_confirmed_too_late_is_given_up() {
    let mut holder =
        Holder { epoch: cell::Epoch(0), incarnation: 1, scheduler: name("scheduler-0") };
    let mut owner = Owner::new(cell_id(), holder.clone(), 0, Faults::None).unwrap();
    let configured = Event::Configured { config: Default::default(), vms: [].into() };
    let at = Instant::from_millis;
    owner.handle(at(0), configured);
    owner.handle(at(1_000), Event::Tick);
    reply(&mut owner, at(1_000), 1, Reply::Values(Vec::new()));
    reply(&mut owner, at(1_000), 2, Reply::Granted(7));
    reply(&mut owner, at(9_000), 3, Reply::Doubt);
    owner.handle(at(9_800), Event::Tick);
    holder.epoch = cell::Epoch(1);
    let own = Value { bytes: sealed::seal(&holder), key: journal::owner_key(&cell_id()) };
    let actions = reply(&mut owner, at(9_900), 4, Reply::Values(vec![own]));
    assert_eq!(actions.last(), Some(&Action::Note(Note::Lost)));
    let later = (10..60).flat_map(|second| owner.handle(at(second * 1_000), Event::Tick));
    let is_keep_alive =
        |action: &Action| matches!(action, Action::Store { request: Request::KeepAlive(_), .. });
    assert_eq!(later.filter(is_keep_alive).count(), 0);
}
