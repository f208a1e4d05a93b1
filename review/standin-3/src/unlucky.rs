//! Workers crash one after the other, at random, while a job runs whose tasks last.

use {
    crate::{
        Outcome,
        node::Node,
        record::Record,
        state_of, store, submit, wait_until,
        worker::{Gangs, Worker},
    },
    std::{
        path::Path,
        thread,
        time::{Duration, Instant},
    },
};

const JOB: &str = "00000000000000a1";
const STEPS: &str =
    "[{\"count\":16,\"cpu\":2000,\"mem_mb\":64,\"estimate_ms\":500,\"long_running\":true}]";
const WORKERS: usize = 8;
/// How long a worker is down after a crash; the site's day has it down for 4.5 s.
const DOWN: Duration = Duration::from_millis(1_500);
const GAP: Duration = Duration::from_millis(1_600);
const LENGTH: Duration = Duration::from_secs(90);

pub fn run(record: &Record, folder: &Path, trouble: bool) -> Outcome {
    let store = store();
    let rack = |n: usize| format!("r{}", n / 2);
    let workers: Vec<Worker> = (0..WORKERS)
        .map(|n| Worker::start(&format!("w{n}"), &rack(n), &store, record, &Gangs::default()))
        .collect();
    let (address, _) = store.serve();
    let node = Node::start("front-z-1", 1, address, folder);
    if !wait_until(Duration::from_secs(15), || node.is_ready()) {
        return Outcome::NotRun("the machine doesn't become ready".into());
    }
    thread::sleep(Duration::from_secs(4));
    if !submit(record, &node, JOB, "lasts", STEPS, 5) {
        return Outcome::NotRun("the job isn't accepted".into());
    }
    if !wait_until(Duration::from_secs(10), || record.tasks_of(JOB).len() == 16) {
        return Outcome::NotRun("the job isn't started".into());
    }
    let began = Instant::now();
    let mut seed: u64 = 0x9e37_79b9_7f4a_7c15;
    let mut last = WORKERS;
    while began.elapsed() < LENGTH {
        thread::sleep(GAP);
        if trouble {
            let mut next = last;
            while next == last {
                seed ^= seed << 13;
                seed ^= seed >> 7;
                seed ^= seed << 17;
                next = (seed % WORKERS as u64) as usize;
            }
            last = next;
            workers[next].crash(&store, DOWN);
        }
        let (status, state) = state_of(record, &node, JOB);
        if status == 200 && (state == "failed" || state == "cancelled") {
            let tasks = record.tasks_of(JOB);
            let failed: u32 = tasks.iter().map(|(_, task)| task.failed).sum();
            record.line(&format!(
                "the job is shown as {state}; {failed} runs ended failed: {tasks:?}"
            ));
            return Outcome::Broken;
        }
    }
    Outcome::Held
}
