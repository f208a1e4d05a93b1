//! Workers restart in series while orders to start runs reach them late, and callers leave and cancel jobs whose
//! acceptance the store carries out late. VMs are killed, stopped and paused meanwhile, and restarted while the removal
//! of their entries is late.

use {
    super::*,
    crate::cuts::{Series, begin_fault, duration},
    std::ops::Range,
    tokio::task::JoinHandle,
};

/// The series of a run.
const SERIES: [Series; 5] = [
    (300..1_200, begin_late_orders),
    (1_000..3_000, begin_restarts),
    (300..900, begin_withdrawal),
    (4_000..9_000, begin_fault),
    (1_500..5_000, begin_late_removal),
];
/// For how long starts that arrive at a worker are delayed, and by how much, in milliseconds.
const LATE_FOR_MS: Range<u64> = 100..600;
/// By how much an order, or the removal of a VM's entry, is carried out late, in milliseconds.
const LATE_BY_MS: Range<u64> = 1_000..7_000;
/// Maximum number of workers that restart together, and how often.
const MAX_RESTARTING: usize = 3;
const MAX_RESTARTS: u32 = 2;
/// Time between two restarts of a worker, in milliseconds.
const RESTART_MS: Range<u64> = 50..2_500;
/// By how much the store carries out the acceptance of a job late, in milliseconds.
const WRITE_DELAY_MS: Range<u64> = 500..6_000;
/// After how long a caller leaves, in milliseconds.
const PATIENCE_MS: Range<u64> = 50..1_500;
/// How long after a late write its job would have started.
const START_TIME: Duration = Duration::from_secs(4);
/// How often a cancelling is sent until it is acknowledged.
const MAX_CANCELS: usize = 20;
/// Number of the first withdrawn job in its ID.
const FIRST_WITHDRAWN: u32 = 1 << 30;

impl Soak {
    /// Runs the series until `end`, and waits until their disturbances are over.
    pub(crate) async fn restart_lives(self: Rc<Self>, end: Instant) {
        self.run_all_series(end, &SERIES).await;
    }

    /// Hands in a job whose acceptance is carried out late, leaves, and cancels it. Reports a violation if it
    /// starts after that was answered by 410.
    async fn withdraw(self: Rc<Self>, number: u32, delay: Duration, patience: Duration) {
        let id = format!("{:08x}{number:08x}", self.plan.seed);
        let path = format!("/q/{id}");
        self.store.delay_write(&format!("j/{id}"), delay);
        let step = json!({"count": 2, "cpu": 500, "mem_mb": 64, "estimate_ms": 300});
        let body = json!({"spec": "300 500", "steps": [step]}).to_string().into_bytes();
        let vm = self.random_vm();
        let offer = self.send(&vm, Method::POST, &path, body);
        // The caller leaves without an answer.
        let _ = tokio::time::timeout(patience, offer).await;
        if self.cancel_unknown(&path).await != Some(StatusCode::GONE) {
            return;
        }
        let starts = || -> u32 {
            (0..2).map(|index| self.ledger.entry(&format!("{id}.0.0.{index}")).starts).sum()
        };
        let before = starts();
        sleep(delay + START_TIME).await;
        if starts() > before {
            self.ledger.record_violation(format!(
                "job {id} started after its cancelling was acknowledged"
            ));
        }
    }

    /// Cancels a job that may not have been accepted until that is acknowledged, and returns the answer's status.
    async fn cancel_unknown(&self, path: &str) -> Option<StatusCode> {
        for _ in 0..MAX_CANCELS {
            let vm = self.random_vm();
            let answer = self.send(&vm, Method::DELETE, path, Vec::new()).await;
            match answer.map(|answer| answer.status) {
                Ok(status @ (StatusCode::OK | StatusCode::GONE)) => return Some(status),
                _ => sleep(Duration::from_millis(300)).await,
            }
        }
        self.count("withdrawal-unanswered");
        None
    }

    /// Restarts a worker in series, unless it changes already.
    async fn restart_in_series(self: Rc<Self>, number: usize, pauses: Vec<Duration>) {
        let ((worker, _), link) = (&self.workers[number], &self.links[number]);
        if link.changing.replace(true) {
            return;
        }
        for pause in pauses {
            self.count("worker-restart");
            worker.crash();
            self.beat(number);
            sleep(pause).await;
        }
        link.changing.set(false);
    }
}

fn begin_late_orders(soak: &Rc<Soak>, random: &mut Pcg64Mcg) -> Vec<JoinHandle<()>> {
    let number = random.random_range(0..soak.workers.len());
    let (time, delay) = (duration(random, LATE_FOR_MS), duration(random, LATE_BY_MS));
    let soak = soak.clone();
    soak.count("late-orders");
    vec![spawn_local(async move {
        let (worker, _) = &soak.workers[number];
        worker.delay_starts(Some(delay));
        sleep(time).await;
        worker.delay_starts(None);
        // The orders are carried out before the run is checked.
        sleep(delay).await;
    })]
}

fn begin_restarts(soak: &Rc<Soak>, random: &mut Pcg64Mcg) -> Vec<JoinHandle<()>> {
    let workers = soak.workers.len();
    let (first, count) = (random.random_range(0..workers), random.random_range(1..=MAX_RESTARTING));
    let restarts = random.random_range(1..=MAX_RESTARTS);
    let begin = |number| {
        let pauses = (0..restarts).map(|_| duration(random, RESTART_MS)).collect();
        spawn_local(soak.clone().restart_in_series(number % workers, pauses))
    };
    (first..first + count).map(begin).collect()
}

fn begin_late_removal(soak: &Rc<Soak>, random: &mut Pcg64Mcg) -> Vec<JoinHandle<()>> {
    let number = random.random_range(0..soak.vms.len());
    let delay = duration(random, LATE_BY_MS);
    let (soak, vm) = (soak.clone(), soak.vms[number].clone());
    soak.count("late-removal");
    soak.store.delay_write(&vm::entry_key(number), delay);
    vec![spawn_local(async move {
        soak.restart_vm(vm).await;
        // The removal is carried out before the run is checked.
        sleep(delay).await;
    })]
}

fn begin_withdrawal(soak: &Rc<Soak>, random: &mut Pcg64Mcg) -> Vec<JoinHandle<()>> {
    let number = FIRST_WITHDRAWN + (random.random::<u32>() >> 2);
    let (delay, patience) = (duration(random, WRITE_DELAY_MS), duration(random, PATIENCE_MS));
    soak.count("withdrawal");
    vec![spawn_local(soak.clone().withdraw(number, delay, patience))]
}
