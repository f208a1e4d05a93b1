//! The permission of keyed runs by one entry, step by step.

#![allow(clippy::unwrap_used)]

use {
    oleanderstage_core::{
        Instant, Name,
        drain::{self, State},
        key::{Fingerprint, Id, Now},
        key_call::{Answer, Release, Request},
        key_event::{Action, Event, Reading},
        key_map::{Map, Member},
        key_owner::Owner,
        key_record::{Grant, Record},
    },
    std::{collections::BTreeSet, fmt::Write},
};

const WALL_MS: u64 = 1_800_000_000_000;

/// Entry `a` among `a`, `b` and `c`. It owns every partition.
struct Session {
    at_ms: u64,
    map: Map,
    owner: Owner,
    text: String,
}

impl Session {
    /// Starts `a` as the owner number `epoch` of every partition.
    fn new(epoch: u64) -> Self {
        let mut map = Map::first(&member("a"));
        map.members.extend([member("b"), member("c")]);
        map.parts.iter_mut().for_each(|part| part.epoch = epoch);
        map.version = 5;
        let now = Now { at: Instant::from_millis(0), wall_ms: WALL_MS };
        let owner = Owner::new(member("a"), now);
        Self { at_ms: 0, map, owner, text: String::new() }.read(&["a", "b", "c"])
    }

    fn now(&self) -> Now {
        Now { at: Instant::from_millis(self.at_ms), wall_ms: WALL_MS + self.at_ms }
    }

    fn at(mut self, at_ms: u64) -> Self {
        self.at_ms = at_ms;
        self
    }

    fn read(self, present: &[&str]) -> Self {
        self.read_at(9, present)
    }

    /// Reads the map at a revision.
    fn read_at(mut self, modified: i64, present: &[&str]) -> Self {
        let present = present.iter().map(|name| member(name)).collect();
        let reading = Reading { map: Some(self.map.clone()), modified, present };
        self.owner.handle(self.now(), Event::Read(Some(reading)));
        self
    }

    /// Assigns the partition of the opaque key to `a`, as its owner number `epoch`.
    fn assigned(mut self, version: u64, epoch: u64) -> Self {
        let part = &mut self.map.parts[usize::from(opaque().partition())];
        part.owner = Some(member("a"));
        part.epoch = epoch;
        self.map.version = version;
        self
    }

    fn registered(mut self) -> Self {
        let sent = self.now().at;
        let event = Event::Committed { register: true, sent, succeeded: Some(true) };
        self.owner.handle(self.now(), event);
        self
    }

    /// Delivers the answer of `from` to a request sent now.
    fn answered(mut self, from: &str, request: Request, answer: Answer) -> Self {
        let (sent, to) = (self.now().at, name(from));
        let from = Some(member(from));
        let event = Event::Answered { answer: Some(answer), request, from, sent, to };
        self.owner.handle(self.now(), event);
        self
    }

    fn confirmed(self, from: &str) -> Self {
        self.answered(from, Request::Confirm { version: 5 }, Answer::Confirmed)
    }

    fn collected(self, from: &str, former: Vec<Release>) -> Self {
        let partitions: BTreeSet<u16> = (0..64).collect();
        let answer = Answer::Collected { former, records: vec![], started_ms: WALL_MS - 60_000 };
        self.answered(from, Request::Collect { partitions }, answer)
    }

    /// Adds to `text` whether runs are permitted now.
    fn log_permits(mut self) -> Self {
        let actions = self.owner.tick(self.now());
        let asks = actions.iter().filter(|action| matches!(action, Action::Send { .. })).count();
        let serves = self.owner.serves(self.now(), &opaque());
        writeln!(self.text, "{} ms: permits {serves}, asks {asks}", self.at_ms).unwrap();
        self
    }

    /// Adds the answer to a request to `text`.
    fn request(mut self, request: Request) -> Self {
        let answer = self.owner.answer(self.now(), &request);
        writeln!(self.text, "{} ms: {request:?} -> {answer:?}", self.at_ms).unwrap();
        self
    }
}

fn name(text: &str) -> Name {
    Name::try_from(text).unwrap()
}

