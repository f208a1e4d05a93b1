//! Memory, written bytes and processor time of a scheduler, by workers and tasks.

use super::*;

/// Measures the bytes of a group in the journal, by the tasks whose start and end it records.
pub fn journal() -> Fit {
    Fit::measure("group commit of starts and ends", "B", "task", &[1, 10, 100], |tasks| {
        let start = |i| journal::Record::Start {
            attempt: task::Attempt(1),
            key: key(i),
            vm: sample::name(format!("worker-{i:05}")),
        };
        let end = |i| journal::Record::Over {
            attempt: task::Attempt(1),
            end: worker::End::Finished,
            key: key(i),
        };
        let records = (0..tasks).map(start).chain((0..tasks).map(end)).collect();
        let writer = journal::Holder {
            epoch: cell::Epoch(9),
            incarnation: u64::MAX / 3,
            scheduler: sample::name("scheduler-3"),
        };
        sealed::seal(&journal::Group { records, sequence: 1_000, writer }).len() as f64
    })
}

/// Measures the bytes of a cell's snapshot, by the tasks that are not over.
pub fn snapshot() -> Fit {
    Fit::measure("snapshot of a cell", "B", "open task", &[1_000, 5_000, 20_000], |tasks| {
        sealed::seal(&content(tasks)).len() as f64
    })
}

/// Measures the time to read a snapshot, by the tasks that are not over.
pub fn snapshot_decode() -> Fit {
    Fit::measure("reading a snapshot", "us", "open task", &[1_000, 5_000, 20_000], |tasks| {
        let bytes = sealed::seal(&content(tasks));
        sample::mean_us(10, || {
            hint::black_box(sealed::open::<ledger::Content>("snapshot", &bytes).is_ok());
        })
    })
}

/// Measures the memory of a cell's jobs and tasks, by the tasks that are not over.
pub fn ledger_memory() -> Fit {
    let sizes = [50_000, 200_000, 400_000];
    Fit::measure("tasks of a cell, resident", "B", "open task", &sizes, |tasks| {
        sample::retained_bytes(|| content(tasks))
    })
}

/// Measures the time to place a task and release it, by the workers of a cell.
pub fn placement() -> Fit {
    Fit::measure("placing a task", "us", "worker", &[100, 1_000, 10_000], |workers| {
        let mut placer = placement::Placer::new(1);
        let workers: Vec<placement::Worker> = (0..workers).map(placement_worker).collect();
        placer.apply(&workers);
        let mut index = 0;
        sample::mean_us(20_000, || {
            index += 1;
            let demand = demand(index);
            if placer.place(&demand).is_ok() {
                placer.release(&demand.task);
            }
        })
    })
}

/// Measures the memory of a placer, by the workers of a cell.
pub fn placement_memory() -> Fit {
    let sizes = [5_000, 20_000, 80_000];
    Fit::measure("placer, resident", "B", "worker", &sizes, |workers| {
        sample::retained_bytes(|| {
            let mut placer = placement::Placer::new(1);
            placer.apply(&(0..workers).map(placement_worker).collect::<Vec<_>>());
            placer
        })
    })
}

/// Returns the content of a cell with one job of `tasks` running tasks.
fn content(tasks: usize) -> ledger::Content {
    let task = ledger::Task {
        attempt: task::Attempt(1),
        checkpoint: None,
        failures: 0,
        stage: oleanderstage_core::Stage::Running,
        vm: Some(sample::name("worker-00001")),
    };
    let spec = job::Spec {
        class: sample::name("render"),
        payload: "x".repeat(64),
        resources: Resources { accelerators: 0, memory_mib: 2_048, processors_milli: 1_000 },
        run_ms: 60_000,
        tasks: tasks as u32,
        team: sample::name("team-001"),
    };
    let job = ledger::Job {
        evictions: 0,
        finished: 0,
        left: tasks as u32,
        order: 1,
        spec,
        state: job::State::Open,
        tasks: vec![task; tasks],
    };
    ledger::Content { accepted: 1, jobs: [(1, job)].into(), over: Default::default() }
}

fn demand(index: usize) -> placement::Demand {
    placement::Demand {
        class: sample::name("render"),
        resources: Resources { accelerators: 0, memory_mib: 2_048, processors_milli: 1_000 },
        task: sample::run(index).task,
        team: sample::name("team-001"),
    }
}

fn key(index: usize) -> journal::Key {
    journal::Key { index: index as u32, serial: u128::MAX / 3 }
}

fn placement_worker(index: usize) -> placement::Worker {
    let vm = sample::vm(index);
    placement::Worker {
        capacity: vm.resources,
        rack: vm.rack,
        reserved: Resources { accelerators: 0, memory_mib: 4_096, processors_milli: 2_000 },
        vm: vm.name,
    }
}
