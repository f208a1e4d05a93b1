//! Submissions of configurations by concurrent operators, event by event.

#![allow(clippy::unwrap_used)]

use {
    oleanderstage_core::{
        config::{Accepted, Config, Revision},
        submission::{Action, End, Event, Machine, StoredConfig},
    },
    quickcheck::{Arbitrary, Gen, QuickCheck},
    std::sync::Arc,
};

/// The key-value service, and a transcript of the events and actions.
#[derive(Default)]
struct Session {
    stored: Option<StoredConfig>,
    lines: Vec<String>,
}

/// The outcome of a write.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Outcome {
    /// It takes effect, and its answer arrives.
    Answered,
    /// It takes effect, but its answer is lost.
    AnswerLost,
    /// It does not arrive.
    Lost,
    /// It is refused.
    Refused,
}

fn config(teams: &str) -> Arc<Config> {
    let teams: Vec<String> = teams
        .split_whitespace()
        .map(|name| {
            let quota = r#"{"processors_milli":1000,"memory_mib":1024}"#;
            format!(r#"{{"name":"{name}","quota":{quota}}}"#)
        })
        .collect();
    serde_json::from_str(&format!(r#"{{"teams":[{}]}}"#, teams.join(","))).unwrap()
}

impl Session {
    fn note(&mut self, who: &str, what: impl serde::Serialize) {
        self.lines.push(format!("{who}: {}", serde_json::to_string(&what).unwrap()));
    }

    fn step(&mut self, who: &str, machine: &mut Machine, event: Event) -> Action {
        self.note(who, &event);
        let action = machine.handle(event);
        self.note(&format!("    {who}"), &action);
        action
    }

    fn read(&mut self, who: &str, machine: &mut Machine) -> Action {
        self.step(who, machine, Event::Read(self.stored.clone()))
    }

    fn write(
        &mut self,
        who: &str,
        machine: &mut Machine,
        action: Action,
        outcome: Outcome,
    ) -> Action {
        let Action::Write { accepted, modified, .. } = action else { panic!("{action:?}") };
        let event = match outcome {
            Outcome::Lost => Event::Doubt("no answer in time".into()),
            Outcome::Refused => Event::NotDone("rate limit".into()),
            _ if !self.swap(accepted, modified) => Event::Overtaken,
            Outcome::Answered => Event::Written,
            Outcome::AnswerLost => Event::Doubt("connection reset".into()),
        };
        self.step(who, machine, event)
    }

    fn swap(&mut self, accepted: Accepted, modified: Option<i64>) -> bool {
        if self.stored.as_ref().map(|stored| stored.modified) != modified {
            return false;
        }
        self.stored = Some(StoredConfig { accepted, modified: modified.unwrap_or(0) + 1 });
        true
    }

    fn check(&self, name: &str) {
        insta::with_settings!({ omit_expression => true }, {
            insta::assert_snapshot!(name, self.lines.join("\n"));
        });
    }
}

#[test]
fn a_race_has_one_winner_and_a_conflict_that_names_it() {
    let mut session = Session::default();
    let mut first = Machine::new("s-0", "ange", None, config("news"));
    let write = session.read("ange", &mut first);
    session.write("ange", &mut first, write, Outcome::Answered);
    let mut ange = Machine::new("s-1", "ange", Some(Revision(1)), config("news market"));
    let mut bosco = Machine::new("s-2", "bosco", Some(Revision(1)), config("news flood"));
    let write_ange = session.read("ange", &mut ange);
    let write_bosco = session.read("bosco", &mut bosco);
    session.write("bosco", &mut bosco, write_bosco, Outcome::Answered);
    session.write("ange", &mut ange, write_ange, Outcome::Answered);
    session.read("ange", &mut ange);
    session.check("race");
}

#[test]
fn a_lost_answer_is_found_out_also_after_a_rival() {
    let mut session = Session::default();
    let mut ange = Machine::new("s-1", "ange", None, config("news"));
    let write = session.read("ange", &mut ange);
    session.write("ange", &mut ange, write, Outcome::AnswerLost);
    let mut bosco = Machine::new("s-2", "bosco", None, config("news flood"));
    let write = session.read("bosco", &mut bosco);
    session.write("bosco", &mut bosco, write, Outcome::Answered);
    session.read("ange", &mut ange);
    session.check("lost_answer");
}

#[test]
fn an_older_base_is_refused_before_any_write() {
    let mut session = Session::default();
    for index in 1..3 {
        let id = format!("s-{index}");
        let mut machine = Machine::new(&id, "ange", None, config("news"));
        let write = session.read("ange", &mut machine);
        session.write("ange", &mut machine, write, Outcome::Answered);
    }
    session.lines.clear();
    let mut bosco = Machine::new("s-9", "bosco", Some(Revision(1)), config("news flood"));
    session.read("bosco", &mut bosco);
    session.check("older_base");
}

#[test]
fn an_outage_is_reported_as_not_done_or_unknown() {
    let mut session = Session::default();
    let mut machine = Machine::new("s-1", "ange", None, config("news"));
    let mut action = machine.start();
    while !matches!(action, Action::End(_)) {
        action = session.step("ange", &mut machine, Event::NotDone("connection refused".into()));
    }
    let mut machine = Machine::new("s-2", "ange", None, config("news"));
    let write = session.read("ange", &mut machine);
    let mut action = session.write("ange", &mut machine, write, Outcome::Lost);
    while !matches!(action, Action::End(_)) {
        action = session.step("ange", &mut machine, Event::NotDone("connection refused".into()));
    }
    session.check("outage");
}

impl Arbitrary for Outcome {
    fn arbitrary(source: &mut Gen) -> Self {
        *source.choose(&[Self::Answered, Self::AnswerLost, Self::Lost, Self::Refused]).unwrap()
    }
}

/// Runs three submissions at once, one operator a step. Returns whether every reported result is
/// true and none took effect twice. A lost write may still take effect later.
fn race(steps: &[(u8, Outcome)]) -> bool {
    let mut session = Session::default();
    let mut machines: Vec<Machine> =
        (0..3).map(|i| Machine::new(&format!("s-{i}"), "", None, config("news"))).collect();
    let mut actions: Vec<Action> = machines.iter().map(Machine::start).collect();
    let mut delayed: Vec<(Accepted, Option<i64>)> = vec![];
    let mut history: Vec<Accepted> = vec![];
    for (who, outcome) in steps {
        let who = usize::from(who % 3);
        if let (Action::Write { accepted, modified, .. }, Outcome::Lost) = (&actions[who], outcome)
        {
            delayed.push((accepted.clone(), *modified));
        }
        if *outcome == Outcome::Refused && !delayed.is_empty() {
            let (accepted, modified) = delayed.remove(0);
            session.swap(accepted, modified);
        }
        actions[who] = match actions[who].clone() {
            Action::End(end) => Action::End(end),
            Action::Read(_) => session.read("", &mut machines[who]),
            write => session.write("", &mut machines[who], write, *outcome),
        };
        history.extend(session.stored.as_ref().map(|stored| stored.accepted.clone()));
        history.dedup();
    }
    let was_stored = |id: &str| history.iter().any(|accepted| accepted.submission == id);
    let consecutive = history.windows(2).all(|pair| pair[1].revision.0 == pair[0].revision.0 + 1);
    let truthful = actions.iter().enumerate().all(|(index, action)| match action {
        Action::End(End::Accepted(_) | End::Replaced { .. }) => was_stored(&format!("s-{index}")),
        Action::End(End::Conflict { .. } | End::NotDone(_)) => !was_stored(&format!("s-{index}")),
        _ => true,
    });
    let mut ids: Vec<&str> = history.iter().map(|accepted| accepted.submission.as_str()).collect();
    let all = ids.len();
    ids.sort_unstable();
    ids.dedup();
    consecutive && truthful && ids.len() == all
}

#[test]
fn no_submission_reports_a_wrong_result_or_takes_effect_twice() {
    fn holds(steps: Vec<(u8, Outcome)>) -> bool {
        race(&steps)
    }
    let random = Gen::from_size_and_seed(80, 20_261_203);
    QuickCheck::new().rng(random).tests(3_000).quickcheck(holds as fn(Vec<(u8, Outcome)>) -> bool);
}
