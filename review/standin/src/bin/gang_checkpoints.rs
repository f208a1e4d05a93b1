//! The worker of one member of a gang crashes, and the gang is started again.

use {
    review_standin::{
        case::{self, Case, Verdict, pause, wait_until},
        fleet::{self, Deployment},
        json::{Json, object},
        worker::Kind,
    },
    std::{
        collections::{BTreeMap, BTreeSet},
        process::ExitCode,
        time::Duration,
    },
};

/// Members of the gang: each takes a worker of its own.
const MEMBERS: u64 = 4;
const WORKERS: usize = 8;
/// Work of a member, its processors in thousandths of a core and its memory in MB.
const SPEC: &str = "9000 10000 4000";
/// How long the gang works before the crash, in milliseconds.
const WORK_MS: u64 = 3_600;

fn main() -> ExitCode {
    case::run(play)
}

fn play(case: &Case) -> Verdict {
    case.store.put("op/config", &fleet::config(1, vec![fleet::route("q", "/q/", "desk")], &["desk"]));
    let mut workers = Vec::new();
    for number in 0..WORKERS {
        let kind = Kind {
            id: format!("w{number}"),
            service: "desk",
            zone: "a",
            cpu: 16_000,
            mem_mb: 64_000,
            labels: vec!["a".into(), format!("r{number}")],
            hold_max_ms: 6_000,
            checkpoint_ms: 1_000,
        };
        workers.push(case.worker(kind, MEMBERS as usize, Duration::ZERO)?);
    }
    let vms = fleet::start(case, 2, 1, Deployment { cpu_share: 0.1, hold_max_ms: 6_000 })?;
    let step = object(vec![
        ("count", MEMBERS.into()),
        ("cpu", 10_000.into()),
        ("mem_mb", 4_000.into()),
        ("estimate_ms", 9_000.into()),
        ("checkpointing", Json::Bool(true)),
        ("gang", Json::Bool(true)),
    ]);
    let job = fleet::job_id(4, 0);
    let path = format!("/q/{job}");
    wait_until("acceptance", Duration::from_secs(5), || {
        vms[0].submit(&path, SPEC, vec![step.clone()], &case.record) == Some(200)
    })?;
    let present = || case.ledger.runs_of(&job).len() as u64 == MEMBERS;
    wait_until("the gang", Duration::from_secs(10), present)?;
    pause(WORK_MS);
    if case.trouble {
        let runs = case.ledger.runs_of(&job);
        let worker = runs.first().map(|run| run.worker.clone()).unwrap_or_default();
        let crashed = workers.iter().find(|candidate| candidate.kind.id == worker);
        crashed.ok_or("no member runs")?.crash();
    }
    let over = || {
        let answer = vms[0].state(&path, &case.record);
        pause(200);
        answer.is_some_and(|(_, state)| state == "completed" || state == "failed")
    };
    wait_until("the job", Duration::from_secs(60), over)?;

    let mut by_run: BTreeMap<u32, BTreeSet<String>> = BTreeMap::new();
    for run in case.ledger.runs_of(&job) {
        by_run.entry(run.run).or_default().insert(run.checkpoint);
    }
    let mut broken = 0;
    for (run, checkpoints) in &by_run {
        case.record.say(format!("run {run} of the gang was started from {checkpoints:?}"));
        broken += usize::from(checkpoints.len() > 1);
    }
    Ok(broken == 0)
}
