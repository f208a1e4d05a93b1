//! Measures what a decision costs at 100, 1,000 and 10,000 workers. Candidates examined are the
//! gate, as they are the same in every run; wall times are printed beside them.

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

/// Numbers of workers.
const FLEETS: [usize; 3] = [100, 1_000, 10_000];
/// What a decision may examine at the largest fleet, over what it examines at the smallest. The
/// fleet grows a hundredfold.
const GROWTH_MAX: f64 = 3.0;

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
    let broken = decisions.iter().filter(|decision| !holds(decision)).count();
    println!("bounds: {} held, {broken} broken", decisions.len() - broken);
    if broken == 0 { ExitCode::SUCCESS } else { ExitCode::FAILURE }
}

/// Measures a decision at each size, prints it, and returns whether its growth is bounded.
fn holds(decision: &fn(usize) -> Measure) -> bool {
    let measures = FLEETS.map(decision);
    measures.iter().for_each(|measure| println!("{measure}"));
    let [first, _, last] = &measures;
    let growth = last.examined_each() / first.examined_each().max(1.0);
    let held = growth <= GROWTH_MAX;
    let verdict = if held { "held" } else { "BROKEN" };
    println!("{verdict:<6} {}: examined grow {growth:.2} <= {GROWTH_MAX:.2}", last.decision);
    held
}

/// Returns the name of a VM.
fn vm(i: usize) -> Name {
    name(&format!("vm-{i:05}"))
}

/// Returns a name that is known to be valid.
fn name(text: &str) -> Name {
    Name::try_from(text).expect("a valid name")
}

/// Returns the id of a task.
fn task_id(serial: usize) -> task::Id {
    let cell = "kigali-1.0".parse().expect("a cell");
    task::Id { index: 0, job: job::Id { cell, serial: serial as u128 } }
}
