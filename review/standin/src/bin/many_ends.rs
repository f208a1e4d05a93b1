//! Many small tasks of one worker end while the store is down: more ends than one answer lists.

use {
    review_standin::{
        case::{self, Case, Verdict, pause, wait_until},
        fleet::{self, Deployment},
        json::object,
        store::Availability,
        worker::Kind,
    },
    std::{process::ExitCode, time::Duration},
};

/// Jobs, and tasks of each.
const JOBS: u64 = 24;
const TASKS: u64 = 32;
/// Run time of a task, its processors in thousandths of a core, its memory in MB, and the spread of
/// the run times.
const SPEC: &str = "5000 100 300 1500";
/// Time from the first start to the outage: shortly before the first end, in milliseconds.
const OUTAGE_AFTER_MS: u64 = 4_500;
/// How long the store is down: the site file's troubles list 4.5 s.
const OUTAGE_MS: u64 = 4_500;

fn main() -> ExitCode {
    case::run(play)
}

fn play(case: &Case) -> Verdict {
    case.store.put("op/config", &fleet::config(1, vec![fleet::route("q", "/q/", "desk")], &["desk"]));
    let mut workers = Vec::new();
    for number in 0..6 {
        let kind = Kind {
            id: format!("w{number}"),
            service: "desk",
            zone: "a",
            cpu: 64_000,
            mem_mb: 250_000,
            labels: vec!["a".into(), "r1".into()],
            hold_max_ms: 10_000,
            checkpoint_ms: 1_000,
        };
        workers.push(case.worker(kind, 0, Duration::ZERO)?);
    }
    let deployment = Deployment { cpu_share: 0.25, hold_max_ms: 10_000 };
    let vms = fleet::start(case, 2, 1, deployment)?;
    let step = object(vec![
        ("count", TASKS.into()),
        ("cpu", 100.into()),
        ("mem_mb", 300.into()),
        ("estimate_ms", 5_500.into()),
    ]);
    let jobs: Vec<String> = (0..JOBS).map(|number| fleet::job_id(1, number)).collect();
    for (number, job) in jobs.iter().enumerate() {
        let vm = &vms[number % vms.len()];
        let status = vm.submit(&format!("/q/{job}"), SPEC, vec![step.clone()], &case.record);
        if status != Some(200) {
            return Err(format!("job {job} was not accepted: {status:?}"));
        }
        pause(50);
    }
    let started = || case.ledger.runs().len() as u64;
    wait_until("starts", Duration::from_secs(4), || started() >= JOBS * TASKS)?;
    let first = case.ledger.runs().first().map_or(0, |run| run.started);
    pause((first + OUTAGE_AFTER_MS).saturating_sub(case.record.now_ms()));
    if case.trouble {
        case.store.set_availability(Availability::Busy);
    }
    pause(OUTAGE_MS);
    let unseen: Vec<usize> = workers.iter().map(|worker| worker.unseen_ends()).collect();
    case.record.say(format!("ends that no call has taken note of, by worker: {unseen:?}"));
    case.store.set_availability(Availability::Up);
    let over = |job: &String| {
        let answer = vms[0].state(&format!("/q/{job}"), &case.record);
        answer.is_some_and(|(_, state)| state == "completed")
    };
    wait_until("jobs", Duration::from_secs(30), || jobs.iter().all(over))?;
    pause(3_000);
    Ok(case.judge_twice())
}
