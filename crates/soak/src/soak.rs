//! One run of the soak test: starts the system, injects faults and checks the guarantees.

use super::*;

/// The state of a run in progress.
pub struct Soak {
    pub(crate) ledger: UsersLedger,
    /// Since when the store answers and all VMs run; `None` during and before a series of outages.
    pub(crate) calm_since: Cell<Option<Instant>>,
    /// Jobs by ID.
    pub(crate) jobs: RefCell<BTreeMap<String, Job>>,
    /// When a fault of the store for all VMs last began or ended.
    pub(crate) disturbed_at: Cell<Option<Instant>>,
    /// Number of injected faults by the name of their kind.
    fault_counts: RefCell<BTreeMap<&'static str, usize>>,
    pub(crate) http: Http,
    /// The workers' links, in the order of the workers.
    pub(crate) links: Vec<Link>,
    /// The longest absence of a lasting task that came back, as far as it counts.
    pub(crate) max_absence: Cell<Duration>,
    pub(crate) plan: Plan,
    pub(crate) random: RefCell<Pcg64Mcg>,
    pub(crate) store: UsersStore,
    pub(crate) vms: Vec<Rc<Vm>>,
    /// The wires of each VM beside partitions: to the store, then to each worker.
    pub(crate) wires: Vec<Vec<Wire>>,
    pub(crate) workers: Vec<(UsersWorker, TcpRelay)>,
}

/// How often a task may run before its job fails.
pub(crate) const MAX_TASK_ATTEMPTS: u32 = 3;
/// How long VMs may take to accept a job.
const READY_TIMEOUT: Duration = Duration::from_secs(15);
/// How long accepted jobs may take to end once all faults are healed: the longest wait for a worker
/// that a new owner cannot reach, plus the run time of the tasks.
const SETTLE_TIMEOUT: Duration = Duration::from_secs(40);
/// How long a VM may take to write its entry: a restart of its process, with its grace period, and a lease.
const ENTRY_TIMEOUT: Duration = Duration::from_secs(10);
/// The availability zones of the workers.
pub(crate) const ZONES: [&str; 2] = ["a", "b"];
/// Time between submissions of new jobs.
const SUBMIT_INTERVAL: Duration = Duration::from_millis(70);
/// The same beside lasting jobs, which need room on the workers that outages leave.
const SPARSE_INTERVAL: Duration = Duration::from_millis(200);
/// Shortest time between injected faults, in milliseconds; the longest is four times that.
const MIN_FAULT_INTERVAL_MS: u64 = 300;

impl Soak {
    /// Starts the system, and returns the report of a whole run.
    pub async fn run(plan: Plan) -> miette::Result<Report> {
        fs::create_dir_all(&plan.directory).into_diagnostic()?;
        let (store, address) = UsersStore::start().await.into_diagnostic()?;
        store.put("op/config", &config(1));
        let ledger = UsersLedger::default();
        let mut workers = Vec::new();
        for number in 0..plan.workers {
            let started = UsersWorker::start(&format!("i-{number:04}"), ledger.clone()).await;
            let (worker, target) = started.into_diagnostic()?;
            let worker = worker.in_zone(ZONES[number % ZONES.len()]);
            let relay = TcpRelay::start(([127, 0, 0, 1], 0).into(), target).await;
            let relay = relay.into_diagnostic()?;
            worker.register(&store, relay.address, false);
            workers.push((worker, relay));
        }
        let block = vm::address_block();
        if plan.disruption == Disruption::Partitions {
            store.put("m/map", &partitions::map(&plan, &workers));
        }
        let (mut vms, mut wires) = (Vec::new(), Vec::new());
        for number in 0..plan.vms {
            let mut address = address;
            if plan.disruption == Disruption::Partitions {
                let vm_wires = Wire::start_all(&store, &workers).await?;
                address = vm_wires[0].address();
                wires.push(vm_wires);
            }
            vms.push(Rc::new(Vm::start(&plan, block, number, address).await?));
        }
        let soak = Rc::new(Self {
            ledger,
            calm_since: Cell::new(None),
            jobs: RefCell::default(),
            disturbed_at: Cell::new(None),
            fault_counts: RefCell::default(),
            http: Http::default(),
            links: workers.iter().map(|_| Link::default()).collect(),
            max_absence: Cell::default(),
            random: RefCell::new(Pcg64Mcg::seed_from_u64(plan.seed)),
            plan,
            store,
            vms,
            wires,
            workers,
        });
        soak.clone().execute().await
    }

