//! A tenth of the jobs of one queue can never run, twice for ten seconds. Jobs of another queue come
//! after them, and the workers are idle.

use {
    review_standin::{
        case::{self, Case, Verdict, pause, wait_until},
        fleet::{self, Deployment, Vm},
        json::{Json, object},
        worker::Kind,
    },
    std::{process::ExitCode, time::Duration},
};

/// Workers of the fleet.
const WORKERS: usize = 24;
/// Run time of a task, its processors in thousandths of a core and its memory in MB.
const SPEC: &str = "600 6000 2000";
/// Jobs of the first queue in each window, and the time between two of them: 6 a second, for 10 s.
const WINDOW_JOBS: u64 = 60;
const INTERVAL_MS: u64 = 167;
/// The number of windows, and the time between them in milliseconds.
const WINDOWS: u64 = 2;
const BETWEEN_MS: u64 = 3_000;
/// One job in this many can never run.
const HOPELESS_EVERY: u64 = 10;
/// Steps of a job that can never run; they do not wait for each other.
const STEPS: u64 = 4;
/// Jobs of the second queue.
const JOBS: u64 = 6;
/// `finish_s` after the end of the traffic, in milliseconds.
const FINISH_MS: u64 = 14_000;

fn main() -> ExitCode {
    case::run(play)
}

fn play(case: &Case) -> Verdict {
    let routes = vec![
        fleet::route_with_priority("publish", "/p/", "udgiver", 0),
        fleet::route_with_priority("rebuild", "/r/", "udgiver", 2),
    ];
    case.store.put("op/config", &fleet::config(1, routes, &["udgiver"]));
    let mut workers = Vec::new();
    for number in 0..WORKERS {
        let kind = Kind {
            id: format!("w{number:02}"),
            service: "udgiver",
            zone: ["a", "b", "c", "d"][number % 4],
            cpu: 64_000,
            mem_mb: 250_000,
            labels: vec!["a".into(), format!("r{}", number / 8)],
            hold_max_ms: 10_000,
            checkpoint_ms: 1_000,
        };
        workers.push(case.worker(kind, 0, Duration::from_millis(number as u64 * 11))?);
    }
    let vms = fleet::start(case, 3, 1, Deployment { cpu_share: 0.25, hold_max_ms: 10_000 })?;
    let mut early = Vec::new();
    for window in 0..WINDOWS {
        for number in 0..WINDOW_JOBS {
            let hopeless = case.trouble && number % HOPELESS_EVERY == 0;
            let number = window * WINDOW_JOBS + number;
            let steps = match hopeless {
                // No worker has an accelerator.
                true => (0..STEPS).map(|_| step(1)).collect(),
                false => vec![step(0)],
            };
            let path = submit(case, &vms, "/p/", number, steps)?;
            if !hopeless {
                early.push(path);
            }
            pause(INTERVAL_MS);
        }
        pause(BETWEEN_MS);
    }
    let mut jobs = Vec::new();
    for number in 0..JOBS {
        jobs.push(submit(case, &vms, "/r/", 1_000 + number, vec![step(0)])?);
        pause(500);
    }
    pause(FINISH_MS);
    let used: u64 = workers.iter().map(|worker| worker.used_milli()).sum();
    case.record.say(format!("the workers use {used} thousandths of a core"));
    let completed = |path: &String| {
        let state = vms[0].state(path, &case.record);
        state.is_some_and(|(_, state)| state == "completed")
    };
    let done = early.iter().filter(|path| completed(path)).count();
    case.record.say(format!("{done} of {} jobs of the first queue that can run are done", early.len()));
    let mut lost = 0;
    for path in &jobs {
        let job = path.rsplit('/').next().unwrap_or_default();
        if case.ledger.runs_of(job).is_empty() && !completed(path) {
            lost += 1;
            case.record.line(format!("LOST: job {job} has never had a task running"));
        }
    }
    case.record.say(format!(
        "{lost} of {JOBS} accepted jobs of the second queue have had nothing running for {FINISH_MS} ms"
    ));
    Ok(lost == 0)
}

fn step(accelerators: u64) -> Json {
    let mut fields = vec![
        ("count", 2.into()),
        ("cpu", 6_000.into()),
        ("mem_mb", 2_000.into()),
        ("estimate_ms", 600.into()),
    ];
    if accelerators > 0 {
        fields.push(("gpu", accelerators.into()));
    }
    object(fields)
}

/// Submits a job until it is accepted, and returns its path.
fn submit(
    case: &Case,
    vms: &[Vm],
    prefix: &str,
    number: u64,
    steps: Vec<Json>,
) -> Result<String, String> {
    let path = format!("{prefix}{}", fleet::job_id(7, number));
    let vm = &vms[number as usize % vms.len()];
    wait_until("acceptance", Duration::from_secs(5), || {
        vm.submit(&path, SPEC, steps.clone(), &case.record) == Some(200)
    })?;
    Ok(path)
}
