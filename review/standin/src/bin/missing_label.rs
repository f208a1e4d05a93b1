//! One of two workers with a label is lost for good. Jobs that need the label are accepted, and the
//! other worker has room for them.

use {
    review_standin::{
        case::{self, Case, Verdict, pause, wait_until},
        fleet::{self, Deployment, Vm},
        json::object,
        worker::Kind,
    },
    std::{process::ExitCode, time::Duration},
};

/// Workers, and the two of them with the label.
const WORKERS: usize = 48;
const LABELLED: [usize; 2] = [10, 11];
/// Run time of a task, its processors in thousandths of a core and its memory in MB.
const SPEC: &str = "1000 2000 1000";
/// Jobs before and after the crash.
const EARLY_JOBS: u64 = 4;
const JOBS: u64 = 8;
/// Time from the crash to the first job after it, in milliseconds.
const CALM_MS: u64 = 20_000;
/// `finish_s` after the end of the traffic, in milliseconds.
const FINISH_MS: u64 = 14_000;

fn main() -> ExitCode {
    case::run(play)
}

fn play(case: &Case) -> Verdict {
    case.store.put("op/config", &fleet::config(1, vec![fleet::route("q", "/q/", "desk")], &["desk"]));
    let mut workers = Vec::new();
    for number in 0..WORKERS {
        let label = if LABELLED.contains(&number) { "b" } else { "a" };
        let kind = Kind {
            id: format!("w{number:02}"),
            service: "desk",
            zone: ["a", "b", "c", "d"][number % 4],
            cpu: 16_000,
            mem_mb: 64_000,
            labels: vec![label.into(), format!("r{}", number / 6)],
            hold_max_ms: 6_000,
            checkpoint_ms: 1_000,
        };
        workers.push(case.worker(kind, 0, Duration::from_millis(number as u64 * 5))?);
    }
    let deployment = Deployment { cpu_share: 0.1, hold_max_ms: 6_000 };
    let vms = fleet::start(case, 3, 2, deployment)?;
    let early = submit(case, &vms, 0, EARLY_JOBS)?;
    let completed = |job: &String| {
        let answer = vms[0].state(&format!("/q/{job}"), &case.record);
        answer.is_some_and(|(_, state)| state == "completed")
    };
    wait_until("early jobs", Duration::from_secs(15), || early.iter().all(completed))?;
    if case.trouble {
        workers[LABELLED[1]].crash();
    }
    pause(CALM_MS);
    let jobs = submit(case, &vms, EARLY_JOBS, JOBS)?;
    pause(FINISH_MS);
    let other = &workers[LABELLED[0]];
    case.record.say(format!(
        "worker {} uses {} of {} thousandths of a core",
        other.kind.id,
        other.used_milli(),
        other.kind.cpu
    ));
    let mut lost = 0;
    for job in &jobs {
        let runs = case.ledger.runs_of(job).len();
        let state = vms[0].state(&format!("/q/{job}"), &case.record);
        if runs == 0 && !completed(job) {
            lost += 1;
            case.record.line(format!("LOST: job {job} has never had a task running, {state:?}"));
        }
    }
    case.record.say(format!("{lost} of {JOBS} accepted jobs have had nothing running for {FINISH_MS} ms"));
    Ok(lost == 0)
}

/// Submits jobs of one task that needs the label, each until it is accepted.
fn submit(case: &Case, vms: &[Vm], first: u64, count: u64) -> Result<Vec<String>, String> {
    let step = object(vec![
        ("count", 1.into()),
        ("cpu", 2_000.into()),
        ("mem_mb", 1_000.into()),
        ("estimate_ms", 1_000.into()),
        ("requirements", "b".into()),
    ]);
    let mut jobs = Vec::new();
    for number in first..first + count {
        let job = fleet::job_id(2, number);
        let path = format!("/q/{job}");
        wait_until("acceptance", Duration::from_secs(5), || {
            let vm = &vms[number as usize % vms.len()];
            vm.submit(&path, SPEC, vec![step.clone()], &case.record) == Some(200)
        })?;
        jobs.push(job);
        pause(700);
    }
    Ok(jobs)
}
