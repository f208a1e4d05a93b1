//! A gang comes that no cell has enough workers for, though the service has.

use {
    crate::{
        Outcome,
        node::Node,
        record::Record,
        state_of, store, submit, wait_until,
        worker::{Gangs, Worker},
    },
    std::{path::Path, thread, time::Duration},
};

const JOB: &str = "00000000000000e1";
const MACHINES: u8 = 3;
const WORKERS: usize = 96;
/// The members of the gang, each of which takes most of a worker.
const MEMBERS: usize = 40;
/// The members without the disruption.
const FEW_MEMBERS: usize = 20;
/// How long a member runs, in milliseconds.
const RUN_MS: &str = "3000";
/// How long after the submission the job is looked at: `finish_s`.
const FINISH: Duration = Duration::from_secs(14);
/// How long the job has to have nothing running.
const IDLE: Duration = Duration::from_secs(3);

pub fn run(record: &Record, folder: &Path, trouble: bool) -> Outcome {
    let store = store();
    let start = |n: usize| {
        let (id, rack) = (format!("w{n:02}"), format!("r{}", n / 6));
        Worker::start(&id, &rack, &store, record, &Gangs::default())
    };
    let workers: Vec<Worker> = (0..WORKERS).map(start).collect();
    let nodes: Vec<Node> = (1..=MACHINES)
        .map(|n| Node::start(&format!("front-z-{n}"), n, store.serve().0, folder))
        .collect();
    if !wait_until(Duration::from_secs(15), || nodes.iter().all(Node::is_ready)) {
        return Outcome::NotRun("the machines don't become ready".into());
    }
    thread::sleep(Duration::from_secs(6));
    let members = if trouble { MEMBERS } else { FEW_MEMBERS };
    let steps = format!(
        "[{{\"count\":{members},\"cpu\":12000,\"mem_mb\":64,\"estimate_ms\":3000,\"gang\":true}}]"
    );
    if !submit(record, &nodes[0], JOB, RUN_MS, &steps, 5) {
        return Outcome::NotRun("the job isn't accepted".into());
    }
    let has_run = || !record.tasks_of(JOB).is_empty();
    wait_until(FINISH, has_run);
    let ok = wait_until(IDLE, has_run);
    state_of(record, &nodes[0], JOB);
    let running = workers.iter().map(Worker::running).sum::<usize>();
    record.line(&format!("{running} tasks run on {} workers", workers.len()));
    if ok { Outcome::Held } else { Outcome::Broken }
}
