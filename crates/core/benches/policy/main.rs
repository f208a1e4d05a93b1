//! Compares the policy of the core with baselines in a simulation. Virtual time and seeded random
//! numbers make two runs print the same.

use {
    bounds::Bounds,
    class::Class,
    clock::Clock,
    deployment::Deployment,
    event::Event,
    figures::Figures,
    hdrhistogram::Histogram,
    oleanderstage_core::{
        Instant, Name, Resources, admission, config, interference, job, placement, probation,
        quota, retry, route, task, worker,
    },
    policy::Policy,
    queue::Queue,
    rand::{Rng, SeedableRng},
    rand_pcg::Pcg64Mcg,
    request::Request,
    run::Run,
    scenario::Scenario,
    simulation::Simulation,
    std::{
        cmp::Reverse,
        collections::{BTreeMap, BTreeSet, BinaryHeap, VecDeque},
        process::ExitCode,
        sync::{
            Mutex,
            atomic::{AtomicUsize, Ordering},
        },
        time::Duration,
    },
    trial::Trial,
    truth::Truth,
    unit::Unit,
    vm::Vm,
};

mod batch;
mod bounds;
mod class;
mod clock;
mod deployment;
mod event;
mod figures;
mod policy;
mod protect;
mod queue;
mod request;
mod run;
mod scenario;
mod simulation;
mod trial;
mod truth;
mod unit;
mod urgent;
mod vm;

/// Number of trials that run in parallel.
const THREADS: usize = 4;

fn main() -> ExitCode {
    let trials = trials();
    let results = run(&trials);
    println!("{}", Figures::HEADER);
    results.iter().for_each(|figures| println!("{figures}"));
    let bounds = Bounds::check(&results);
    print!("{bounds}");
    if bounds.broken() == 0 { ExitCode::SUCCESS } else { ExitCode::FAILURE }
}

/// Returns all trials, or those that match every name in the comma-separated `BENCH_ONLY`: names of
/// deployments, scenarios and policies. All use the seed `BENCH_SEED`, or 1.
fn trials() -> Vec<Trial> {
    let only = std::env::var("BENCH_ONLY").unwrap_or_default();
    let seed = std::env::var("BENCH_SEED").ok().and_then(|seed| seed.parse().ok()).unwrap_or(1);
    let mut trials = Vec::new();
    for deployment in Deployment::ALL {
        for scenario in Scenario::ALL {
            for policy in Policy::ALL {
                let names = [deployment.name, scenario.name(), policy.name()];
                if only.split(',').all(|word| word.is_empty() || names.contains(&word)) {
                    trials.push(Trial { deployment, policy, scenario, seed });
                }
            }
        }
    }
    trials
}

/// Runs the trials on `THREADS` threads and returns their results in the order of `trials`.
fn run(trials: &[Trial]) -> Vec<Figures> {
    let next = AtomicUsize::new(0);
    let results = Mutex::new(BTreeMap::new());
    std::thread::scope(|scope| {
        for _ in 0..THREADS {
            scope.spawn(|| {
                while let Some((index, trial)) = next_trial(&next, trials) {
                    let figures = trial.run();
                    results.lock().expect("a trial panicked").insert(index, figures);
                }
            });
        }
    });
    results.into_inner().expect("a trial panicked").into_values().collect()
}

fn next_trial<'a>(next: &AtomicUsize, trials: &'a [Trial]) -> Option<(usize, &'a Trial)> {
    let index = next.fetch_add(1, Ordering::Relaxed);
    trials.get(index).map(|trial| (index, trial))
}
