//! One run: sets everything up, injects faults, and judges.

use super::*;

/// A run under way.
pub struct Soak {
    pub(crate) ledger: UsersLedger,
    pub(crate) callers: RefCell<BTreeMap<String, Caller>>,
    /// When the store was last disturbed.
    pub(crate) disturbed: Cell<Option<Instant>>,
    faults: RefCell<BTreeMap<&'static str, usize>>,
    pub(crate) http: Http,
    pub(crate) plan: Plan,
    pub(crate) random: RefCell<Pcg64Mcg>,
    store: UsersStore,
    vms: Vec<Rc<Vm>>,
    workers: Vec<(UsersWorker, TcpRelay)>,
}

/// Runs of a task that may fail.
pub(crate) const ATTEMPTS: u32 = 3;
/// How long VMs may take to be ready.
const READY: Duration = Duration::from_secs(15);
/// How long work may take to end once all faults have healed: the longest wait for a worker that a
/// new owner cannot reach, and the work itself.
const SETTLE: Duration = Duration::from_secs(40);
/// Between submissions.
const SUBMIT_EVERY: Duration = Duration::from_millis(70);
/// Between faults, at least, in milliseconds.
const FAULT_EVERY_MS: u64 = 300;

impl Soak {
    /// Plays a run.
    pub async fn play(plan: Plan) -> miette::Result<Report> {
        fs::create_dir_all(&plan.directory).into_diagnostic()?;
        let (store, address) = UsersStore::start().await.into_diagnostic()?;
        store.put("op/config", &config(1));
        let ledger = UsersLedger::default();
        let mut workers = Vec::new();
        for number in 0..plan.workers {
            let started = UsersWorker::start(&format!("i-{number:04}"), ledger.clone()).await;
            let (worker, target) = started.into_diagnostic()?;
            let relay = TcpRelay::start(([127, 0, 0, 1], 0).into(), target).await;
            let relay = relay.into_diagnostic()?;
            worker.register(&store, relay.address, false);
            workers.push((worker, relay));
        }
        let block = vm::block();
        let mut vms = Vec::new();
        for number in 0..plan.vms {
            vms.push(Rc::new(Vm::start(&plan, block, number, address).await?));
        }
        let soak = Rc::new(Self {
            ledger,
            callers: RefCell::default(),
            disturbed: Cell::new(None),
            faults: RefCell::default(),
            http: Http::default(),
            random: RefCell::new(Pcg64Mcg::seed_from_u64(plan.seed)),
            plan,
            store,
            vms,
            workers,
        });
        soak.clone().run().await
    }

    async fn run(self: Rc<Self>) -> miette::Result<Report> {
        self.until_ready().await?;
        let end = Instant::now() + self.plan.faults_for;
        let injecting = spawn_local(self.clone().inject(end));
        let mut number = 0;
        while Instant::now() < end {
            number += 1;
            spawn_local(self.clone().call(number));
            let looked = self.any_open();
            if let Some(id) = looked {
                let soak = self.clone();
                spawn_local(async move { soak.look(&id).await });
            }
            sleep(SUBMIT_EVERY).await;
        }
        injecting.await.into_diagnostic()?;
        self.heal()?;
        self.settle().await;
        Ok(self.report())
    }

    async fn until_ready(&self) -> miette::Result<()> {
        let end = Instant::now() + READY;
        let body =
            json!({"spec": "50 500", "steps": [{"count": 1, "cpu": 500, "estimate_ms": 50}]});
        for (vm_number, vm) in (0..).zip(&self.vms) {
            loop {
                let path = format!("/q/{:016x}", u64::MAX - vm_number);
                let body = body.to_string().into_bytes();
                let answer = self.ask(vm, Method::POST, &path, body).await;
                if answer.is_ok_and(|answer| answer.status.is_success()) {
                    break;
                }
                if Instant::now() > end {
                    return Err(miette::miette!("the VM at {} did not get ready", vm.front));
                }
                sleep(Duration::from_millis(100)).await;
            }
        }
        Ok(())
    }

    pub(crate) fn any_vm(&self) -> Rc<Vm> {
        let number = self.random.borrow_mut().random_range(0..self.vms.len());
        self.vms[number].clone()
    }

    fn any_open(&self) -> Option<String> {
        let callers = self.callers.borrow();
        let ids: Vec<&String> = callers.keys().collect();
        let number = (!ids.is_empty()).then(|| self.random.borrow_mut().random_range(0..ids.len()));
        number.map(|number| ids[number].clone())
    }

    /// Injects faults, in series and overlapping.
    async fn inject(self: Rc<Self>, end: Instant) {
        while Instant::now() < end {
            let (fault, pause, lasts) = {
                let mut random = self.random.borrow_mut();
                let fault = Fault::ALL[random.random_range(0..Fault::ALL.len())];
                let pause = random.random_range(FAULT_EVERY_MS..4 * FAULT_EVERY_MS);
                let lasts = random.random_range(100..3_500);
                (fault, Duration::from_millis(pause), Duration::from_millis(lasts))
            };
            *self.faults.borrow_mut().entry(fault.name()).or_default() += 1;
            spawn_local(self.clone().strike(fault, lasts));
            sleep(pause).await;
        }
    }

