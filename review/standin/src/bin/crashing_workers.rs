//! Workers crash again and again, chosen at random, while lasting jobs run that are sound.

use {
    review_standin::{
        case::{self, Case, Verdict, pause, wait_until},
        fleet::{self, Deployment},
        json::{Json, object},
        worker::Kind,
    },
    std::{collections::BTreeSet, process::ExitCode, time::Duration},
};

/// Workers, and how many of them crash at once: 0.133 of them.
const WORKERS: usize = 15;
const CRASHES: usize = 2;
/// How often workers crash, and how long they are down each time, in milliseconds.
const ROUNDS: usize = 18;
const DOWN_MS: u64 = 4_500;
/// A task that lasts: its processors in thousandths of a core and its memory in MB.
const SPEC: &str = "0 3200 2000";
/// Jobs, and tasks of each.
const JOBS: u64 = 8;
const TASKS: u64 = 6;
/// Seed of the choice of workers.
const SEED: u64 = 1;

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
        workers.push(case.worker(kind, 0, Duration::from_millis(number as u64 * 97))?);
    }
    let vms = fleet::start(case, 2, 1, Deployment { cpu_share: 0.1, hold_max_ms: 6_000 })?;
    let step = object(vec![
        ("count", TASKS.into()),
        ("cpu", 3_200.into()),
        ("mem_mb", 2_000.into()),
        ("long_running", Json::Bool(true)),
    ]);
    let mut paths = Vec::new();
    for number in 0..JOBS {
        let path = format!("/q/{}", fleet::job_id(6, number));
        let vm = &vms[number as usize % vms.len()];
        wait_until("acceptance", Duration::from_secs(5), || {
            vm.submit(&path, SPEC, vec![step.clone()], &case.record) == Some(200)
        })?;
        paths.push(path);
    }
    pause(3_000);
    let mut random = SEED;
    for _ in 0..ROUNDS {
        let mut chosen = BTreeSet::new();
        while chosen.len() < CRASHES {
            random = random.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1_442_695_040_888_963_407);
            chosen.insert((random >> 33) as usize % WORKERS);
        }
        let down = || chosen.iter().filter(|_| case.trouble).map(|number| &workers[*number]);
        down().for_each(|worker| worker.crash());
        pause(DOWN_MS);
        down().for_each(|worker| worker.restart(&case.store));
    }
    pause(1_000);
    let failed_ends = case.ledger.runs().iter().filter(|run| is_failure(run.ended)).count();
    let mut lost = 0;
    for path in &paths {
        let state = vms[0].state(path, &case.record).map(|(_, state)| state);
        if state.as_deref() == Some("failed") {
            lost += 1;
            case.record.line(format!("LOST: {path} is shown as failed"));
        }
    }
    case.record.say(format!(
        "{lost} of {JOBS} accepted jobs are shown as failed; {failed_ends} runs have ended failed"
    ));
    Ok(lost == 0)
}

fn is_failure(ended: Option<(u64, &'static str)>) -> bool {
    ended.is_some_and(|(_, how)| how == "failed")
}
