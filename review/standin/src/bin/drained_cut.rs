//! Workers that are being emptied are cut off and run on.

use {
    review_standin::{
        case::{self, Case, Verdict, pause, wait_until},
        fleet::{self, Deployment},
        json::object,
        worker::{Kind, Worker},
    },
    std::{process::ExitCode, time::Duration},
};

/// Workers, and how many of them are emptied and cut off: a sixteenth.
const WORKERS: usize = 48;
const LEAVING: usize = 3;
/// Run time of a task, its processors in thousandths of a core, its memory in MB, and the spread of the
/// run times.
const SPEC: &str = "7000 2000 1000 2000";
/// Jobs, and tasks of each.
const JOBS: u64 = 12;
const TASKS: u64 = 16;
/// How long the workers are cut off, in milliseconds.
const CUT_MS: u64 = 5_500;
/// Time since a worker's last write to the store, and since its lease was last renewed, at the cut.
const MIN_BEAT_AGE: Duration = Duration::from_millis(1_200);
const MAX_RENEWAL_AGE: Duration = Duration::from_millis(250);

fn main() -> ExitCode {
    case::run(play)
}

fn play(case: &Case) -> Verdict {
    case.store.put("op/config", &fleet::config(1, vec![fleet::route("q", "/q/", "desk")], &["desk"]));
    let mut workers = Vec::new();
    for number in 0..WORKERS {
        let kind = Kind {
            id: format!("w{number:02}"),
            service: "desk",
            zone: ["a", "b", "c", "d"][number % 4],
            cpu: 16_000,
            mem_mb: 64_000,
            labels: vec!["a".into(), format!("r{}", number / 6)],
            hold_max_ms: 6_000,
            checkpoint_ms: 1_000,
        };
        workers.push(case.worker(kind, 0, Duration::from_millis(number as u64 * 31))?);
    }
    let vms = fleet::start(case, 3, 1, Deployment { cpu_share: 0.25, hold_max_ms: 6_000 })?;
    let step = object(vec![
        ("count", TASKS.into()),
        ("cpu", 2_000.into()),
        ("mem_mb", 1_000.into()),
        ("estimate_ms", 8_000.into()),
    ]);
    let mut paths = Vec::new();
    for number in 0..JOBS {
        let path = format!("/q/{}", fleet::job_id(5, number));
        let vm = &vms[number as usize % vms.len()];
        wait_until("acceptance", Duration::from_secs(5), || {
            vm.submit(&path, SPEC, vec![step.clone()], &case.record) == Some(200)
        })?;
        paths.push(path);
    }
    let started = || case.ledger.runs().len() as u64 >= JOBS * TASKS;
    wait_until("starts", Duration::from_secs(5), started)?;
    let busy: Vec<&Worker> = workers.iter().filter(|worker| worker.is_busy()).take(LEAVING).collect();
    for worker in &busy {
        worker.drain(&case.store);
    }
    if case.trouble {
        pause(800);
        // The cut may come at any moment; this one is late in a heartbeat interval.
        wait_until("the moment", Duration::from_secs(3), || {
            let late = |worker: &&Worker| {
                let (beaten, renewed) = worker.ages();
                beaten >= MIN_BEAT_AGE && renewed <= MAX_RENEWAL_AGE
            };
            busy.iter().any(late)
        })?;
        busy.iter().for_each(|worker| worker.set_cut(true));
        pause(CUT_MS);
        busy.iter().for_each(|worker| worker.set_cut(false));
    }
    let over = |path: &String| {
        let answer = vms[0].state(path, &case.record);
        pause(30);
        answer.is_some_and(|(_, state)| state == "completed")
    };
    wait_until("the jobs", Duration::from_secs(40), || paths.iter().all(over))?;
    Ok(case.judge_twice())
}