    /// Submits jobs while faults are injected, then heals all faults and checks the results.
    async fn execute(self: Rc<Self>) -> miette::Result<Report> {
        self.wait_ready().await?;
        let end = Instant::now() + self.plan.fault_duration;
        if matches!(self.plan.disruption, Disruption::Crashes | Disruption::Faults) {
            self.start_beats(Pcg64Mcg::seed_from_u64(!self.plan.seed));
        }
        let injecting = match self.plan.disruption {
            Disruption::Crashes => spawn_local(self.clone().crash(end)),
            Disruption::Cuts => spawn_local(self.clone().cut_off(end)),
            Disruption::Faults => spawn_local(self.clone().inject(end)),
            Disruption::Lives => spawn_local(self.clone().restart_lives(end)),
            Disruption::Maintenance => spawn_local(self.clone().maintain(end)),
            Disruption::Outages => spawn_local(self.clone().interrupt(end)),
            Disruption::Partitions => spawn_local(self.clone().partition(end)),
        };
        let outlasts_end = self.plan.disruption == Disruption::Outages;
        let interval = if outlasts_end { SPARSE_INTERVAL } else { SUBMIT_INTERVAL };
        let mut number = 0;
        while Instant::now() < end || outlasts_end && !injecting.is_finished() {
            number += 1;
            spawn_local(self.clone().submit(number));
            let queried = self.random_job_id();
            if let Some(id) = queried {
                let soak = self.clone();
                spawn_local(async move { soak.query(&id).await });
            }
            sleep(interval).await;
        }
        injecting.await.into_diagnostic()?;
        self.heal()?;
        self.cancel_lasting().await;
        self.settle().await;
        Ok(self.report())
    }

    /// Waits until every VM has accepted a job.
    async fn wait_ready(&self) -> miette::Result<()> {
        let end = Instant::now() + READY_TIMEOUT;
        let body =
            json!({"spec": "50 500", "steps": [{"count": 1, "cpu": 500, "estimate_ms": 50}]});
        for (vm_number, vm) in (0..).zip(&self.vms) {
            loop {
                let path = format!("/q/{:016x}", u64::MAX - vm_number);
                let body = body.to_string().into_bytes();
                let answer = self.send(vm, Method::POST, &path, body).await;
                if answer.is_ok_and(|answer| answer.status.is_success()) {
                    break;
                }
                if Instant::now() > end {
                    return Err(miette::miette!(
                        "the VM at {} was not ready in time: see its log",
                        vm.front
                    ));
                }
                sleep(Duration::from_millis(100)).await;
            }
        }
        Ok(())
    }

    pub(crate) fn random_vm(&self) -> Rc<Vm> {
        let number = self.random.borrow_mut().random_range(0..self.vms.len());
        self.vms[number].clone()
    }

    /// Returns the ID of a random job, open or not; `None` before the first.
    fn random_job_id(&self) -> Option<String> {
        let jobs = self.jobs.borrow();
        let ids: Vec<&String> = jobs.keys().collect();
        let number = (!ids.is_empty()).then(|| self.random.borrow_mut().random_range(0..ids.len()));
        number.map(|number| ids[number].clone())
    }

    /// Injects random faults until `end`; they may overlap.
    async fn inject(self: Rc<Self>, end: Instant) {
        while Instant::now() < end {
            let (fault, interval, duration) = {
                let mut random = self.random.borrow_mut();
                let fault = Fault::ALL[random.random_range(0..Fault::ALL.len())];
                let interval =
                    random.random_range(MIN_FAULT_INTERVAL_MS..4 * MIN_FAULT_INTERVAL_MS);
                let duration = random.random_range(100..3_500);
                (fault, Duration::from_millis(interval), Duration::from_millis(duration))
            };
            self.count(fault.name());
            spawn_local(self.clone().apply_fault(fault, duration));
            sleep(interval).await;
        }
    }

    /// Counts a fault, or a planned step, by its name.
    pub(crate) fn count(&self, name: &'static str) {
        *self.fault_counts.borrow_mut().entry(name).or_default() += 1;
    }

