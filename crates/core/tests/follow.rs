//! Distribution of the configuration over a fleet, in virtual time.

#![allow(clippy::unwrap_used)]

mod fleet;

use {
    fleet::{Fleet, accepted},
    oleanderstage_core::{
        Instant, Name,
        follow::{Action, Answer, Event, MAX_IN_FORCE_DELAY, Machine, Reading, WATCHERS},
    },
    quickcheck::{Arbitrary, Gen, QuickCheck},
    std::time::Duration,
};

const MINUTE: Duration = Duration::from_secs(60);
const SECOND: Duration = Duration::from_secs(1);

fn settled(size: usize, revision: u64) -> Fleet {
    let mut fleet = Fleet::new(size, 7);
    fleet.store(revision);
    fleet.run(SECOND * 10);
    fleet
}

/// Asserts that all live processes have `revision`, and applied it within `MAX_IN_FORCE_DELAY` of
/// `since`.
fn assert_in_force(fleet: &Fleet, revision: u64, since: Instant) {
    for (index, process) in fleet.processes.iter().enumerate().filter(|(_, p)| p.alive) {
        assert_eq!(fleet.revision(index), Some(revision), "entry-{index}");
        let (at, _) = process.applied.last().unwrap();
        assert!(at.since(since) <= MAX_IN_FORCE_DELAY, "entry-{index} took {:?}", at.since(since));
    }
}

#[test]
fn a_change_is_in_force_everywhere_in_time() {
    for size in [1, 2, 7, 300] {
        let mut fleet = settled(size, 1);
        for revision in 2..12 {
            let since = fleet.now;
            fleet.store(revision);
            fleet.run(MAX_IN_FORCE_DELAY + Duration::from_millis(37));
            assert_in_force(&fleet, revision, since);
        }
    }
}

#[test]
fn reads_do_not_grow_with_the_fleet() {
    let mut counts = vec![];
    for size in [7, 300] {
        let mut fleet = settled(size, 1);
        let (reads, calls) = (fleet.reads, fleet.peer_calls);
        fleet.run(MINUTE * 10);
        let (reads, calls) = (fleet.reads - reads, fleet.peer_calls - calls);
        assert!(reads <= 600 * WATCHERS as u64, "{reads} reads");
        assert!(calls <= 600 * size as u64 * 6 / 5, "{calls} calls");
        counts.push(format!("{size} processes, 10 min: {reads} reads, {calls} calls to peers"));
    }
    insta::with_settings!({ omit_expression => true }, {
        insta::assert_snapshot!(counts.join("\n"));
    });
}

#[test]
fn dead_watchers_are_replaced_in_time() {
    for size in [7, 300] {
        let mut fleet = settled(size, 1);
        for index in fleet.watchers().into_iter().take(2) {
            fleet.processes[index].alive = false;
        }
        let since = fleet.now;
        fleet.store(2);
        fleet.run(MINUTE);
        assert_in_force(&fleet, 2, since);
        for index in fleet.watchers() {
            fleet.processes[index].alive = false;
        }
        fleet.run(MINUTE);
        assert_eq!(fleet.watchers().len(), WATCHERS.min(size - 5));
        let since = fleet.now;
        fleet.store(3);
        fleet.run(MINUTE);
        assert_in_force(&fleet, 3, since);
    }
}

#[test]
fn a_side_that_is_cut_off_keeps_what_it_has_and_catches_up() {
    let mut fleet = settled(40, 1);
    fleet.processes.iter_mut().step_by(4).for_each(|process| process.side = 1);
    fleet.run(MINUTE);
    fleet.store(2);
    fleet.run(MINUTE);
    let behind = (0..40).filter(|index| fleet.revision(*index) == Some(1)).count();
    assert_eq!(behind, 10);
    fleet.processes.iter_mut().for_each(|process| process.side = 0);
    fleet.run(MINUTE);
    assert!((0..40).all(|index| fleet.revision(index) == Some(2)));
}

#[test]
fn a_fresh_process_takes_the_newest_from_peers_in_an_outage() {
    let mut fleet = settled(7, 5);
    fleet.store_up = false;
    let watchers = fleet.watchers();
    for index in watchers {
        fleet.restart(index);
    }
    fleet.run(MAX_IN_FORCE_DELAY);
    assert!((0..7).all(|index| fleet.revision(index) == Some(5)));
}

