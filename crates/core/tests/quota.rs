//! Quotas of teams and the fair order between them.
#![allow(clippy::unwrap_used)]

use oleanderstage_core::{
    Name, Resources, config,
    quota::{Refusal, Table},
};

fn name(text: &str) -> Name {
    text.parse().unwrap()
}

fn amount(cores: u64) -> Resources {
    Resources { accelerators: 0, memory_mib: cores, processors_milli: cores * 1_000 }
}

fn table(quotas: &[(&str, u64)]) -> Table {
    let team =
        |(team, cores): &(&str, u64)| config::Team { name: name(team), quota: amount(*cores) };
    let mut table = Table::default();
    table.apply(&quotas.iter().map(team).collect::<Vec<_>>());
    table
}

#[test]
fn starts_are_shared_in_proportion_to_quotas() {
    let mut table = table(&[("large", 60), ("small", 20)]);
    table.enqueue(&name("large"), 100);
    table.enqueue(&name("small"), 100);
    for _ in 0..40 {
        let team = table.order().next().cloned().unwrap();
        table.charge(&team, &amount(1)).unwrap();
        table.dequeue(&team, 1);
    }
    assert_eq!(table.used(&name("large")), amount(30));
    assert_eq!(table.used(&name("small")), amount(10));
}

#[test]
fn refuses_with_what_to_change() {
    let mut table = table(&[("news", 4)]);
    let news = name("news");
    table.charge(&news, &amount(3)).unwrap();
    let full = Refusal::Full { left: amount(1), team: news.clone() };
    assert_eq!(table.charge(&news, &amount(2)), Err(full));
    table.refund(&news, &amount(3));
    table.charge(&news, &amount(2)).unwrap();
    let texts: Vec<String> = [(&news, 5), (&name("nobody"), 1)]
        .iter()
        .map(|(team, cores)| table.charge(team, &amount(*cores)).unwrap_err().to_string())
        .collect();
    assert_eq!(
        texts,
        [
            "the task is larger than the quota `4.000 processors, 4 MiB, 0 accelerators` of team \
             `news`: declare smaller tasks, or raise the quota",
            "team `nobody` is not declared: add it to the configuration's `teams`",
        ]
    );
}

#[test]
fn an_idle_team_of_380_goes_first() {
    let names: Vec<String> = (0..380).map(|i| format!("team-{i:03}")).collect();
    let mut table = table(&names.iter().map(|team| (team.as_str(), 10)).collect::<Vec<_>>());
    for team in &names {
        table.enqueue(&name(team), 5);
        if team != "team-123" {
            table.charge(&name(team), &amount(1)).unwrap();
        }
    }
    assert_eq!(table.order().next(), Some(&name("team-123")));
    table.dequeue(&name("team-123"), 5);
    assert_eq!(table.order().count(), 379);
}

#[test]
fn a_team_that_is_withdrawn_keeps_its_accounts_and_starts_nothing() {
    let mut table = table(&[("news", 4)]);
    let news = name("news");
    table.charge(&news, &amount(3)).unwrap();
    table.apply(&[]);
    assert!(matches!(table.charge(&news, &amount(1)), Err(Refusal::NeverFits { .. })));
    table.refund(&news, &amount(3));
    assert_eq!(table.used(&news), Resources::default());
}

#[test]
fn what_runs_already_is_counted_above_the_quota_and_nothing_more_is_charged() {
    let mut table = table(&[("news", 4)]);
    let news = name("news");
    table.book(&news, &amount(6));
    let full = Refusal::Full { left: Resources::default(), team: news.clone() };
    assert_eq!(table.charge(&news, &amount(1)), Err(full));
}
