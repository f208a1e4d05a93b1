//! Cost of choosing the team whose task starts next. The number of teams grows with the fleet.

use super::*;
use oleanderstage_core::config;

/// Number of task starts measured.
const STARTS: u64 = 50_000;
/// Teams per hundred workers.
const TEAMS_PER_HUNDRED_WORKERS: usize = 4;

/// Measures choosing the next team and charging its quota with a task.
pub(crate) fn share(workers: usize) -> Measure {
    let teams: Vec<config::Team> =
        (0..workers / 100 * TEAMS_PER_HUNDRED_WORKERS).map(team).collect();
    let mut table = quota::Table::default();
    table.apply(&teams);
    teams.iter().for_each(|team| table.enqueue(&team.name, STARTS));
    let amount = amount(1);
    let mut examined = 0;
    let start = std::time::Instant::now();
    for _ in 0..STARTS {
        let Some(team) = table.order().inspect(|_| examined += 1).next().cloned() else { continue };
        let charged = table.charge(&team, &amount);
        assert!(charged.is_ok(), "{charged:?}");
        table.dequeue(&team, 1);
    }
    Measure { decision: "team chosen", examined, count: STARTS, elapsed: start.elapsed(), workers }
}

fn amount(cores: u64) -> Resources {
    Resources { accelerators: 0, memory_mib: cores, processors_milli: cores * 1_000 }
}

fn team(i: usize) -> config::Team {
    config::Team { name: name(&format!("team-{i}")), quota: amount(1_000_000) }
}
