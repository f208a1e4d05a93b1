//! Workers that beat are cut off from the VMs, from the store or from both. In series that overlap with the
//! cuts, workers drain and leave, workers restart, and VMs are killed, stopped and paused.

use {
    super::*,
    cut::Cut,
    std::{ops::Range, time::UNIX_EPOCH},
    tokio::task::JoinHandle,
};

/// Begins a disturbance, all of which it draws at once.
type Begin = fn(&Rc<Soak>, &mut Pcg64Mcg) -> Vec<JoinHandle<()>>;
/// The time between two disturbances in milliseconds, and what begins one.
pub(crate) type Series = (Range<u64>, Begin);

/// The series beside cuts.
const SERIES: [Series; 4] = [
    (400..1_200, begin_cuts),
    (500..1_500, begin_leaves),
    (1_500..4_000, begin_restart),
    (3_000..9_000, begin_fault),
];
/// Maximum number of neighbours that are cut off together.
const MAX_CUT: usize = 4;
/// Maximum number of neighbours that drain together.
const MAX_LEAVING: usize = 3;
/// Duration of a cut, in milliseconds.
const CUT_MS: Range<u64> = 1_000..8_000;
/// Maximum share of a cut from both for which the workers still reach the VMs.
const MAX_LEAD: f64 = 0.5;
/// How long a worker goes on once its entry says that it drains, in milliseconds.
const STAY_MS: Range<u64> = 3_000..12_000;
/// Time between the end of a worker and the start of the next one under its ID, in milliseconds.
const ABSENCE_MS: Range<u64> = 300..2_000;
/// Faults of the VMs, and their duration in milliseconds.
const VM_FAULTS: [Fault; 3] = [Fault::Kill, Fault::Pause, Fault::Stop];
const FAULT_MS: Range<u64> = 300..3_500;
/// How often a worker that is cut off from the store tries to say that it drains.
const RETRY_INTERVAL: Duration = Duration::from_millis(50);

impl Soak {
    /// Cuts workers off until `end`, and waits until all disturbances are over.
    pub(crate) async fn cut_off(self: Rc<Self>, end: Instant) {
        self.run_all_series(end, &SERIES).await;
    }

    /// Runs the series until `end`, and waits until their disturbances are over. The beats go on.
    pub(crate) async fn run_all_series(self: Rc<Self>, end: Instant, series: &[Series]) {
        // How often requests draw depends on timing, so each series has a source of its own.
        let source = |number: u64| Pcg64Mcg::seed_from_u64(!(self.plan.seed ^ number << 32));
        self.start_beats(source(0));
        let series: Vec<_> = (1..)
            .zip(series)
            .map(|(number, (interval_ms, begin))| {
                let interval_ms = interval_ms.clone();
                spawn_local(self.clone().run_series(end, source(number), interval_ms, *begin))
            })
            .collect();
        for task in series {
            // A panic of the task ends the run.
            task.await.expect("a finished task");
        }
    }

    async fn run_series(
        self: Rc<Self>,
        end: Instant,
        mut random: Pcg64Mcg,
        interval_ms: Range<u64>,
        begin: Begin,
    ) {
        let mut begun = Vec::new();
        while Instant::now() < end {
            begun.extend(begin(&self, &mut random));
            sleep(duration(&mut random, interval_ms.clone())).await;
        }
        for task in begun {
            task.await.expect("a finished task");
        }
    }

    /// Lets every worker write its entry from now on, so that the entry is soon that of its current life.
    pub(crate) fn start_beats(self: &Rc<Self>, mut random: Pcg64Mcg) {
        for number in 0..self.workers.len() {
            let phase = random.random_range(Duration::ZERO..HEARTBEAT);
            spawn_local(self.clone().keep_beating(number, phase));
        }
    }

    async fn keep_beating(self: Rc<Self>, number: usize, phase: Duration) {
        sleep(phase).await;
        loop {
            if !self.workers[number].0.is_down() {
                self.beat(number);
            }
            sleep(HEARTBEAT).await;
        }
    }

    /// Records a step with the Unix time in milliseconds.
    pub(crate) fn record_step(&self, step: &str) {
        let is_partitioned = self.plan.disruption == Disruption::Partitions;
        let file = if is_partitioned { "partitions.log" } else { "cuts.log" };
        let time = UNIX_EPOCH.elapsed().unwrap_or_default().as_millis();
        self.record(file, &format!("{time} {step}"));
    }

    /// Records what a worker does or suffers now.
    fn record_worker_step(&self, number: usize, step: &str) {
        self.record_step(&format!("{} {step}", self.workers[number].0.id));
    }

    /// Writes the worker's entry if it reaches the store, and returns whether it does.
    pub(crate) fn beat(&self, number: usize) -> bool {
        let ((worker, relay), link) = (&self.workers[number], &self.links[number]);
        if link.reaches_store() {
            worker.beat(&self.store, relay.address, link.draining.get());
        }
        link.reaches_store()
    }