fn member(text: &str) -> Member {
    Member { incarnation: 1, name: name(text) }
}

fn opaque() -> Id {
    Id::new("", &name("site"), "opaque")
}

fn run(id: Id) -> Request {
    Request::Run { fingerprint: Fingerprint(7), id, idempotent: false, runner: member("b") }
}

fn record(epoch: u64) -> Record {
    Record {
        end: None,
        fingerprint: Fingerprint(7),
        grant: Grant { epoch, serial: 1 },
        granted_ms: WALL_MS,
        id: opaque(),
        runner: member("a"),
    }
}

#[test]
fn a_fenced_map_is_confirmed_no_more() {
    let confirm = Request::Confirm { version: 5 };
    let session = Session::new(1)
        .request(confirm.clone())
        .request(Request::Fence { version: 4 })
        .request(confirm.clone())
        .request(Request::Fence { version: 5 })
        .request(confirm);
    insta::assert_snapshot!(session.text);
}

#[test]
fn past_its_lease_an_owner_permits_while_all_others_confirm() {
    let session = Session::new(1)
        .log_permits()
        .registered()
        .log_permits()
        .at(9_499)
        .log_permits()
        .at(9_500)
        .log_permits()
        .confirmed("b")
        .log_permits()
        .confirmed("c")
        .log_permits()
        .at(10_499)
        .log_permits()
        .at(10_500)
        .log_permits();
    insta::assert_snapshot!(session.text);
}

#[test]
fn under_a_fenced_map_an_owner_relies_on_its_lease_only() {
    let session = Session::new(1)
        .registered()
        .request(Request::Fence { version: 5 })
        .log_permits()
        .at(9_600)
        .confirmed("b")
        .confirmed("c")
        .log_permits();
    insta::assert_snapshot!(session.text);
}

#[test]
fn a_new_owner_waits_out_earlier_permissions_before_it_collects() {
    let session = Session::new(2)
        .registered()
        .collected("b", vec![])
        .collected("c", vec![])
        .log_permits()
        .at(2_400)
        .collected("b", vec![])
        .collected("c", vec![])
        .log_permits()
        .at(2_500)
        .collected("b", vec![])
        .log_permits()
        .collected("c", vec![])
        .log_permits()
        .request(run(opaque()));
    insta::assert_snapshot!(session.text);
}

#[test]
fn a_partition_is_inherited_from_the_owner_right_before_only() {
    let former = |epoch| -> Vec<Release> {
        (0..64).map(|partition| Release { epoch, horizon_ms: 0, partition }).collect()
    };
    let session = Session::new(3)
        .registered()
        .collected("b", former(1))
        .log_permits()
        .collected("b", former(2))
        .log_permits()
        .request(run(opaque()));
    insta::assert_snapshot!(session.text);
}

/// Starts `a` as a new owner that has collected the records of all others. Its own process started
/// last.
fn new_owner() -> Session {
    Session::new(2)
        .registered()
        .at(2_500)
        .collected("b", vec![])
        .collected("c", vec![])
        .log_permits()
}

/// Returns a key minted at `minted_ms`.
fn minted(minted_ms: u64) -> Id {
    Id { hash: opaque().hash, minted_ms: Some(minted_ms) }
}

#[test]
fn a_new_owner_answers_unknown_when_an_earlier_run_cannot_be_ruled_out() {
    const HORIZON_MS: u64 = WALL_MS;
    let outcome = |at_ms: u64, id: Id, idempotent: bool| {
        let mut session = new_owner().at(at_ms).registered();
        let mut request = run(id);
        if let Request::Run { idempotent: mark, .. } = &mut request {
            *mark = idempotent;
        }
        match session.owner.answer(session.now(), &request) {
            Answer::Permitted(_) => "permitted",
            Answer::Unvouched => "unknown",
            Answer::Future => "from the future",
            _ => "other",
        }
    };
    let lines = [
        ("minted 10 s after the horizon", outcome(20_000, minted(HORIZON_MS + 10_000), false)),
        ("minted later", outcome(20_000, minted(HORIZON_MS + 10_001), false)),
        ("minted before, idempotent", outcome(20_000, minted(HORIZON_MS), true)),
        ("minted 5 s ahead", outcome(20_000, minted(WALL_MS + 25_000), false)),
        ("minted further ahead", outcome(20_000, minted(WALL_MS + 25_001), false)),
        ("minted 10 min ago", outcome(620_000, minted(WALL_MS + 20_000), false)),
        ("minted a little later", outcome(620_000, minted(WALL_MS + 20_001), false)),
        ("opaque", outcome(615_000, opaque(), false)),
        ("opaque, once records are gone", outcome(615_001, opaque(), false)),
    ];
    let text: String = lines.iter().map(|(key, result)| format!("{key}: {result}\n")).collect();
    insta::assert_snapshot!(text);
}

