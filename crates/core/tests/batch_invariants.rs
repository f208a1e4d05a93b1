//! Invariants over the runs that workers executed in random sessions: several schedulers, workers
//! and a key-value service in virtual time, with faults.
//!
//! A longer run: `OLEANDERSTAGE_SEED=5 OLEANDERSTAGE_COUNT=2000 cargo test -p oleanderstage-core
//! --test batch_invariants -- --nocapture`.

#![allow(clippy::unwrap_used)]

mod world;

use {
    oleanderstage_core::{Faults, Instant, job, task, worker},
    quickcheck::{Arbitrary, Gen, QuickCheck, Testable},
    std::{collections::BTreeMap, time::Duration},
    world::{Incident, World, fake_worker::Execution},
};

const SCHEDULERS: usize = 3;
const WORKERS: usize = 4;
const SESSION_LENGTH: Duration = Duration::from_secs(240);
const SETTLE_TIMEOUT: Duration = Duration::from_secs(1_200);
/// Number of sessions in CI.
const SESSIONS: u64 = 150;
const SEED: u64 = 11;
/// Number of sessions within which a built-in fault has to violate its invariant.
const MUTANT_SESSIONS: u64 = 200;

/// A random session: a seed, and incidents with their times in milliseconds.
#[derive(Clone, Debug)]
struct Plan {
    seed: u64,
    incidents: Vec<(u64, Incident)>,
}

impl Arbitrary for Plan {
    fn arbitrary(g: &mut Gen) -> Self {
        let count = 4 + u64::arbitrary(g) % 24;
        let mut incidents: Vec<(u64, Incident)> =
            (0..count).map(|_| (u64::arbitrary(g) % 240_000, incident(g))).collect();
        incidents.sort_by_key(|(at, _)| *at);
        Self { seed: u64::arbitrary(g), incidents }
    }

    fn shrink(&self) -> Box<dyn Iterator<Item = Self>> {
        let plan = self.clone();
        Box::new((0..plan.incidents.len()).map(move |index| {
            let mut smaller = plan.clone();
            smaller.incidents.remove(index);
            smaller
        }))
    }
}

fn incident(g: &mut Gen) -> Incident {
    let span = Duration::from_millis(500 + u64::arbitrary(g) % 60_000);
    let vm = usize::arbitrary(g) % WORKERS;
    let index = usize::arbitrary(g) % SCHEDULERS;
    match u8::arbitrary(g) % 17 {
        0 => Incident::Cancel(usize::arbitrary(g) % 3),
        1 | 2 => Incident::CutWorker { vm, span },
        3 => Incident::DelayBatches(span),
        4 | 5 => Incident::Evict,
        6 => Incident::KillScheduler { index, span },
        7 => Incident::KillWorker(vm % 2),
        8 => Incident::Leave { index, span },
        9 => Incident::LoseAnswers(span),
        10 => Incident::DelayWrites(span),
        11 | 12 => Incident::PauseScheduler { index, span },
        13 => Incident::PauseWorker { vm, span },
        14 => Incident::RestartWorker(vm),
        15 => Incident::CutStore { index, span },
        _ => Incident::StoreDown(span),
    }
}

fn play(plan: &Plan, faults: Faults, traced: bool) -> World {
    let mut world = World::new(plan.seed, SCHEDULERS, WORKERS, faults);
    world.traced = traced;
    world.run(Duration::from_secs(3));
    for index in 0..6_u64 {
        let after = Duration::from_secs(index * 35);
        let (tasks, processors) = (2 + index as u32, 1 + index % 3);
        world.schedule(after, Incident::Submit { tasks, processors });
    }
    for (at, incident) in &plan.incidents {
        world.schedule(Duration::from_millis(*at), incident.clone());
    }
    world.run(SESSION_LENGTH);
    world.settle(SETTLE_TIMEOUT);
    world
}

/// Runs a session and returns the first violation as an error.
fn check(plan: &Plan, faults: Faults) -> Result<(), String> {
    violations(plan, faults).into_iter().next().map_or(Ok(()), Err)
}

/// Runs a session and returns the first violation of each invariant that does not hold.
fn violations(plan: &Plan, faults: Faults) -> Vec<String> {
    let world = play(plan, faults, false);
    let results = [
        never_in_two_places(&world),
        never_over_capacity(&world),
        resumes_exactly_once(&world),
        stops_only_what_is_over(&world),
        accepted_jobs_end(&world),
    ];
    results.into_iter().filter_map(Result::err).collect()
}

fn by_task(world: &World) -> BTreeMap<task::Id, Vec<&Execution>> {
    let mut tasks: BTreeMap<task::Id, Vec<&Execution>> = BTreeMap::new();
    for execution in world.workers.iter().flat_map(|worker| &worker.executions) {
        tasks.entry(execution.run.task.clone()).or_default().push(execution);
    }
    tasks
        .values_mut()
        .for_each(|runs| runs.sort_by_key(|execution| (execution.start, execution.run.attempt)));
    tasks
}

/// Checks that the runs of a task never overlap and that their attempts increase.
fn never_in_two_places(world: &World) -> Result<(), String> {
    for (task, runs) in by_task(world) {
        for pair in runs.windows(2) {
            let end = pair[0].end.as_ref().map_or(Instant(u64::MAX), |(at, _)| *at);
            if pair[1].start < end {
                return Err(format!("two places: `{task}` ran twice at once: {pair:?}"));
            }
            if pair[1].run.attempt <= pair[0].run.attempt {
                return Err(format!("two places: `{task}` started an attempt again: {pair:?}"));
            }
        }
    }
    Ok(())
}

