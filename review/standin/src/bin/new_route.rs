//! The operator adds a route while one connection of a VM to the store has gone silent. Jobs of the
//! new route are accepted by another VM.

use {
    review_standin::{
        case::{self, Case, Verdict, pause, wait_until},
        fleet::{self, Deployment},
        json::object,
        worker::Kind,
    },
    std::{process::ExitCode, time::Duration},
};

/// Run time of a task, its processors in thousandths of a core and its memory in MB.
const SPEC: &str = "1000 2000 1000";
/// Jobs of the new route, and the time between two of them in milliseconds.
const JOBS: u64 = 3;
const INTERVAL_MS: u64 = 100;
/// `finish_s` after the end of the traffic, in milliseconds.
const FINISH_MS: u64 = 14_000;

fn main() -> ExitCode {
    case::run(play)
}

fn play(case: &Case) -> Verdict {
    let old = fleet::route("q", "/q/", "desk");
    let new = fleet::route("n", "/n/", "desk");
    case.store.put("op/config", &fleet::config(1, vec![old.clone()], &["desk"]));
    let mut workers = Vec::new();
    for number in 0..6 {
        let kind = Kind {
            id: format!("w{number}"),
            service: "desk",
            zone: "a",
            cpu: 16_000,
            mem_mb: 64_000,
            labels: vec!["a".into(), "r1".into()],
            hold_max_ms: 6_000,
            checkpoint_ms: 1_000,
        };
        workers.push(case.worker(kind, 0, Duration::ZERO)?);
    }
    let vms = fleet::start(case, 2, 1, Deployment { cpu_share: 0.1, hold_max_ms: 6_000 })?;
    // The VM that orders the starts, by its name in the system's own record.
    let heads = case.store.items("h/");
    let owner = heads.first().map(|(_, head)| head.get("owner").text().to_owned());
    let owner = owner.ok_or("no owner")?;
    let owner = vms.iter().position(|vm| owner.starts_with(&format!("{}@", vm.name)));
    let owner = owner.ok_or("the owner is not known")?;
    let front = &vms[1 - owner];
    let step = object(vec![
        ("count", 1.into()),
        ("cpu", 2_000.into()),
        ("mem_mb", 1_000.into()),
        ("estimate_ms", 1_000.into()),
    ]);
    let early = format!("/q/{}", fleet::job_id(3, 100));
    wait_until("acceptance", Duration::from_secs(5), || {
        front.submit(&early, SPEC, vec![step.clone()], &case.record) == Some(200)
    })?;
    let is_completed = |path: &str| {
        front.state(path, &case.record).is_some_and(|(_, state)| state == "completed")
    };
    wait_until("the early job", Duration::from_secs(10), || is_completed(&early))?;

    let listener = owner + 1;
    wait_until("a watch", Duration::from_secs(5), || {
        let age = case.store.watch_age(listener, "op/config");
        age.is_some_and(|age| age < Duration::from_millis(300))
    })?;
    if case.trouble {
        case.store.silence_watch(listener, "op/config");
        pause(30);
    }
    case.store.put("op/config", &fleet::config(2, vec![old, new], &["desk"]));
    case.record.line("operator: version 2 with route n is acknowledged");
    let paths: Vec<String> = (0..JOBS).map(|n| format!("/n/{}", fleet::job_id(3, n))).collect();
    for path in &paths {
        // 404 until this VM has the new version.
        wait_until("acceptance", Duration::from_secs(2), || {
            front.submit(path, SPEC, vec![step.clone()], &case.record) == Some(200)
        })?;
        pause(INTERVAL_MS);
    }
    pause(FINISH_MS);
    let used: u64 = workers.iter().map(|worker| worker.used_milli()).sum();
    case.record.say(format!("the workers use {used} thousandths of a core"));
    let mut lost = 0;
    for path in &paths {
        let job = path.rsplit('/').next().unwrap_or_default();
        let runs = case.ledger.runs_of(job).len();
        if runs == 0 && !is_completed(path) {
            lost += 1;
            case.record.line(format!("LOST: job {job} has never had a task running"));
        }
    }
    case.record.say(format!("{lost} of {JOBS} accepted jobs have had nothing running for {FINISH_MS} ms"));
    Ok(lost == 0)
}
