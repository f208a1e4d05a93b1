//! A job of very many small tasks comes, and then some small jobs.

use {
    crate::{
        Outcome,
        node::{self, Node},
        record::{self, Record},
        state_of, store, submit, wait_until,
        worker::{Gangs, Worker},
    },
    std::{path::Path, thread, time::Duration},
};

/// The tasks of the wide job take 28% of the workers' processors.
const TASKS: usize = 20_000;
/// How many tasks each job has that takes the place of the wide one without the disruption.
const TASKS_EACH: usize = 1_000;
/// How long a task of these runs, in milliseconds.
const RUN_MS: &str = "60000";
const LASTING_STEPS: &str =
    "[{\"count\":2,\"cpu\":1000,\"mem_mb\":64,\"estimate_ms\":500,\"long_running\":true}]";
const WORKERS: usize = 66;
/// How long after the last submission jobs are looked at: `finish_s`.
const FINISH: Duration = Duration::from_secs(14);
/// How long a job has to have nothing running.
const IDLE: Duration = Duration::from_secs(3);

pub fn run(record: &Record, folder: &Path, trouble: bool) -> Outcome {
    let store = store();
    let start = |n: usize| {
        let (id, rack) = (format!("i-{n:010x}"), format!("r{}", n / 8));
        Worker::start(&id, &rack, &store, record, &Gangs::default())
    };
    let workers: Vec<Worker> = (0..WORKERS).map(start).collect();
    let nodes: Vec<Node> = (1..=2)
        .map(|n| {
            let name = format!("front-z-{n}");
            Node::with_share(&name, n, store.serve().0, folder, node::QUARTER)
        })
        .collect();
    if !wait_until(Duration::from_secs(15), || nodes.iter().all(Node::is_ready)) {
        return Outcome::NotRun("the machines don't become ready".into());
    }
    thread::sleep(Duration::from_secs(5));
    let each = if trouble { TASKS } else { TASKS_EACH };
    let steps = format!("[{{\"count\":{each},\"cpu\":15,\"mem_mb\":1,\"estimate_ms\":60000}}]");
    let mut accepted = Vec::new();
    for n in 0..TASKS / each {
        let job = format!("{}{n:02x}", record::WIDE_PREFIX);
        if submit(record, &nodes[0], &job, RUN_MS, &steps, 3) {
            accepted.push(job);
        }
    }
    thread::sleep(Duration::from_secs(3));
    for n in 0..4_u32 {
        let job = format!("00000000000000d{n}");
        if submit(record, &nodes[n as usize % 2], &job, "lasts", LASTING_STEPS, 3) {
            accepted.push(job);
        }
    }
    if accepted.is_empty() {
        return Outcome::NotRun("no job is accepted".into());
    }
    let has_run = |job: &String| !record.tasks_of(job).is_empty();
    wait_until(FINISH, || accepted.iter().all(has_run));
    let ok = wait_until(IDLE, || accepted.iter().all(has_run));
    for job in &accepted {
        state_of(record, &nodes[0], job);
        record.line(&format!("{} tasks of {job} have run", record.tasks_of(job).len()));
    }
    let running = workers.iter().map(Worker::running).sum::<usize>();
    record.line(&format!("{running} tasks run on {} workers", workers.len()));
    if ok { Outcome::Held } else { Outcome::Broken }
}
