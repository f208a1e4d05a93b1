//! Measures the cost of decisions at 100, 1,000 and 10,000 workers. The check is on the number of
//! candidates examined, which is the same in every run; wall times are only printed.

use {
    measure::Measure,
    oleanderstage_core::{
        Instant, Name, Resources, interference, job, placement, quota, route, task, worker,
    },
    std::{process::ExitCode, time::Duration},
};

mod measure;
mod placing;
mod reporting;
mod routing;
mod sharing;

/// Numbers of workers at which each decision is measured.
const WORKER_COUNTS: [usize; 3] = [100, 1_000, 10_000];
/// Maximum ratio of the candidates that a decision examines with the most workers to those with the
/// fewest, which are a hundredth as many.
const MAX_GROWTH: f64 = 3.0;

fn main() -> ExitCode {
    let decisions: [fn(usize) -> Measure; 6] = [
        routing::route,
        placing::place,
        placing::place_when_full,
        placing::place_when_refused,
        reporting::report,
        sharing::share,
    ];
    println!("{}", Measure::HEADER);
    let broken = decisions.iter().filter(|decision| !growth_is_bounded(decision)).count();
    println!("bounds: {} held, {broken} broken", decisions.len() - broken);
    if broken == 0 { ExitCode::SUCCESS } else { ExitCode::FAILURE }
}

/// Measures a decision at each size, prints it, and returns whether its growth is bounded.
fn growth_is_bounded(decision: &fn(usize) -> Measure) -> bool {
    let measures = WORKER_COUNTS.map(decision);
    measures.iter().for_each(|measure| println!("{measure}"));
    let [first, _, last] = &measures;
    let growth = last.examined_each() / first.examined_each().max(1.0);
    let held = growth <= MAX_GROWTH;
    let verdict = if held { "held" } else { "BROKEN" };
    println!("{verdict:<6} {}: examined grow {growth:.2} <= {MAX_GROWTH:.2}", last.decision);
    held
}

/// Returns the name of the VM with index `i`.
fn vm(i: usize) -> Name {
    name(&format!("vm-{i:05}"))
}

/// Converts a text that is known to be a valid name.
fn name(text: &str) -> Name {
    Name::try_from(text).expect("a valid name")
}

/// Returns the id of the only task of the job `serial`.
fn task_id(serial: usize) -> task::Id {
    let cell = "kigali-1.0".parse().expect("a cell");
    task::Id { index: 0, job: job::Id { cell, serial: serial as u128 } }
}
