//! The taking in of a report.

use super::*;

/// Reports measured.
const REPORTS: usize = 20_000;
/// Runs on each worker.
const RUNS: usize = 5;
/// Batch classes.
const CLASSES: usize = 6;

/// Measures a report and the advice that follows it.
pub(crate) fn report(workers: usize) -> Measure {
    let mut model = interference::Model::new(interference::Limits::default());
    let worker = |i| interference::Worker { processors_milli: 16_000, slots: 8, vm: vm(i) };
    model.apply(&(0..workers).map(worker).collect::<Vec<_>>());
    let start = std::time::Instant::now();
    for at in 0..REPORTS {
        let now = Instant::from_millis(10_000 + at as u64 * 20_000 / workers as u64);
        let vm = vm(at % workers);
        model.report(now, &vm, Duration::from_secs(2), &usage(at), &running(at % workers));
        model.advise(now, &vm);
    }
    Measure {
        decision: "report taken in",
        examined: model.examined(),
        number: REPORTS as u64,
        took: start.elapsed(),
        workers,
    }
}

fn running(worker: usize) -> Vec<interference::Running> {
    let running = |i: usize| interference::Running {
        checkpoints: true,
        class: name(&format!("class-{}", (worker + i) % CLASSES)),
        processors_milli: 2_000,
        run: worker::Run { attempt: task::Attempt(1), task: task_id(worker * RUNS + i) },
        since: Instant::default(),
    };
    (0..RUNS).map(running).collect()
}

fn usage(at: usize) -> worker::Usage {
    let service = worker::ServiceUsage {
        load: 2.0,
        mean_ms: 400.0 + (at % 17) as f64,
        requests: 12,
        service: name("bulletin"),
    };
    worker::Usage { services: vec![service], ..worker::Usage::default() }
}