    /// Applies a fault to a random VM or worker, or to the store; a fault that has to be ended lasts
    /// at most twice `duration`. Starts ended VMs again afterwards.
    async fn apply_fault(self: Rc<Self>, fault: Fault, duration: Duration) {
        let vm = self.random_vm();
        let number = self.random.borrow_mut().random_range(0..self.workers.len());
        self.apply_fault_to(fault, duration, &vm, number).await;
    }

    /// Applies a fault to the VM or the worker, as `apply_fault` does.
    pub(crate) async fn apply_fault_to(
        &self,
        fault: Fault,
        duration: Duration,
        vm: &Vm,
        number: usize,
    ) {
        let (worker, relay) = &self.workers[number];
        match fault {
            Fault::Stop => {
                vm.request_stop();
                let stopped_at = vm.stop_requested_at.get();
                sleep(Duration::from_secs(6)).await;
                // The signal hits the grace period of a process that was started since then.
                let hits_other =
                    vm.stop_requested_at.get().is_some_and(|at| Some(at) != stopped_at);
                if vm.is_running() && hits_other {
                    vm.mark_disturbed();
                    self.count("stop-cut-short");
                }
                vm.signal(Signal::KILL);
            }
            Fault::Hangup => vm.signal(Signal::HUP),
            Fault::WorkerCrash => worker.crash(),
            Fault::WorkerCut => {
                relay.cut();
                sleep(duration * 2).await;
                relay.heal();
            }
            Fault::WorkerFail => {
                worker.set_failing(true);
                sleep(duration / 2).await;
                worker.set_failing(false);
            }
            Fault::WorkerSilence => relay.silence(),
            Fault::Cut => {
                vm.mark_disturbed();
                vm.store_relay.cut();
                sleep(duration * 2).await;
                vm.store_relay.heal();
            }
            Fault::Delay => {
                vm.mark_disturbed();
                vm.store_relay.delay(duration / 10);
                sleep(duration).await;
                vm.store_relay.heal();
            }
            Fault::Silence => {
                vm.mark_disturbed();
                vm.store_relay.silence();
            }
            Fault::Kill => {
                vm.mark_disturbed();
                vm.signal(Signal::KILL);
                sleep(duration / 2).await;
            }
            Fault::Herd => {
                for vm in &self.vms {
                    vm.mark_disturbed();
                    vm.signal(Signal::KILL);
                }
                sleep(duration / 2).await;
            }
            Fault::Pause => {
                vm.mark_disturbed();
                vm.pause(true);
                sleep(duration).await;
                vm.mark_disturbed();
                vm.pause(false);
            }
            Fault::Forget => self.store.compact(),
            Fault::Revoke => {
                self.disturbed_at.set(Some(Instant::now()));
                self.store.revoke_all();
            }
            Fault::StoreBusy => self.disrupt_store(Availability::Busy, duration).await,
            Fault::Mute => self.disrupt_store(Availability::Mute, duration / 2).await,
        }
        self.spawn_vms();
    }

    /// Starts ended VMs again.
    pub(crate) fn spawn_vms(&self) {
        for vm in &self.vms {
            if vm.spawn().is_err() {
                self.ledger.record_violation("an ended VM could not be started again".into());
            }
        }
    }

    async fn disrupt_store(&self, availability: Availability, duration: Duration) {
        self.disturbed_at.set(Some(Instant::now()));
        self.store.set_availability(availability);
        sleep(duration).await;
        self.store.set_availability(Availability::Up);
        self.disturbed_at.set(Some(Instant::now()));
    }

    /// Ends every fault, and starts ended VMs again.
    fn heal(&self) -> miette::Result<()> {
        self.store.set_availability(Availability::Up);
        for (worker, relay) in &self.workers {
            worker.set_failing(false);
            relay.heal();
        }
        for vm in &self.vms {
            vm.store_relay.heal();
            vm.pause(false);
            vm.spawn()?;
        }
        Ok(())
    }

