//! Sessions of operators who submit, event by event.

#![allow(clippy::unwrap_used)]

use {
    oleanderstage_core::{
        config::{Accepted, Config, Revision},
        submission::{Action, End, Event, Held, Machine},
    },
    quickcheck::{Arbitrary, Gen, QuickCheck},
    std::sync::Arc,
};

/// The key-value service and what an operator is told of it.
#[derive(Default)]
struct Session {
    held: Option<Held>,
    lines: Vec<String>,
}

/// What becomes of a write.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Fate {
    /// It takes effect and is answered.
    Answered,
    /// It takes effect and its answer is lost.
    AnswerLost,
    /// It is lost.
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
        self.step(who, machine, Event::Read(self.held.clone()))
    }

    fn write(&mut self, who: &str, machine: &mut Machine, action: Action, fate: Fate) -> Action {
        let Action::Write { accepted, modified, .. } = action else { panic!("{action:?}") };
        let event = match fate {
            Fate::Lost => Event::Doubt("no answer in time".into()),
            Fate::Refused => Event::NotDone("rate limit".into()),
            _ if !self.swap(accepted, modified) => Event::Overtaken,
            Fate::Answered => Event::Written,
            Fate::AnswerLost => Event::Doubt("connection reset".into()),
        };
        self.step(who, machine, event)
    }

    fn swap(&mut self, accepted: Accepted, modified: Option<i64>) -> bool {
        if self.held.as_ref().map(|held| held.modified) != modified {
            return false;
        }
        self.held = Some(Held { accepted, modified: modified.unwrap_or(0) + 1 });
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
    session.write("ange", &mut first, write, Fate::Answered);
    let mut ange = Machine::new("s-1", "ange", Some(Revision(1)), config("news market"));
    let mut bosco = Machine::new("s-2", "bosco", Some(Revision(1)), config("news flood"));
    let write_ange = session.read("ange", &mut ange);
    let write_bosco = session.read("bosco", &mut bosco);
    session.write("bosco", &mut bosco, write_bosco, Fate::Answered);
    session.write("ange", &mut ange, write_ange, Fate::Answered);
    session.read("ange", &mut ange);
    session.check("race");
}

#[test]
fn a_lost_answer_is_found_out_also_after_a_rival() {
    let mut session = Session::default();
    let mut ange = Machine::new("s-1", "ange", None, config("news"));
    let write = session.read("ange", &mut ange);
    session.write("ange", &mut ange, write, Fate::AnswerLost);
    let mut bosco = Machine::new("s-2", "bosco", None, config("news flood"));
    let write = session.read("bosco", &mut bosco);
    session.write("bosco", &mut bosco, write, Fate::Answered);
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
        session.write("ange", &mut machine, write, Fate::Answered);
    }
    session.lines.clear();
    let mut bosco = Machine::new("s-9", "bosco", Some(Revision(1)), config("news flood"));
    session.read("bosco", &mut bosco);
    session.check("older_base");
}

#[test]
fn an_outage_ends_with_what_was_and_was_not_done() {
    let mut session = Session::default();
    let mut machine = Machine::new("s-1", "ange", None, config("news"));
    let mut action = machine.start();
    while !matches!(action, Action::End(_)) {
        action = session.step("ange", &mut machine, Event::NotDone("connection refused".into()));
    }
    let mut machine = Machine::new("s-2", "ange", None, config("news"));
    let write = session.read("ange", &mut machine);
    let mut action = session.write("ange", &mut machine, write, Fate::Lost);
    while !matches!(action, Action::End(_)) {
        action = session.step("ange", &mut machine, Event::NotDone("connection refused".into()));
    }
    session.check("outage");
}

impl Arbitrary for Fate {
    fn arbitrary(source: &mut Gen) -> Self {
        *source.choose(&[Self::Answered, Self::AnswerLost, Self::Lost, Self::Refused]).unwrap()
    }
}

/// Lets three operators race; each step moves one of them. A lost write may still land later.
fn race(steps: &[(u8, Fate)]) -> bool {
    let mut session = Session::default();
    let mut machines: Vec<Machine> =
        (0..3).map(|i| Machine::new(&format!("s-{i}"), "", None, config("news"))).collect();
    let mut actions: Vec<Action> = machines.iter().map(Machine::start).collect();
    let mut late: Vec<(Accepted, Option<i64>)> = vec![];
    let mut history: Vec<Accepted> = vec![];
    for (who, fate) in steps {
        let who = usize::from(who % 3);
        if let (Action::Write { accepted, modified, .. }, Fate::Lost) = (&actions[who], fate) {
            late.push((accepted.clone(), *modified));
        }
        if *fate == Fate::Refused && !late.is_empty() {
            let (accepted, modified) = late.remove(0);
            session.swap(accepted, modified);
        }
        actions[who] = match actions[who].clone() {
            Action::End(end) => Action::End(end),
            Action::Read(_) => session.read("", &mut machines[who]),
            write => session.write("", &mut machines[who], write, *fate),
        };
        history.extend(session.held.as_ref().map(|held| held.accepted.clone()));
        history.dedup();
    }
    let ever = |id: &str| history.iter().any(|accepted| accepted.submission == id);
    let once = history.windows(2).all(|pair| pair[1].revision.0 == pair[0].revision.0 + 1);
    let honest = actions.iter().enumerate().all(|(index, action)| match action {
        Action::End(End::Accepted(_) | End::Replaced { .. }) => ever(&format!("s-{index}")),
        Action::End(End::Conflict { .. } | End::NotDone(_)) => !ever(&format!("s-{index}")),
        _ => true,
    });
    let mut ids: Vec<&str> = history.iter().map(|accepted| accepted.submission.as_str()).collect();
    let all = ids.len();
    ids.sort_unstable();
    ids.dedup();
    once && honest && ids.len() == all
}

#[test]
fn no_submission_is_told_wrongly_or_takes_effect_twice() {
    fn holds(steps: Vec<(u8, Fate)>) -> bool {
        race(&steps)
    }
    let random = Gen::from_size_and_seed(80, 20_261_203);
    QuickCheck::new().rng(random).tests(3_000).quickcheck(holds as fn(Vec<(u8, Fate)>) -> bool);
}
