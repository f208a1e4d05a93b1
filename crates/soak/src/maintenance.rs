//! Planned work: workers are replaced, zones evacuated and VMs restarted in series that overlap, beside
//! a store that answers late. Nothing fails, so that every guarantee holds without exemption.

use {super::*, soak::ZONES};

/// Delay of the bytes between each VM and the store.
const STORE_DELAY: Duration = Duration::from_millis(30);
/// Time between two workers that leave.
const LEAVE_INTERVAL: Duration = Duration::from_millis(900);
/// How long a worker goes on after its entry says that it drains.
const LEAVE_TIME: Duration = Duration::from_millis(3_500);
/// Time between the end of a worker and the start of the next one under its ID.
const ABSENCE: Duration = Duration::from_millis(500);
/// How long a zone stays evacuated: its workers must get no new runs for half of it.
const EVACUATION_TIME: Duration = Duration::from_millis(4_000);
/// Time between two VMs that are stopped.
const RESTART_INTERVAL: Duration = Duration::from_millis(3_500);
/// How often a stopped VM's process is checked for its end.
const END_CHECK_INTERVAL: Duration = Duration::from_millis(50);

impl Soak {
    /// Replaces half of the workers and restarts the VMs, in turn until `end`.
    pub(crate) async fn maintain(self: Rc<Self>, end: Instant) {
        for vm in &self.vms {
            vm.store_relay.delay(STORE_DELAY);
        }
        let mut replacements = Vec::new();
        let others = [
            spawn_local(self.clone().restart_vms(end)),
            spawn_local(self.clone().watch_ownership(end)),
            spawn_local(self.clone().evacuate_zones(end)),
        ];
        for number in (0..self.workers.len()).step_by(2).cycle() {
            if Instant::now() >= end {
                break;
            }
            replacements.push(spawn_local(self.clone().replace_worker(number)));
            sleep(LEAVE_INTERVAL).await;
        }
        for task in replacements.into_iter().chain(others) {
            // A panic of the task ends the run.
            task.await.expect("a finished task");
        }
    }

    /// Lets a worker leave, unless it leaves already, and starts another one under its ID.
    async fn replace_worker(self: Rc<Self>, number: usize) {
        let (worker, relay) = &self.workers[number];
        if worker.is_draining() {
            return;
        }
        self.count("worker-leave");
        worker.register(&self.store, relay.address, true);
        sleep(LEAVE_TIME).await;
        self.store.remove(&format!("servers/{}", worker.id));
        relay.cut();
        worker.crash();
        sleep(ABSENCE).await;
        relay.heal();
        worker.register(&self.store, relay.address, false);
    }

    /// Evacuates the zones in turn. Their workers go on.
    async fn evacuate_zones(self: Rc<Self>, end: Instant) {
        for zone in ZONES.into_iter().cycle() {
            if Instant::now() >= end {
                break;
            }
            self.count("zone-evacuate");
            let key = format!("op/evacuate/{zone}");
            self.store.put(&key, &json!({}));
            self.set_evacuated(zone, true);
            sleep(EVACUATION_TIME).await;
            self.set_evacuated(zone, false);
            self.store.remove(&key);
            sleep(ABSENCE).await;
        }
    }

    fn set_evacuated(&self, zone: &str, evacuated: bool) {
        let workers = self.workers.iter().filter(|(worker, _)| worker.zone == zone);
        workers.for_each(|(worker, _)| worker.set_evacuated(evacuated));
    }

    async fn restart_vms(self: Rc<Self>, end: Instant) {
        let mut restarts = Vec::new();
        for vm in self.vms.iter().cycle() {
            if Instant::now() >= end {
                break;
            }
            restarts.push(spawn_local(self.clone().restart_vm(vm.clone())));
            sleep(RESTART_INTERVAL).await;
        }
        for task in restarts {
            task.await.expect("a finished task");
        }
    }

    /// Stops a VM gracefully and starts it again, unless it was started again meanwhile.
    pub(crate) async fn restart_vm(self: Rc<Self>, vm: Rc<Vm>) {
        self.count("vm-restart");
        vm.request_stop();
        while vm.is_running() && vm.stop_requested_at.get().is_some() {
            sleep(END_CHECK_INTERVAL).await;
        }
        if vm.spawn().is_err() {
            self.ledger.record_violation("an ended VM could not be started again".into());
        }
    }
}
