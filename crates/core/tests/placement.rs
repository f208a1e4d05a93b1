//! Placement of tasks on workers.
#![allow(clippy::unwrap_used)]

use {
    oleanderstage_core::{
        Name, Resources, job,
        placement::{Assessment, Demand, Placer, Refusal, Worker},
        task,
    },
    quickcheck::{Arbitrary, Gen, QuickCheck},
    std::collections::BTreeMap,
};

fn name(text: &str) -> Name {
    text.parse().unwrap()
}

fn amount(cores: u64, gib: u64, accelerators: u32) -> Resources {
    Resources { accelerators, memory_mib: gib * 1_024, processors_milli: cores * 1_000 }
}

/// Builds `count` workers, six per rack, each with 2 cores and 4 GiB reserved.
fn workers(count: usize, capacity: Resources) -> Vec<Worker> {
    let worker = |i: usize| Worker {
        capacity,
        rack: name(&format!("rack-{}", i / 6)),
        reserved: amount(2, 4, 0),
        vm: name(&format!("vm-{i:02}")),
    };
    (0..count).map(worker).collect()
}

fn placer(workers: &[Worker]) -> Placer {
    let mut placer = Placer::new(1);
    placer.apply(workers);
    placer
}

fn demand(job: u128, index: u32, resources: Resources) -> Demand {
    let cell = "kigali-1.0".parse().unwrap();
    let task = task::Id { index, job: job::Id { cell, serial: job } };
    Demand { class: name("render"), resources, task, team: name("news") }
}

/// Places tasks of one size until one is refused; returns their workers and the refusal.
fn fill(placer: &mut Placer, job: u128, resources: Resources) -> (Vec<Name>, Refusal) {
    let mut placed = Vec::new();
    loop {
        match placer.place(&demand(job, placed.len() as u32, resources)) {
            Ok(vm) => placed.push(vm),
            Err(refusal) => return (placed, refusal),
        }
    }
}

#[test]
fn fills_each_worker_and_never_beyond_what_it_offers() {
    let workers = workers(12, amount(16, 64, 0));
    let mut placer = placer(&workers);
    let (placed, refusal) = fill(&mut placer, 1, amount(4, 8, 0));
    assert_eq!((placed.len(), refusal), (36, Refusal::NoRoom));
    for worker in &workers {
        assert!(placer.used(&worker.vm).fits(&worker.offered()), "{}", worker.vm);
    }
}

#[test]
fn releases_room_once() {
    let mut placer = placer(&workers(1, amount(6, 64, 0)));
    let first = demand(1, 0, amount(4, 8, 0));
    let vm = placer.place(&first).unwrap();
    assert_eq!(placer.place(&demand(1, 1, amount(4, 8, 0))), Err(Refusal::NoRoom));
    assert_eq!(placer.release(&first.task), Some(vm.clone()));
    assert_eq!(placer.release(&first.task), None);
    assert_eq!(placer.used(&vm), Resources::default());
}

#[test]
fn says_what_never_fits_with_the_reason() {
    let mut placer = placer(&workers(3, amount(16, 64, 0)));
    let refusal = placer.place(&demand(1, 0, amount(15, 8, 0))).unwrap_err();
    assert_eq!(
        refusal.to_string(),
        "a task of `15.000 processors, 8192 MiB, 0 accelerators` fits no worker, which offer at \
         most `14.000 processors, 61440 MiB, 0 accelerators`: declare smaller tasks, or add \
         larger workers"
    );
}

#[test]
fn spreads_a_job_over_racks() {
    let workers = workers(18, amount(64, 250, 0));
    let mut placer = placer(&workers);
    let mut racks = [0; 3];
    for index in 0..30 {
        let vm = placer.place(&demand(1, index, amount(1, 1, 0))).unwrap();
        racks[workers.iter().position(|worker| worker.vm == vm).unwrap() / 6] += 1;
    }
    assert!(racks.iter().all(|count| (8..=12).contains(count)), "{racks:?}");
}

#[test]
fn leaves_room_beside_free_accelerators() {
    let mut placer = placer(&workers(4, amount(18, 68, 4)));
    fill(&mut placer, 1, amount(1, 1, 0));
    let (placed, _) = fill(&mut placer, 2, amount(2, 8, 1));
    assert_eq!(placed.len(), 16);
}