fn never_over_capacity(world: &World) -> Result<(), String> {
    for (index, worker) in world.workers.iter().enumerate() {
        if worker.peak_processors_milli > worker.capacity.processors_milli {
            return Err(format!(
                "capacity: `vm-{index}` used {} thousandths of a core",
                worker.peak_processors_milli
            ));
        }
    }
    Ok(())
}

/// Checks that a run resumes from the newest durable checkpoint: one that an owner acknowledged
/// earlier, one that an earlier run resumed from, or a newer one whose acknowledgement was lost;
/// and that no run starts after an acknowledged success.
fn resumes_exactly_once(world: &World) -> Result<(), String> {
    for (task, runs) in by_task(world) {
        let mut durable: Vec<(usize, Option<&String>)> = vec![(0, None)];
        for (index, execution) in runs.iter().enumerate() {
            let before = &runs[..index];
            let known =
                |earlier: &&Execution| earlier.acknowledged.is_some_and(|at| at <= execution.start);
            if before.iter().any(|earlier| known(earlier) && is_finished(earlier)) {
                return Err(format!("resume: `{task}` ran again after its end: {execution:?}"));
            }
            let written =
                before.iter().enumerate().filter_map(|(at, e)| Some((at + 1, e, token(e)?)));
            let floor = written.clone().filter(|(_, earlier, _)| known(earlier)).map(|w| w.0).max();
            let floor = floor.unwrap_or(0).max(durable.last().unwrap().0);
            let mut allowed: Vec<_> = durable.iter().copied().filter(|d| d.0 >= floor).collect();
            allowed.extend(written.filter(|w| w.0 >= floor).map(|w| (w.0, Some(w.2))));
            let Some(taken) = allowed.iter().find(|a| a.1 == execution.checkpoint.as_ref()) else {
                return Err(format!(
                    "resume: `{task}` should resume from {allowed:?}: {execution:?}"
                ));
            };
            durable.push(*taken);
        }
    }
    Ok(())
}

fn token(execution: &Execution) -> Option<&String> {
    match &execution.end {
        Some((_, worker::End::Checkpointed { token })) => Some(token),
        _ => None,
    }
}

/// Checks that a run is stopped only if its job was cancelled or an earlier run completed the task.
fn stops_only_what_is_over(world: &World) -> Result<(), String> {
    for (task, runs) in by_task(world) {
        let status = world.status(&task.job);
        let cancelled = status.is_some_and(|status| status.state == job::State::Cancelled);
        for (index, execution) in runs.iter().enumerate() {
            let stopped = matches!(execution.end, Some((_, worker::End::Stopped)));
            let overtaken = runs[..index].iter().any(|earlier| is_finished(earlier));
            if stopped && !cancelled && !overtaken {
                return Err(format!("stopped: `{task}` was stopped: {execution:?}"));
            }
        }
    }
    Ok(())
}

/// Checks that every job is accepted and ends, and that finished jobs ran all their tasks.
fn accepted_jobs_end(world: &World) -> Result<(), String> {
    let tasks = by_task(world);
    for (index, (id, spec, _)) in world.jobs.iter().enumerate() {
        if !world.accepted(index) {
            return Err(format!("lost: `{id}` was never accepted: {:?}", world.schedulers.len()));
        }
        let Some(status) = world.status(id) else {
            return Err(format!("lost: `{id}` is not known any more"));
        };
        if status.state == job::State::Open || status.running > 0 {
            return Err(format!("lost: `{id}` is not over: {status:?}"));
        }
        let finished = (0..spec.tasks).filter(|task| {
            let runs = tasks.get(&task::Id { index: *task, job: id.clone() });
            runs.is_some_and(|runs| runs.iter().any(|execution| is_finished(execution)))
        });
        let finished = finished.count() as u32;
        if status.state == job::State::Finished && finished != spec.tasks {
            return Err(format!("lost: `{id}` is finished, but ran {finished} tasks"));
        }
    }
    Ok(())
}

fn is_finished(execution: &Execution) -> bool {
    matches!(execution.end, Some((_, worker::End::Finished)))
}

fn variable(name: &str, default: u64) -> u64 {
    std::env::var(name).ok().and_then(|text| text.parse().ok()).unwrap_or(default)
}

fn quickcheck(count: u64, property: impl Testable) {
    let seed = variable("OLEANDERSTAGE_SEED", SEED);
    let generator = Gen::from_size_and_seed(100, seed);
    QuickCheck::new().rng(generator).tests(count).max_tests(count).quickcheck(property);
}

#[test]
fn random_sessions_keep_the_invariants() {
    fn property(plan: Plan) -> Result<(), String> {
        check(&plan, Faults::None)
    }
    let count = variable("OLEANDERSTAGE_COUNT", SESSIONS);
    quickcheck(count, property as fn(Plan) -> Result<(), String>);
}

/// Asserts that some random session with these built-in faults violates the invariant.
fn assert_caught(faults: Faults, invariant: &str) {
    let mut generator = Gen::from_size_and_seed(100, SEED);
    let caught = (0..MUTANT_SESSIONS).any(|_| {
        let found = violations(&Plan::arbitrary(&mut generator), faults);
        found.iter().any(|violation| violation.starts_with(invariant))
    });
    assert!(caught, "{MUTANT_SESSIONS} sessions of {faults:?} did not violate `{invariant}`");
}

#[test]
fn a_cell_without_epoch_checks_is_caught() {
    assert_caught(Faults::NoEpochCheck, "stopped: ");
}

#[test]
fn an_owner_without_a_lease_wait_is_caught() {
    assert_caught(Faults::NoLeaseWait, "two places: ");
}

#[test]
fn a_writer_without_a_read_back_is_caught() {
    assert_caught(Faults::NoReadBack, "lost: ");
}
