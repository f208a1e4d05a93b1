//! Simulation of workers, callers and jobs around the decisions of the core.

use super::*;

/// Number of teams that submit jobs.
pub(crate) const TEAMS: usize = 24;
/// Number of callers of the service.
pub(crate) const CALLERS: usize = 40;
/// Requests that one caller may have in progress at one entry.
const CALLER_CONCURRENCY: u32 = 64;
/// Interval between two reports of a worker.
pub(crate) const REPORT_INTERVAL: Duration = Duration::from_secs(2);
/// Delay after which the VM list shows a lost VM.
const VM_LIST_LAG: Duration = Duration::from_secs(10);
/// Length of a task's lease.
const TASK_LEASE: Duration = Duration::from_secs(30);

/// The state of one trial.
pub(crate) struct Simulation {
    pub(crate) budgets: Vec<retry::Budget>,
    pub(crate) callers: Vec<String>,
    pub(crate) clock: Clock,
    pub(crate) figures: Figures,
    /// Indices in `requests` that can be reused.
    pub(crate) free_requests: Vec<usize>,
    /// Number of jobs submitted; the serial of the last one.
    pub(crate) job_count: u128,
    pub(crate) probation: probation::Tracker,
    pub(crate) limiters: Vec<admission::Limiter>,
    pub(crate) model: interference::Model,
    pub(crate) now: Instant,
    /// Batch work that has arrived and is not yet submitted as jobs: ordinary, of a wave.
    pub(crate) offered_core_seconds: [f64; 2],
    pub(crate) placer: placement::Placer,
    /// VMs on probation or on trial.
    pub(crate) vms_on_probation: BTreeSet<usize>,
    pub(crate) queue: Queue,
    pub(crate) quota: quota::Table,
    pub(crate) random: Pcg64Mcg,
    pub(crate) requests: Vec<Option<Request>>,
    pub(crate) tables: Vec<route::Table>,
    pub(crate) tasks: BTreeMap<task::Id, usize>,
    pub(crate) teams: Vec<Name>,
    pub(crate) trial: Trial,
    pub(crate) truth: Truth,
    pub(crate) units: Vec<Unit>,
    /// Processors used by services at each VM as last reported, in cores.
    pub(crate) urgent_cores: Vec<f64>,
    pub(crate) vms: Vec<Vm>,
    pub(crate) vm_indices: BTreeMap<Name, usize>,
}

impl Simulation {
    pub(crate) fn new(trial: Trial) -> Self {
        let truth = Truth::new(trial.seed);
        let vms = trial.vms(truth.classes.len());
        let seed = trial.seed * 1_000;
        let zones = 0..deployment::ZONES;
        let slots = vms.iter().filter(|vm| vm.urgent).count() as u32 * deployment::SLOTS;
        let ceiling = slots / deployment::ZONES as u32;
        let limiter =
            |zone| admission::Limiter::new(CALLER_CONCURRENCY, ceiling, seed + 20 + zone as u64);
        let mut simulation = Self {
            budgets: zones
                .clone()
                .map(|zone| retry::Budget::new(seed + 30 + zone as u64))
                .collect(),
            callers: (0..CALLERS).map(|i| format!("caller-{i}")).collect(),
            clock: Clock::default(),
            figures: Figures::new(&trial),
            free_requests: Vec::new(),
            job_count: 0,
            probation: probation::Tracker::default(),
            limiters: zones.clone().map(limiter).collect(),
            model: interference::Model::new(interference::Limits::default()),
            now: Instant::default(),
            offered_core_seconds: [0.0; 2],
            placer: placement::Placer::new(seed + 2),
            vms_on_probation: BTreeSet::new(),
            queue: Queue::default(),
            quota: quota::Table::default(),
            random: Pcg64Mcg::seed_from_u64(seed + 3),
            requests: Vec::new(),
            tables: zones
                .map(|zone| route::Table::new(zone_name(zone), seed + 40 + zone as u64))
                .collect(),
            tasks: BTreeMap::new(),
            teams: (0..TEAMS).map(|i| unit::name(&format!("team-{i:02}"))).collect(),
            trial,
            truth,
            units: Vec::new(),
            urgent_cores: vec![0.0; vms.len()],
            vm_indices: vms.iter().enumerate().map(|(i, vm)| (vm.name.clone(), i)).collect(),
            vms,
        };
        simulation.configure();
        simulation.schedule_first_events();
        simulation
    }

    /// Processes the next event. Returns `false` at the end of the trial.
    pub(crate) fn step(&mut self) -> bool {
        let Some((now, event)) = self.clock.next() else { return false };
        if now >= scenario::END {
            return false;
        }
        self.now = now;
        match event {
            Event::Arrival { zone } => self.arrive(zone),
            Event::Fault => self.inject_fault(),
            Event::LeaseEnd { unit } => self.expire_lease(unit),
            Event::VmListUpdate => self.update_vm_list(),
            Event::Report { age, usage, vm } => self.report(vm, age, &usage),
            Event::RequestEnd { end, id } => self.request_end(id, end),
            Event::RequestRetry { id } => self.dispatch(id),
            Event::RunEnd { generation, unit } => self.run_end(unit, generation),
            Event::Tick => self.tick(),
            Event::WindowEnd { vm } => self.end_window(vm),
        }
        true
    }