#[test]
fn a_permission_that_comes_late_begins_nothing() {
    let begin = |at_ms, sent_ms| {
        let mut session = Session::new(1).at(at_ms);
        let now = session.now();
        session.owner.begin(now, Instant::from_millis(sent_ms), &record(1))
    };
    assert!(begin(1_000, 1));
    assert!(!begin(1_000, 0));
}

#[test]
fn a_permission_of_an_earlier_epoch_begins_nothing() {
    let mut session = Session::new(1);
    let now = session.now();
    assert!(session.owner.begin(now, now.at, &record(3)));
    assert!(!session.owner.begin(now, now.at, &record(2)));
}

#[test]
fn a_run_that_was_declared_not_begun_never_begins() {
    let mut session = Session::new(1).request(Request::Settle { record: record(3) });
    let now = session.now();
    assert!(!session.owner.begin(now, now.at, &record(3)));
    insta::assert_snapshot!(session.text);
}

#[test]
fn an_entry_leaves_in_order() {
    let mut machine = drain::Machine::new();
    let mut text = String::new();
    let events = [
        drain::Event::Idle,
        drain::Event::Told,
        drain::Event::Told,
        drain::Event::Idle,
        drain::Event::GraceOver,
        drain::Event::Idle,
    ];
    for event in events {
        let action = machine.handle(event);
        let state = machine.state();
        let (healthy, takes) = (state.is_healthy(), state.accepts_requests());
        writeln!(text, "{event:?} -> {action:?}, {state:?}: healthy {healthy}, takes {takes}")
            .unwrap();
    }
    assert_eq!(machine.state(), State::Over);
    insta::assert_snapshot!(text);
}

#[test]
fn an_owner_without_other_members_has_not_left_while_it_owns_partitions() {
    let mut session = Session::new(1);
    session.map.members = BTreeSet::from([member("a")]);
    let mut session = session.read(&["a"]);
    session.owner.leave();
    assert!(!session.owner.has_left());
    session.map.members.insert(member("b"));
    session.map.parts.iter_mut().for_each(|part| part.owner = Some(member("b")));
    let session = session.read(&["a", "b"]);
    assert!(session.owner.has_left());
}

/// Starts `a` as the owner of everything, and makes it release the opaque key's partition.
fn released() -> Session {
    let partition = usize::from(opaque().partition());
    let mut session = Session::new(1).registered();
    session.owner.tick(session.now());
    let mut session = session.read(&["a", "b", "c"]);
    let actions = session.owner.tick(session.now());
    let change = actions.iter().find_map(|action| match action {
        Action::Commit(change) => change.map.clone(),
        _ => None,
    });
    assert_eq!(change.unwrap().parts[partition].owner, None);
    session.map.version = 6;
    session.map.parts[partition].owner = None;
    session.read_at(10, &["a", "b", "c"]).log_permits()
}

#[test]
fn an_owner_that_takes_back_a_released_partition_permits_at_once() {
    let session =
        released().assigned(7, 2).read_at(11, &["a"]).log_permits().request(run(opaque()));
    insta::assert_snapshot!(session.text);
}

#[test]
fn an_owner_that_was_succeeded_collects_when_it_takes_a_partition_back() {
    let session = released().assigned(8, 3).read_at(12, &["a"]).log_permits();
    insta::assert_snapshot!(session.text);
}