    async fn cut_worker(self: Rc<Self>, number: usize, cut: Cut, lead: Duration, time: Duration) {
        let end = Instant::now() + time;
        let ((_, relay), link) = (&self.workers[number], &self.links[number]);
        self.record_worker_step(number, &format!("{} {lead:?} {time:?}", cut.name()));
        if cut == Cut::Both {
            link.cut(relay, Cut::Store);
            sleep(lead).await;
            link.cut(relay, Cut::Vms);
        } else {
            link.cut(relay, cut);
        }
        sleep_until(end).await;
        link.heal(relay, cut);
    }

    /// Lets a worker drain and leave, unless it changes already, and starts another one under its ID.
    async fn drain_and_leave(self: Rc<Self>, number: usize, stay: Duration, absence: Duration) {
        let ((worker, relay), link) = (&self.workers[number], &self.links[number]);
        if link.changing.replace(true) {
            return;
        }
        self.count("worker-leave");
        link.draining.set(true);
        while !self.beat(number) {
            sleep(RETRY_INTERVAL).await;
        }
        self.record_worker_step(number, "drain");
        sleep(stay).await;
        self.record_worker_step(number, "leave");
        let reaches_store = link.reaches_store();
        link.cut(relay, Cut::Both);
        worker.crash();
        if reaches_store {
            self.store.remove(&worker.key());
        }
        sleep(absence).await;
        link.draining.set(false);
        link.heal(relay, Cut::Both);
        self.beat(number);
        link.changing.set(false);
    }

    /// Restarts a worker behind a cut, unless it changes already.
    async fn restart_worker(self: Rc<Self>, number: usize, cut: Cut, times: [Duration; 2]) {
        let ((worker, relay), link) = (&self.workers[number], &self.links[number]);
        if link.changing.replace(true) {
            return;
        }
        self.count("worker-restart");
        link.cut(relay, cut);
        sleep(times[0]).await;
        self.record_worker_step(number, "restart");
        worker.crash();
        self.beat(number);
        sleep(times[1]).await;
        link.heal(relay, cut);
        link.changing.set(false);
    }
}

fn begin_cuts(soak: &Rc<Soak>, random: &mut Pcg64Mcg) -> Vec<JoinHandle<()>> {
    let cut = [Cut::Both, Cut::Both, Cut::Both, Cut::Store, Cut::Vms][random.random_range(0..5)];
    let time = duration(random, CUT_MS);
    let lead = time.mul_f64(random.random_range(0.0..MAX_LEAD));
    soak.count(cut.name());
    let begin = |number| spawn_local(soak.clone().cut_worker(number, cut, lead, time));
    neighbours(soak, random, MAX_CUT).map(begin).collect()
}

fn begin_leaves(soak: &Rc<Soak>, random: &mut Pcg64Mcg) -> Vec<JoinHandle<()>> {
    let (stay, absence) = (duration(random, STAY_MS), duration(random, ABSENCE_MS));
    let begin = |number| spawn_local(soak.clone().drain_and_leave(number, stay, absence));
    neighbours(soak, random, MAX_LEAVING).map(begin).collect()
}

/// Draws up to `most` workers that follow one another.
fn neighbours(soak: &Soak, random: &mut Pcg64Mcg, most: usize) -> impl Iterator<Item = usize> {
    let workers = soak.workers.len();
    let (first, count) = (random.random_range(0..workers), random.random_range(1..=most));
    (first..first + count).map(move |number| number % workers)
}

pub(crate) fn begin_restart(soak: &Rc<Soak>, random: &mut Pcg64Mcg) -> Vec<JoinHandle<()>> {
    let number = random.random_range(0..soak.workers.len());
    let cut = if random.random_bool(0.5) { Cut::Both } else { Cut::Vms };
    let times = [duration(random, ABSENCE_MS), duration(random, ABSENCE_MS)];
    vec![spawn_local(soak.clone().restart_worker(number, cut, times))]
}

pub(crate) fn begin_fault(soak: &Rc<Soak>, random: &mut Pcg64Mcg) -> Vec<JoinHandle<()>> {
    let vm = soak.vms[random.random_range(0..soak.vms.len())].clone();
    let (fault, time) = draw_fault(random);
    soak.count(fault.name());
    let soak = soak.clone();
    vec![spawn_local(async move { soak.apply_fault_to(fault, time, &vm, 0).await })]
}

/// Draws a fault of a VM, and its duration.
pub(crate) fn draw_fault(random: &mut Pcg64Mcg) -> (Fault, Duration) {
    let fault = VM_FAULTS[random.random_range(0..VM_FAULTS.len())];
    (fault, duration(random, FAULT_MS))
}

/// Draws a duration from a range of milliseconds.
pub(crate) fn duration(random: &mut Pcg64Mcg, range_ms: Range<u64>) -> Duration {
    Duration::from_millis(random.random_range(range_ms))
}