#[test]
fn a_fleet_that_starts_in_an_outage_has_nothing_and_does_not_stampede() {
    let mut fleet = Fleet::new(300, 7);
    fleet.store(5);
    fleet.store_up = false;
    fleet.run(MINUTE * 5);
    assert!((0..300).all(|index| fleet.revision(index).is_none()));
    assert!(fleet.reads <= 300 * WATCHERS as u64, "{} reads", fleet.reads);
    let (reads, since) = (fleet.reads, fleet.now);
    fleet.store_up = true;
    fleet.run(MAX_IN_FORCE_DELAY);
    assert_in_force(&fleet, 5, since);
    assert!(fleet.reads - reads <= 6 * WATCHERS as u64);
}

#[test]
fn an_older_or_rival_revision_is_refused_from_anybody() {
    let name = |text: &str| Name::try_from(text).unwrap();
    let mut machine = Machine::new(&name("a"), &[name("b")]);
    let mut lines = vec![];
    let mut rival = accepted(5);
    rival.submission = "rival".into();
    let events = [
        Event::Tick,
        Event::Reading(Reading::Found(accepted(5))),
        Event::Reading(Reading::Found(accepted(4))),
        Event::Answer { answer: Answer::Newer(accepted(3)), peer: name("b") },
        Event::Answer { answer: Answer::Newer(rival), peer: name("b") },
        Event::Reading(Reading::Nothing),
        Event::Reading(Reading::Found(accepted(6))),
    ];
    for event in events {
        lines.push(serde_json::to_string(&event).unwrap());
        for action in machine.handle(Instant::default(), event) {
            lines.push(format!("    {}", serde_json::to_string(&action).unwrap()));
        }
    }
    insta::with_settings!({ omit_expression => true }, {
        insta::assert_snapshot!(lines.join("\n"));
    });
}

/// A step of a random scenario with seven processes.
#[derive(Clone, Debug)]
enum Step {
    CutOff(usize),
    Kill(usize),
    SetLoss(u32),
    Heal,
    StoreOlder(u64),
    Outage(bool),
    Restart(usize),
    Submit,
    Wait(u64),
}

impl Arbitrary for Step {
    fn arbitrary(source: &mut Gen) -> Self {
        let index = usize::arbitrary(source) % 7;
        match u8::arbitrary(source) % 12 {
            0 => Self::CutOff(index),
            1 => Self::Kill(index),
            2 => Self::SetLoss(u32::arbitrary(source) % 600),
            3 => Self::Heal,
            4 => Self::StoreOlder(u64::arbitrary(source) % 3 + 1),
            5 => Self::Outage(bool::arbitrary(source)),
            6 => Self::Restart(index),
            7 | 8 => Self::Submit,
            _ => Self::Wait(u64::arbitrary(source) % 8_000),
        }
    }
}

fn apply(fleet: &mut Fleet, step: &Step, newest: &mut u64) {
    match *step {
        Step::CutOff(index) => fleet.processes[index].side = 1,
        Step::Kill(index) => fleet.processes[index].alive = false,
        Step::SetLoss(milli) => fleet.loss_milli = milli,
        Step::Heal => {
            fleet.loss_milli = 0;
            fleet.processes.iter_mut().for_each(|process| process.side = 0);
        }
        Step::StoreOlder(back) => fleet.store(newest.saturating_sub(back).max(1)),
        Step::Outage(down) => fleet.store_up = !down,
        Step::Restart(index) => fleet.restart(index),
        Step::Submit => {
            *newest += 1;
            fleet.store(*newest);
        }
        Step::Wait(milliseconds) => fleet.run(Duration::from_millis(milliseconds)),
    }
}

#[test]
fn the_revision_never_falls_and_reaches_all_in_the_end() {
    fn holds(seed: u64, steps: Vec<Step>) -> bool {
        let mut fleet = Fleet::new(7, seed);
        let mut newest = 1;
        fleet.store(1);
        for step in &steps {
            apply(&mut fleet, step, &mut newest);
        }
        apply(&mut fleet, &Step::Heal, &mut newest);
        apply(&mut fleet, &Step::Outage(false), &mut newest);
        apply(&mut fleet, &Step::Submit, &mut newest);
        fleet.run(MINUTE * 2);
        let is_increasing = |p: &fleet::Process| p.applied.windows(2).all(|w| w[0].1 < w[1].1);
        let caught_up =
            |index: usize| !fleet.processes[index].alive || fleet.revision(index) == Some(newest);
        fleet.processes.iter().all(is_increasing) && (0..7).all(caught_up)
    }
    let random = Gen::from_size_and_seed(60, 20_261_203);
    QuickCheck::new().rng(random).tests(300).quickcheck(holds as fn(u64, Vec<Step>) -> bool);
}

#[test]
fn a_process_without_peers_reads_the_key_value_service() {
    let actions = Machine::without_peers().handle(Instant::default(), Event::Tick);
    assert_eq!(actions, [Action::Read]);
}