    /// Returns whether the warm-up is over and figures are measured.
    pub(crate) fn is_measuring(&self) -> bool {
        self.now >= scenario::WARM_UP
    }

    /// Schedules the first events. The reports of the workers are spread over the interval.
    fn schedule_first_events(&mut self) {
        (0..deployment::ZONES)
            .for_each(|zone| self.clock.schedule(self.now, Event::Arrival { zone }));
        for vm in 0..self.vms.len() {
            let offset = REPORT_INTERVAL * vm as u32 / self.vms.len() as u32;
            self.clock.schedule(self.now + offset, Event::WindowEnd { vm });
        }
        self.clock.schedule(self.now, Event::Tick);
        self.clock.schedule(scenario::FAULT, Event::Fault);
    }

    fn configure(&mut self) {
        let deployment = self.trial.deployment;
        for zone in 0..deployment::ZONES {
            let endpoints: Vec<route::Endpoint> = self
                .vms
                .iter()
                .filter(|vm| vm.urgent)
                .map(|vm| route::Endpoint {
                    connections: deployment::CONNECTIONS / deployment::ZONES as u32,
                    rack: rack_name(vm.rack),
                    slots: share_of_slots(zone == vm.zone),
                    vm: vm.name.clone(),
                    zone: zone_name(vm.zone),
                })
                .collect();
            self.tables[zone].apply(self.now, &endpoints);
        }
        let quota = deployment::amount(deployment.shared_cores() / 2, 1_000_000);
        let team = |name: &Name| config::Team { name: name.clone(), quota };
        self.quota.apply(&self.teams.iter().map(team).collect::<Vec<_>>());
        self.configure_batch();
    }

    /// Gives the placer and the interference model the VMs that the list shows.
    fn configure_batch(&mut self) {
        let deployment = self.trial.deployment;
        let reserved =
            |vm: &Vm| if vm.urgent { deployment.reserved() } else { Resources::default() };
        let listed = || self.vms.iter().filter(|vm| vm.batch && vm.health != vm::Health::Lost);
        let workers: Vec<placement::Worker> = listed()
            .map(|vm| placement::Worker {
                capacity: deployment.capacity(),
                rack: rack_name(vm.rack),
                reserved: reserved(vm),
                vm: vm.name.clone(),
            })
            .collect();
        let model_workers: Vec<interference::Worker> = listed()
            .map(|vm| interference::Worker {
                processors_milli: deployment.cores * 1_000,
                slots: deployment::SLOTS,
                vm: vm.name.clone(),
            })
            .collect();
        self.placer.apply(&workers);
        self.model.apply(&model_workers);
    }

    /// Injects the fault of the scenario, if it has one.
    fn inject_fault(&mut self) {
        match self.trial.scenario {
            Scenario::FailingWorkers => {
                let failing = self.trial.scenario.failing(&self.trial.deployment);
                let step = self.vms.len() / failing;
                (0..failing).for_each(|i| self.vms[i * step].health = vm::Health::Failing);
            }
            Scenario::RackLoss => self.lose_vms(|vm| vm.rack == 0),
            Scenario::ShiftedInterference => self.truth.shift(),
            Scenario::ZoneLoss => self.lose_vms(|vm| vm.zone == 0),
            _ => {}
        }
    }

    /// Stops the selected VMs. Their runs end when the leases expire.
    fn lose_vms(&mut self, is_lost: impl Fn(&Vm) -> bool) {
        let lost: Vec<usize> = (0..self.vms.len()).filter(|vm| is_lost(&self.vms[*vm])).collect();
        for vm in lost {
            self.vms[vm].health = vm::Health::Lost;
            for unit in self.vms[vm].units.clone() {
                self.advance(unit);
                self.units[unit].generation += 1;
                self.clock.schedule(self.now + TASK_LEASE, Event::LeaseEnd { unit });
            }
        }
        self.clock.schedule(self.now + VM_LIST_LAG, Event::VmListUpdate);
    }

    /// Removes the lost VMs from routing and placement once the VM list shows the loss.
    fn update_vm_list(&mut self) {
        for vm in self.vms.iter().filter(|vm| vm.health == vm::Health::Lost) {
            self.tables.iter_mut().for_each(|table| table.leave(self.now, &vm.name));
        }
        self.configure_batch();
    }
}

fn rack_name(rack: usize) -> Name {
    unit::name(&format!("rack-{rack:02}"))
}

/// Returns the slots of a worker for one entry: one for the entry of each remote zone, the rest for
/// that of its own zone.
fn share_of_slots(own: bool) -> u32 {
    let remote_zones = deployment::ZONES as u32 - 1;
    if own { deployment::SLOTS - remote_zones } else { 1 }
}

fn zone_name(zone: usize) -> Name {
    unit::name(&format!("zone-{zone}"))
}