    async fn strike(self: Rc<Self>, fault: Fault, lasts: Duration) {
        let vm = self.any_vm();
        let number = self.random.borrow_mut().random_range(0..self.workers.len());
        let (worker, relay) = &self.workers[number];
        match fault {
            Fault::Stop => {
                vm.stopping.set(Some(Instant::now()));
                vm.signal(Signal::TERM);
                sleep(Duration::from_secs(6)).await;
                vm.signal(Signal::KILL);
            }
            Fault::Hangup => vm.signal(Signal::HUP),
            Fault::WorkerCrash => worker.crash(),
            Fault::WorkerCut => {
                relay.cut();
                sleep(lasts * 2).await;
                relay.heal();
            }
            Fault::WorkerFail => {
                worker.set_failing(true);
                sleep(lasts / 2).await;
                worker.set_failing(false);
            }
            Fault::WorkerSilence => relay.swallow(),
            Fault::Cut => {
                vm.disturb();
                vm.relay.cut();
                sleep(lasts * 2).await;
                vm.relay.heal();
            }
            Fault::Delay => {
                vm.disturb();
                vm.relay.delay(lasts / 10);
                sleep(lasts).await;
                vm.relay.heal();
            }
            Fault::Silence => {
                vm.disturb();
                vm.relay.swallow();
            }
            Fault::Kill => {
                vm.disturb();
                vm.signal(Signal::KILL);
                sleep(lasts / 2).await;
            }
            Fault::Herd => {
                for vm in &self.vms {
                    vm.disturb();
                    vm.signal(Signal::KILL);
                }
                sleep(lasts / 2).await;
            }
            Fault::Pause => {
                vm.disturb();
                vm.pause(true);
                sleep(lasts).await;
                vm.disturb();
                vm.pause(false);
            }
            Fault::Forget => self.store.compact(),
            Fault::Revoke => {
                self.disturbed.set(Some(Instant::now()));
                self.store.revoke_all();
            }
            Fault::StoreBusy => self.store_availability(Availability::Busy, lasts).await,
            Fault::Mute => self.store_availability(Availability::Mute, lasts / 2).await,
        }
        for vm in &self.vms {
            if vm.spawn().is_err() {
                self.ledger.record_violation("a VM could not be started again".into());
            }
        }
    }

    async fn store_availability(&self, availability: Availability, lasts: Duration) {
        self.disturbed.set(Some(Instant::now()));
        self.store.set_availability(availability);
        sleep(lasts).await;
        self.store.set_availability(Availability::Up);
        self.disturbed.set(Some(Instant::now()));
    }

    /// Ends every fault.
    fn heal(&self) -> miette::Result<()> {
        self.store.set_availability(Availability::Up);
        for (worker, relay) in &self.workers {
            worker.set_failing(false);
            relay.heal();
        }
        for vm in &self.vms {
            vm.relay.heal();
            vm.pause(false);
            vm.spawn()?;
        }
        Ok(())
    }

    /// Waits until every accepted job is over, and checks what remains.
    async fn settle(&self) {
        let end = Instant::now() + SETTLE;
        loop {
            for vm in &self.vms {
                if vm.spawn().is_err() {
                    self.ledger.record_violation("a VM could not be started again".into());
                }
            }
            let open: Vec<String> = self
                .callers
                .borrow()
                .values()
                .filter(|caller| caller.accepted && !is_over(&caller.state))
                .map(|caller| caller.id.clone())
                .collect();
            if open.is_empty() {
                break;
            }
            if Instant::now() > end {
                for id in &open {
                    self.ledger.record_violation(format!("{id} was accepted and is not over"));
                }
                break;
            }
            for id in &open {
                self.look(id).await;
            }
            sleep(Duration::from_millis(200)).await;
        }
        // Lets stops of the last cancelled jobs arrive.
        sleep(Duration::from_secs(1)).await;
    }

    fn report(&self) -> Report {
        let callers = self.callers.borrow();
        for caller in callers.values() {
            let entries = || self.tasks(caller).map(|task| self.ledger.entry(&task));
            if caller.refused && entries().any(|entry| entry.starts > 0) {
                self.ledger.record_violation(format!("{} was refused and ran", caller.id));
            }
            if caller.cancelled.is_some() && entries().any(|entry| !entry.running.is_empty()) {
                self.ledger.record_violation(format!("{} was cancelled and runs", caller.id));
            }
            if entries().any(|entry| entry.failed.len() > ATTEMPTS as usize) {
                self.ledger
                    .record_violation(format!("{} failed more often than it may", caller.id));
            }
        }
        let over = |state: &str| callers.values().filter(|caller| caller.state == state).count();
        Report {
            accepted: callers.values().filter(|caller| caller.accepted).count(),
            broken: self.ledger.violations(),
            completed: over("completed"),
            faults: self.faults.borrow().clone(),
            refused: callers.values().filter(|caller| caller.refused).count(),
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
            "max_attempts": ATTEMPTS, "stretch": 1.5, "target_duration_ms": 250,
        }],
        "services": [{"name": "desk", "admission_check": true}],
        "limits": {"max_body_bytes": 262_144},
    })
}

const _: () = assert!(CAPACITY_MILLI >= 4_000, "a task fits a worker");
