//! Workers restart in series while orders to start runs reach them late, and callers leave and cancel jobs whose
//! acceptance the store carries out late. VMs are killed, stopped and paused meanwhile, and restarted while the removal
//! of their entries is late. Workers of a zone restart silently, their owner fails, and they are cut off from the VMs.

use {
    super::*,
    crate::cuts::{Series, begin_fault, draw_fault, duration},
    cut::Cut,
    soak::ZONES,
    std::ops::Range,
    tokio::task::JoinHandle,
};

/// The series of a run.
const SERIES: [Series; 6] = [
    (300..1_200, begin_late_orders),
    (1_000..3_000, begin_restarts),
    (300..900, begin_withdrawal),
    (4_000..9_000, begin_fault),
    (1_500..5_000, begin_late_removal),
    (4_000..8_000, begin_lost_owner),
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
/// Share of restarts after which the connections to the last life stay open and answer nothing, and which the store
/// learns of with the next beat.
const SILENT_SHARE: f64 = 0.5;
/// Time between a silent restart and the fault of a VM, in milliseconds, and the share of such faults that hit the owner
/// of the worker's cell.
const UNNOTICED_MS: Range<u64> = 100..2_000;
const OWNER_SHARE: f64 = 0.8;
/// For how long the worker is then cut off from the VMs, in milliseconds.
const UNREACHED_MS: Range<u64> = 3_000..9_000;
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
    async fn restart_in_series(self: Rc<Self>, number: usize, restarts: Vec<(bool, Duration)>) {
        let ((worker, _), link) = (&self.workers[number], &self.links[number]);
        if link.changing.replace(true) {
            return;
        }
        for (is_silent, pause) in restarts {
            if is_silent {
                self.count("worker-restart-silent");
                worker.restart_silently();
            } else {
                self.count("worker-restart");
                worker.crash();
                self.beat(number);
            }
            sleep(pause).await;
        }
        link.changing.set(false);
    }

    /// Restarts a worker silently, unless it changes already, and cuts it off from the VMs later.
    async fn restart_and_cut(self: Rc<Self>, number: usize, cut_at: Instant, time: Duration) {
        let ((worker, relay), link) = (&self.workers[number], &self.links[number]);
        if link.changing.replace(true) {
            return;
        }
        self.count("worker-restart-cut");
        worker.restart_silently();
        sleep_until(cut_at).await;
        link.cut(relay, Cut::Vms);
        sleep(time).await;
        link.heal(relay, Cut::Vms);
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
        let mut draw = |_| (random.random_bool(SILENT_SHARE), duration(random, RESTART_MS));
        let restarts = (0..restarts).map(&mut draw).collect();
        spawn_local(soak.clone().restart_in_series(number % workers, restarts))
    };
    (first..first + count).map(begin).collect()
}

fn begin_lost_owner(soak: &Rc<Soak>, random: &mut Pcg64Mcg) -> Vec<JoinHandle<()>> {
    let workers = soak.workers.len();
    let (first, count) = (random.random_range(0..workers), random.random_range(1..=MAX_RESTARTING));
    let fault_at = Instant::now() + duration(random, UNNOTICED_MS);
    let cut_time = duration(random, UNREACHED_MS);
    let (fault, fault_time) = draw_fault(random);
    let (hits_owner, other) =
        (random.random_bool(OWNER_SHARE), random.random_range(0..soak.vms.len()));
    // Every worker of a zone follows the last one at this distance.
    let begin = |index| {
        let number = (first + index * ZONES.len()) % workers;
        spawn_local(soak.clone().restart_and_cut(number, fault_at, cut_time))
    };
    let mut tasks: Vec<_> = (0..count).map(begin).collect();
    let soak = soak.clone();
    tasks.push(spawn_local(async move {
        sleep_until(fault_at).await;
        let owner = ownership::owner(&soak.store, &soak.workers[first].0.id);
        soak.count(fault.name());
        soak.count(if hits_owner && owner.is_some() { "lost-owner" } else { "lost-vm" });
        let number = owner.filter(|_| hits_owner).unwrap_or(other);
        let vm = soak.vms[number].clone();
        soak.apply_fault_to(fault, fault_time, &vm, 0).await;
    }));
    tasks
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
