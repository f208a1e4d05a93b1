//! One machine of two is stopped and started again while the store loses answers; later the other one is lost for
//! good.

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

const STEPS: &str = "[{\"count\":2,\"cpu\":1000,\"mem_mb\":64,\"estimate_ms\":300}]";
/// How long the store loses the answers to the writes of the machine that is stopped.
const LOSING: Duration = Duration::from_millis(500);
/// How much later these writes are done: at most 6 s, by the bench's list of kinds.
const LATE: Duration = Duration::from_millis(5_900);
/// How long the last jobs may take: the longest wait for a new owner, and `finish_s`.
const FINISH: Duration = Duration::from_secs(30);

pub fn run(record: &Record, folder: &Path, trouble: bool) -> Outcome {
    let store = store();
    let workers: Vec<Worker> = (0..4)
        .map(|n| Worker::start(&format!("w{n}"), "r1", &store, record, &Gangs::default()))
        .collect();
    let (store_a, port_a) = store.serve();
    let (store_b, port_b) = store.serve();
    let mut nodes = [
        Node::start("front-z-1", 1, store_a, folder),
        Node::start("front-z-2", 2, store_b, folder),
    ];
    if !wait_until(Duration::from_secs(15), || nodes.iter().all(Node::is_ready)) {
        return Outcome::NotRun("the machines don't become ready".into());
    }
    thread::sleep(Duration::from_secs(5));
    for n in 0..4_u32 {
        let job = format!("{n:016x}");
        if !submit(record, &nodes[n as usize % 2], &job, "300", STEPS, 5) {
            return Outcome::NotRun("the first jobs aren't accepted".into());
        }
    }
    let done =
        |job: &str| record.tasks_of(job).iter().filter(|(_, task)| task.done > 0).count() == 2;
    if !wait_until(Duration::from_secs(10), || (0..4).all(|n| done(&format!("{n:016x}")))) {
        return Outcome::NotRun("the first jobs aren't run".into());
    }

    // The records of the first jobs are complete by now, so that few writes are lost.
    thread::sleep(Duration::from_secs(2));
    record.line("platform: SIGTERM to front-z-1");
    if trouble {
        *port_a.late.lock().unwrap() = Some((Instant::now() + LOSING, LATE));
    }
    let writes_before = *port_a.writes.lock().unwrap() + *port_b.writes.lock().unwrap();
    nodes[0].terminate();
    if !wait_until(Duration::from_secs(6), || nodes[0].has_ended()) {
        record.line("platform: SIGKILL to front-z-1 after grace_s");
        nodes[0].kill();
    }
    record.line("platform: front-z-1 has ended, and starts again");
    nodes[0].start_again();
    if !wait_until(Duration::from_secs(10), || nodes[0].is_ready()) {
        return Outcome::NotRun("the machine that was stopped doesn't come back".into());
    }
    record.line("front-z-1 is ready");
    for n in 4..16_u32 {
        submit(record, &nodes[n as usize % 2], &format!("{n:016x}"), "300", STEPS, 3);
        thread::sleep(Duration::from_secs(1));
    }
    let writes = *port_a.writes.lock().unwrap() + *port_b.writes.lock().unwrap() - writes_before;
    let late = port_a.late_writes.lock().unwrap().clone();
    record.line(&format!("store: {} of {writes} writes were done late: {late:?}", late.len()));
    if trouble && late.is_empty() {
        return Outcome::NotRun("the machine wrote nothing while it was stopped".into());
    }

    record.line("platform: front-z-2 is lost for good");
    nodes[1].kill();
    thread::sleep(Duration::from_secs(4));
    let mut accepted = Vec::new();
    for n in 16..24_u32 {
        let job = format!("{n:016x}");
        if submit(record, &nodes[0], &job, "300", STEPS, 3) {
            accepted.push(job);
        }
        thread::sleep(Duration::from_millis(500));
    }
    if accepted.is_empty() {
        return Outcome::NotRun("the machine that is left accepts no job".into());
    }
    let all_done = wait_until(FINISH, || accepted.iter().all(|job| done(job)));
    for job in &accepted {
        state_of(record, &nodes[0], job);
        record.line(&format!("runs of {job}: {:?}", record.tasks_of(job)));
    }
    let running: usize = workers.iter().map(Worker::running).sum();
    record.line(&format!("{running} tasks run on {} workers", workers.len()));
    if all_done { Outcome::Held } else { Outcome::Broken }
}
