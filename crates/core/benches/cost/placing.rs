//! The choice of a worker for a task.

use super::*;

/// Tasks measured.
const TASKS: usize = 20_000;
/// Tasks placed on each worker before.
const PER_WORKER: usize = 4;

/// Measures placing a task on workers that are mostly full, and releasing another.
pub(crate) fn place(workers: usize) -> Measure {
    let mut placer = filled(workers, PER_WORKER);
    let first = workers * PER_WORKER;
    measure("task placed", workers, &mut placer, |placer, at| {
        placer.release(&task_id(at));
        let placed = placer.place(&demand(first + at, 2));
        assert!(placed.is_ok(), "{placed:?}");
    })
}

/// Measures the refusal of a task for which no worker has room.
pub(crate) fn place_when_full(workers: usize) -> Measure {
    let mut placer = filled(workers, PER_WORKER + 1);
    measure("no room", workers, &mut placer, |placer, at| {
        let refusal = placer.place(&demand(usize::MAX - at, 2));
        assert_eq!(refusal, Err(placement::Refusal::NoRoom));
    })
}

/// Measures a task that its judge accepts nowhere.
pub(crate) fn place_when_refused(workers: usize) -> Measure {
    let mut placer = filled(workers, PER_WORKER);
    measure("refused everywhere", workers, &mut placer, |placer, at| {
        let refuse = |_: &Name| placement::Assessment::Refuse;
        let refusal = placer.place_by(&demand(usize::MAX - at, 2), refuse);
        assert_eq!(refusal, Err(placement::Refusal::NoRoom));
    })
}

fn measure(
    decision: &'static str,
    workers: usize,
    placer: &mut placement::Placer,
    mut decide: impl FnMut(&mut placement::Placer, usize),
) -> Measure {
    let before = placer.examined();
    let start = std::time::Instant::now();
    (0..TASKS).for_each(|at| decide(placer, at));
    Measure {
        decision,
        examined: placer.examined() - before,
        number: TASKS as u64,
        took: start.elapsed(),
        workers,
    }
}

/// Returns workers of which each could hold five tasks, with some tasks for each.
fn filled(workers: usize, tasks: usize) -> placement::Placer {
    let mut placer = placement::Placer::new(1);
    let worker = |i: usize| placement::Worker {
        capacity: amount(16),
        rack: name(&format!("rack-{}", i / 6)),
        reserved: amount(6),
        vm: vm(i),
    };
    placer.apply(&(0..workers).map(worker).collect::<Vec<_>>());
    for at in 0..workers * tasks {
        // Six candidates of a full fleet can miss the last room; booking fills it exactly.
        placer.book(&demand(at, 2), &vm(at % workers));
    }
    placer
}

fn demand(serial: usize, cores: u64) -> placement::Demand {
    placement::Demand {
        class: name("render"),
        resources: amount(cores),
        task: task_id(serial),
        team: name("news"),
    }
}

fn amount(cores: u64) -> Resources {
    Resources { accelerators: 0, memory_mib: cores * 2_048, processors_milli: cores * 1_000 }
}
