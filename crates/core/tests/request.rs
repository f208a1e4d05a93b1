//! State machine of an urgent request: fixed sessions against snapshots, random ones against the
//! invariants. Also the validation of state charts and the shares of entries.

#![allow(clippy::unwrap_used)]

use {
    oleanderstage_core::{
        Name,
        chart::Chart,
        request::{Action, Attempt, Event, Id, Machine, State},
        share::Share,
    },
    quickcheck::{Arbitrary, Gen},
    serde::Deserialize,
    std::fmt::Write,
};

const OWN: Id = Id(1);
const OTHER: Id = Id(2);

struct Session {
    machine: Machine,
    text: String,
}

impl Session {
    fn new(idempotent: bool) -> Self {
        Self { machine: Machine::new(OWN, idempotent), text: String::new() }
    }

    fn take(mut self, event: Event) -> Self {
        let action = self.machine.handle(event);
        let state = self.machine.state();
        writeln!(self.text, "{event:?} -> {action:?}, {state:?}").unwrap();
        self
    }

    fn picked(self) -> Self {
        self.take(Event::Picked)
    }

    fn answered(self, attempt: u32, request: Id) -> Self {
        self.take(Event::Answered { attempt: Attempt(attempt), request: Some(request) })
    }
}

#[test]
fn a_refused_attempt_is_followed_by_one_that_answers() {
    let session = Session::new(false)
        .picked()
        .take(Event::NotRun { attempt: Attempt(1) })
        .take(Event::Retry)
        .picked()
        .answered(2, OWN)
        .take(Event::Whole);
    insta::assert_snapshot!(session.text);
}

#[test]
fn a_publish_with_a_lost_answer_is_unknown() {
    let session = Session::new(false)
        .picked()
        .take(Event::Lost { attempt: Attempt(1) })
        .take(Event::Retry)
        .answered(1, OWN);
    insta::assert_snapshot!(session.text);
}

#[test]
fn an_answer_to_another_request_is_not_passed_on() {
    let session = Session::new(true).picked().answered(1, OTHER).answered(1, OWN);
    insta::assert_snapshot!(session.text);
}

#[test]
fn a_late_answer_to_an_earlier_attempt_is_dropped() {
    let session = Session::new(true)
        .picked()
        .take(Event::NotRun { attempt: Attempt(1) })
        .take(Event::Retry)
        .picked()
        .answered(1, OWN)
        .answered(2, OWN)
        .take(Event::Whole);
    assert_eq!(session.machine.stale_events(), 1);
    insta::assert_snapshot!(session.text);
}

#[test]
fn an_idempotent_request_that_ran_is_never_answered_not_run() {
    let session = Session::new(true)
        .picked()
        .take(Event::Ended { attempt: Attempt(1) })
        .take(Event::Retry)
        .take(Event::NoneFree);
    insta::assert_snapshot!(session.text);
}

#[test]
fn a_caller_that_went_away_gets_no_answer() {
    let session = Session::new(false).picked().take(Event::Gone).answered(1, OWN);
    insta::assert_snapshot!(session.text);
}

#[derive(Clone, Debug)]
struct Input {
    events: Vec<Event>,
    idempotent: bool,
}

impl Arbitrary for Input {
    fn arbitrary(g: &mut Gen) -> Self {
        let event = |g: &mut Gen| {
            let attempt = Attempt(u32::arbitrary(g) % 4 + 1);
            let request = *g.choose(&[None, Some(OWN), Some(OTHER)]).unwrap();
            *g.choose(&[
                Event::Answered { attempt, request },
                Event::Broken,
                Event::Ended { attempt },
                Event::Expired,
                Event::GiveUp,
                Event::Gone,
                Event::Lost { attempt },
                Event::NoneFree,
                Event::NotRun { attempt },
                Event::Picked,
                Event::Picked,
                Event::Retry,
                Event::Retry,
                Event::Whole,
            ])
            .unwrap()
        };
        let length = usize::arbitrary(g) % 40;
        Self { events: (0..length).map(|_| event(g)).collect(), idempotent: bool::arbitrary(g) }
    }
}

/// State of an attempt at its endpoint, as far as the events so far prove it.
#[derive(Clone, Copy, Eq, PartialEq)]
enum Proof {
    /// It may still be running.
    Open,
    NotRun,
    Over,
}

/// Returns whether every action is allowed: `Pass` only for the current attempt's own answer,
/// `Refuse` only if no attempt may have run, and `Send` only if none may still be running or, unless
/// the request is idempotent, may have run.
fn actions_are_allowed(input: Input) -> bool {
    let mut machine = Machine::new(OWN, input.idempotent);
    let mut attempts: Vec<Proof> = Vec::new();
    for event in &input.events {
        let current = machine.attempt();
        let before = machine.state();
        let action = machine.handle(*event);
        match event {
            Event::NotRun { attempt } if *attempt == current && before == State::Dispatched => {
                attempts.pop();
                attempts.push(Proof::NotRun);
            }
            Event::Ended { attempt } if *attempt == current && before == State::Dispatched => {
                attempts.pop();
                attempts.push(Proof::Over);
            }
            _ => {}
        }
        let may_have_run = attempts.iter().any(|proof| *proof != Proof::NotRun);
        let forbidden = match action {
            Action::Pass => !matches!(event, Event::Answered { attempt, request }
                    if *request == Some(OWN) && *attempt == current),
            Action::Refuse => may_have_run,
            Action::Send if input.idempotent => attempts.contains(&Proof::Open),
            Action::Send => may_have_run,
            _ => false,
        };
        if forbidden {
            return false;
        }
        if action == Action::Send {
            attempts.push(Proof::Open);
        }
    }
    true
}

#[test]
fn a_request_runs_again_only_on_proof_and_gets_only_its_own_answer() {
    quickcheck::QuickCheck::new()
        .tests(20_000)
        .rng(Gen::from_size_and_seed(100, 4))
        .quickcheck(actions_are_allowed as fn(Input) -> bool);
}

#[derive(Clone, Copy, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd)]
#[serde(rename_all = "snake_case")]
enum Label {
    A,
    B,
}

#[test]
fn a_chart_with_a_fault_is_refused() {
    let read = |text: &str| {
        Chart::<Label, Label, Label>::read(text, &[Label::A, Label::B]).unwrap_err().to_string()
    };
    let missing =
        r#"{"start":"a","states":{"a":{"on":{"a":{"action":"a","to":"b"}},"ignore":["b"]}}}"#;
    let unreachable = r#"{"start":"a","states":{"a":{"ignore":["a","b"]},"b":{}}}"#;
    let unhandled = r#"{"start":"a","states":{"a":{"ignore":["a"]}}}"#;
    let unknown = r#"{"start":"a","states":{"a":{"ignore":["a","c"]}}}"#;
    insta::assert_snapshot!([missing, unreachable, unhandled, unknown].map(read).join("\n"));
}

#[test]
fn the_shares_of_all_entries_add_up_to_the_guards() {
    for count in [1, 2, 7, 8, 9, 300] {
        let entries: Vec<Name> =
            (0..count).map(|i| Name::try_from(format!("entry-{i}")).unwrap()).collect();
        for vm in 0..50 {
            let vm = Name::try_from(format!("vm-{vm}")).unwrap();
            let shares = entries.iter().map(|own| Share::of(own, &entries, &vm, 8, 64));
            let (slots, connections) = shares.fold((0, 0), |sum, share| {
                assert!(share.slots <= share.connections);
                (sum.0 + share.slots, sum.1 + share.connections)
            });
            assert_eq!((slots, connections), (8, 64), "{count} entries");
        }
    }
}
