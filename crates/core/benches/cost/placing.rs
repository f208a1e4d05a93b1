//! Cost of choosing a worker for a task.

use super::*;

/// Number of placements measured.
const TASKS: usize = 20_000;
/// Tasks placed on each worker before the measurement; five fill a worker.
const TASKS_PER_WORKER: usize = 4;

/// Measures placing a task on workers that are mostly full, together with releasing another.
pub(crate) fn place(workers: usize) -> Measure {
    let mut placer = filled(workers, TASKS_PER_WORKER);
    let first = workers * TASKS_PER_WORKER;
    measure("task placed", workers, &mut placer, |placer, index| {
        placer.release(&task_id(index));
        let placed = placer.place(&demand(first + index, 2));
        assert!(placed.is_ok(), "{placed:?}");
    })
}

/// Measures the refusal of a task when all workers are full.
pub(crate) fn place_when_full(workers: usize) -> Measure {
    let mut placer = filled(workers, TASKS_PER_WORKER + 1);
    measure("no room", workers, &mut placer, |placer, index| {
        let refusal = placer.place(&demand(usize::MAX - index, 2));
        assert_eq!(refusal, Err(placement::Refusal::NoRoom));
    })
}

/// Measures the refusal of a task for which the placement callback refuses every worker.
pub(crate) fn place_when_refused(workers: usize) -> Measure {
    let mut placer = filled(workers, TASKS_PER_WORKER);
    measure("refused everywhere", workers, &mut placer, |placer, index| {
        let refuse = |_: &Name| placement::Assessment::Refuse;
        let refusal = placer.place_by(&demand(usize::MAX - index, 2), refuse);
        assert_eq!(refusal, Err(placement::Refusal::NoRoom));
    })
}

fn measure(
    decision: &'static str,
    workers: usize,
    placer: &mut placement::Placer,
    mut decide: impl FnMut(&mut placement::Placer, usize),
) -> Measure {
    let before = placer.visited_nodes();
    let start = std::time::Instant::now();
    (0..TASKS).for_each(|index| decide(placer, index));
    Measure {
        decision,
        examined: placer.visited_nodes() - before,
        count: TASKS as u64,
        elapsed: start.elapsed(),
        workers,
    }
}

/// Returns a placer of workers that have room for five tasks each, with `tasks_each` placed on each.
fn filled(workers: usize, tasks_each: usize) -> placement::Placer {
    let mut placer = placement::Placer::new(1);
    let worker = |i: usize| placement::Worker {
        capacity: amount(16),
        rack: name(&format!("rack-{}", i / 6)),
        reserved: amount(6),
        vm: vm(i),
    };
    placer.apply(&(0..workers).map(worker).collect::<Vec<_>>());
    for index in 0..workers * tasks_each {
        // `place` samples six candidates, which can miss the last free worker; `book` fills the
        // workers exactly.
        placer.book(&demand(index, 2), &vm(index % workers));
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