    /// Waits until every accepted job is over, and reports those that are not over in time.
    async fn settle(&self) {
        let end = Instant::now() + SETTLE_TIMEOUT;
        loop {
            self.spawn_vms();
            let open: Vec<String> = self
                .jobs
                .borrow()
                .values()
                .filter(|job| job.accepted && !is_over(&job.state))
                .map(|job| job.id.clone())
                .collect();
            if open.is_empty() {
                break;
            }
            if Instant::now() > end {
                for id in &open {
                    self.ledger
                        .record_violation(format!("job {id} was accepted but is not over in time"));
                }
                break;
            }
            for id in &open {
                self.query(id).await;
            }
            sleep(Duration::from_millis(200)).await;
        }
        // Lets the stops of the last cancelled jobs arrive at the workers.
        sleep(Duration::from_secs(1)).await;
        self.check_entries().await;
    }

    /// Reports each VM that runs and has no entry in the store: it would take part in nothing. Reports each worker whose
    /// entry is not that of its current life: it would get no runs.
    async fn check_entries(&self) {
        let end = Instant::now() + ENTRY_TIMEOUT;
        let missing = || {
            let keys = (0..self.vms.len()).map(vm::entry_key);
            keys.filter(|key| self.store.revision(key) == 0).collect::<Vec<String>>()
        };
        let outdated = || {
            let workers = self.workers.iter().map(|(worker, _)| worker);
            let is_outdated = |worker: &&UsersWorker| {
                self.worker_entry(worker).is_none_or(|entry| entry["born"] != worker.life())
            };
            workers.filter(is_outdated).map(UsersWorker::key).collect::<Vec<String>>()
        };
        while !(missing().is_empty() && outdated().is_empty()) && Instant::now() < end {
            self.spawn_vms();
            sleep(Duration::from_millis(100)).await;
        }
        for key in missing() {
            self.ledger.record_violation(format!("a VM runs without its entry {key}"));
        }
        for key in outdated() {
            self.ledger
                .record_violation(format!("a worker runs without an entry of its life in {key}"));
        }
    }

    /// Returns the worker's entry in the store, if it has one.
    pub(crate) fn worker_entry(&self, worker: &UsersWorker) -> Option<Value> {
        let entries = self.store.values(&worker.key());
        entries.first().and_then(|(_, value)| serde_json::from_slice(value).ok())
    }

    /// Checks the executions of every job at the workers, and returns the report.
    fn report(&self) -> Report {
        let jobs = self.jobs.borrow();
        for job in jobs.values() {
            let entries = || self.tasks(job).map(|task| self.ledger.entry(&task));
            if job.refused && entries().any(|entry| entry.starts > 0) {
                self.ledger.record_violation(format!("job {} was refused but ran", job.id));
            }
            if job.crashing && job.accepted && job.state != "failed" {
                self.ledger.record_violation(format!(
                    "job {} crashes workers but is {}",
                    job.id, job.state
                ));
            }
            if job.cancelled.is_some() && entries().any(|entry| !entry.running.is_empty()) {
                self.ledger
                    .record_violation(format!("job {} was cancelled but still runs", job.id));
            }
            if entries().any(|entry| entry.failed.len() > MAX_TASK_ATTEMPTS as usize) {
                self.ledger.record_violation(format!(
                    "a task of job {} failed more than {MAX_TASK_ATTEMPTS} times",
                    job.id
                ));
            }
        }
        let count_in = |state: &str| jobs.values().filter(|job| job.state == state).count();
        Report {
            accepted: jobs.values().filter(|job| job.accepted).count(),
            broken: self.ledger.violations(),
            completed: count_in("completed"),
            faults: self.fault_counts.borrow().clone(),
            max_absence: self.max_absence.get(),
            refused: jobs.values().filter(|job| job.refused).count(),
            seed: self.plan.seed,
            starts: self.ledger.tasks().iter().map(|(_, entry)| entry.starts).sum(),
        }
    }
}

fn is_over(state: &str) -> bool {
    ["completed", "failed", "cancelled"].contains(&state)
}

/// Returns the operator's configuration: one queue, for any host.
fn config(version: u64) -> Value {
    json!({
        "version": version,
        "routes": [{
            "name": "q", "host": "", "prefix": "/q/", "service": "desk", "priority": 0,
            "max_attempts": MAX_TASK_ATTEMPTS, "stretch": 1.5, "target_duration_ms": 250,
        }],
        "services": [{"name": "desk", "admission_check": true}],
        "limits": {"max_body_bytes": 262_144},
    })
}

const _: () = assert!(CAPACITY_MILLI >= 4_000, "the largest random task must fit on a worker");