#[test]
fn takes_the_worker_of_lowest_cost_and_none_that_is_refused() {
    let mut placer = placer(&workers(4, amount(16, 64, 0)));
    let assess = |vm: &Name| match vm.as_str() {
        "vm-00" => Assessment::Refuse,
        "vm-02" => Assessment::Cost(0.0),
        _ => Assessment::Cost(1.0),
    };
    let vm = placer.place_by(&demand(1, 0, amount(1, 1, 0)), assess).unwrap();
    assert_eq!(vm, name("vm-02"));
    let refused = placer.place_by(&demand(1, 1, amount(1, 1, 0)), |_| Assessment::Refuse);
    assert_eq!(refused, Err(Refusal::NoRoom));
}

#[test]
fn places_nothing_on_a_closed_worker_across_changes() {
    let workers = workers(2, amount(16, 64, 0));
    let mut placer = placer(&workers);
    placer.set_closed(&name("vm-00"), true);
    placer.apply(&workers);
    let (placed, _) = fill(&mut placer, 1, amount(7, 1, 0));
    assert_eq!(placed, [name("vm-01"), name("vm-01")]);
    placer.set_closed(&name("vm-00"), false);
    assert_eq!(placer.place(&demand(2, 0, amount(7, 1, 0))), Ok(name("vm-00")));
}

#[test]
fn keeps_accounts_of_running_tasks_when_workers_change() {
    let mut placer = placer(&workers(1, amount(6, 64, 0)));
    let running = demand(1, 0, amount(4, 8, 0));
    placer.book(&running, &name("vm-00"));
    placer.book(&running, &name("vm-00"));
    placer.apply(&workers(1, amount(8, 64, 0)));
    assert_eq!(placer.used(&name("vm-00")), amount(4, 8, 0));
    assert_eq!(placer.place(&demand(1, 1, amount(4, 8, 0))), Err(Refusal::NoRoom));
    assert!(placer.place(&demand(1, 2, amount(2, 8, 0))).is_ok());
}

/// A step of a random session.
#[derive(Clone, Debug)]
enum Step {
    Apply { count: usize },
    Close { closed: bool, vm: usize },
    Place { cores: u64, gib: u64 },
    Release { nth: usize },
}

impl Arbitrary for Step {
    fn arbitrary(source: &mut Gen) -> Self {
        let pick = |source: &mut Gen, below: u64| u64::arbitrary(source) % below;
        match pick(source, 10) {
            0 => Self::Apply { count: 1 + pick(source, 12) as usize },
            1 => Self::Close { closed: bool::arbitrary(source), vm: pick(source, 12) as usize },
            2..=6 => Self::Place { cores: 1 + pick(source, 15), gib: 1 + pick(source, 60) },
            _ => Self::Release { nth: pick(source, 64) as usize },
        }
    }
}

/// Runs a session and checks the accounts after each step against a list of the placed tasks.
fn keeps_accounts(steps: Vec<Step>) -> bool {
    let mut current = workers(6, amount(16, 64, 0));
    let mut placer = placer(&current);
    let mut placed: BTreeMap<task::Id, (Name, Resources)> = BTreeMap::new();
    for (index, step) in steps.into_iter().enumerate() {
        match step {
            Step::Apply { count } => {
                current = workers(count, amount(16, 64, 0));
                placer.apply(&current);
            }
            Step::Close { closed, vm } => placer.set_closed(&name(&format!("vm-{vm:02}")), closed),
            Step::Place { cores, gib } => {
                let demand = demand(1, index as u32, amount(cores, gib, 0));
                if let Ok(vm) = placer.place(&demand) {
                    placed.insert(demand.task, (vm, demand.resources));
                }
            }
            Step::Release { nth } => {
                let task = placed.keys().nth(nth).cloned();
                let vm = task.as_ref().and_then(|task| placed.remove(task)).map(|(vm, _)| vm);
                assert_eq!(task.and_then(|task| placer.release(&task)), vm);
            }
        }
        for worker in &current {
            let on = placed.values().filter(|(vm, _)| *vm == worker.vm);
            let used = on.fold(Resources::default(), |sum, (_, amount)| sum + *amount);
            assert_eq!(placer.used(&worker.vm), used);
            assert!(used.fits(&worker.offered()), "{} holds {used}", worker.vm);
        }
    }
    true
}

#[test]
fn accounts_hold_in_random_sessions() {
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(100, 5))
        .tests(300)
        .quickcheck(keeps_accounts as fn(Vec<Step>) -> bool);
}
