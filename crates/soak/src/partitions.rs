//! Partitions between single machines: VMs and workers are cut off together from the store and from the
//! other machines. In series that overlap with them, wires are slow, workers restart, VMs are killed,
//! stopped and paused, and the store ends all leases and compacts its history.

use {
    super::*,
    cuts::{Series, begin_restart, duration},
    partition::Partition,
    soak::ZONES,
    std::ops::Range,
    tokio::task::JoinHandle,
    way::Way,
};

/// The series, each with the time between two disturbances, in milliseconds.
const SERIES: [Series; 5] = [
    (1_500..6_000, begin_partition),
    (1_500..5_000, begin_delay),
    (3_000..8_000, begin_restart),
    (4_000..10_000, begin_vm_fault),
    (8_000..20_000, begin_store_fault),
];
/// Faults of the VMs, and their duration in milliseconds.
const VM_FAULTS: [Fault; 3] = [Fault::Kill, Fault::Pause, Fault::Stop];
const VM_FAULT_MS: Range<u64> = 300..6_000;
/// Faults of the store.
const STORE_FAULTS: [Fault; 2] = [Fault::Forget, Fault::Revoke];
/// Number of lasting jobs, their number of tasks and the processors of each, in thousandths of a core.
const LASTING_JOBS: u32 = 4;
const LASTING_TASKS: u32 = 2;
const LASTING_MILLI: u64 = 1_000;

/// Returns a map with a cell for each VM, which has workers of all zones.
pub(crate) fn map(plan: &Plan, workers: &[(UsersWorker, TcpRelay)]) -> Value {
    let owners: Vec<String> = (0..plan.vms).map(|number| format!("vm-{number}")).collect();
    let cells = (0..workers.len()).map(|number| number / ZONES.len() % plan.vms);
    let cells: BTreeMap<&str, usize> =
        workers.iter().map(|(worker, _)| worker.id.as_str()).zip(cells).collect();
    json!({"owners": owners, "workers": cells})
}

impl Soak {
    /// Runs the series beside some lasting jobs until `end`, and waits until their disturbances are over.
    pub(crate) async fn partition(self: Rc<Self>, end: Instant) {
        for number in 0..LASTING_JOBS {
            let now = Instant::now();
            let job = self.clone().submit_lasting(number, LASTING_TASKS, LASTING_MILLI, now);
            spawn_local(job);
        }
        self.run_all_series(end, &SERIES).await;
    }

    /// Disturbs the connections of a partition for its time.
    async fn disturb(self: Rc<Self>, partition: Partition) {
        self.count(partition.way.name());
        self.record_step(&format!("begin {partition:?}"));
        self.disturbed_at.set(Some(Instant::now()));
        let wires = || partition.wires.iter().map(|&(vm, wire)| &self.wires[vm][wire]);
        let links = || partition.workers.iter().map(|&worker| &self.links[worker]);
        links().for_each(Link::cut_from_store);
        wires().for_each(|wire| wire.disturb(partition.way));
        sleep(partition.time / 2).await;
        if partition.way == Way::HoldAndCut {
            wires().for_each(Wire::cut);
        }
        sleep(partition.time / 2).await;
        wires().for_each(Wire::heal);
        links().for_each(Link::heal_from_store);
        self.disturbed_at.set(Some(Instant::now()));
        self.record_step(&format!("end {partition:?}"));
    }

    /// Applies a fault to a VM or the store for a time.
    async fn fail(self: Rc<Self>, fault: Fault, time: Duration, number: usize) {
        self.count(fault.name());
        self.record_step(&format!("{} vm-{number} {time:?}", fault.name()));
        let vm = self.vms[number].clone();
        self.apply_fault_to(fault, time, &vm, 0).await;
        self.record_step(&format!("end {} vm-{number}", fault.name()));
    }
}

fn begin_partition(soak: &Rc<Soak>, random: &mut Pcg64Mcg) -> Vec<JoinHandle<()>> {
    let partition = Partition::random(random, soak.vms.len(), soak.workers.len());
    vec![spawn_local(soak.clone().disturb(partition))]
}

fn begin_delay(soak: &Rc<Soak>, random: &mut Pcg64Mcg) -> Vec<JoinHandle<()>> {
    let delay = Partition::random_delay(random, soak.vms.len(), soak.workers.len());
    vec![spawn_local(soak.clone().disturb(delay))]
}

fn begin_vm_fault(soak: &Rc<Soak>, random: &mut Pcg64Mcg) -> Vec<JoinHandle<()>> {
    let fault = VM_FAULTS[random.random_range(0..VM_FAULTS.len())];
    let (time, number) = (duration(random, VM_FAULT_MS), random.random_range(0..soak.vms.len()));
    vec![spawn_local(soak.clone().fail(fault, time, number))]
}

fn begin_store_fault(soak: &Rc<Soak>, random: &mut Pcg64Mcg) -> Vec<JoinHandle<()>> {
    let fault = STORE_FAULTS[random.random_range(0..STORE_FAULTS.len())];
    vec![spawn_local(soak.clone().fail(fault, Duration::ZERO, 0))]
}
