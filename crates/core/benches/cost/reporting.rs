//! Cost of processing a worker's report.

use super::*;

/// Number of reports measured.
const REPORTS: usize = 20_000;
/// Runs on each worker.
const RUNS_PER_WORKER: usize = 5;
/// Number of batch classes.
const CLASSES: usize = 6;

/// Measures processing a report and computing the advice that follows from it.
pub(crate) fn report(workers: usize) -> Measure {
    let mut model = interference::Model::new(interference::Limits::default());
    let worker = |i| interference::Worker { processors_milli: 16_000, slots: 8, vm: vm(i) };
    model.apply(&(0..workers).map(worker).collect::<Vec<_>>());
    let start = std::time::Instant::now();
    for index in 0..REPORTS {
        let now = Instant::from_millis(10_000 + index as u64 * 20_000 / workers as u64);
        let vm = vm(index % workers);
        model.report(now, &vm, Duration::from_secs(2), &usage(index), &running(index % workers));
        model.advise(now, &vm);
    }
    Measure {
        decision: "report taken in",
        examined: model.examined(),
        count: REPORTS as u64,
        elapsed: start.elapsed(),
        workers,
    }
}

fn running(worker: usize) -> Vec<interference::Running> {
    let running = |i: usize| interference::Running {
        checkpoints: true,
        class: name(&format!("class-{}", (worker + i) % CLASSES)),
        processors_milli: 2_000,
        run: worker::Run { attempt: task::Attempt(1), task: task_id(worker * RUNS_PER_WORKER + i) },
        since: Instant::default(),
    };
    (0..RUNS_PER_WORKER).map(running).collect()
}

fn usage(index: usize) -> worker::Usage {
    let service = worker::ServiceUsage {
        load: 2.0,
        mean_ms: 400.0 + (index % 17) as f64,
        requests: 12,
        service: name("bulletin"),
    };
    worker::Usage { services: vec![service], ..worker::Usage::default() }
}
