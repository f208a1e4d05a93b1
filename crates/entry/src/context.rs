//! State shared by all tasks of an entry.

use super::*;
use {
    cells::Cells,
    clients::Clients,
    clock::Clock,
    counters::Counters,
    drain::Drain,
    hosts::Hosts,
    keys::Keys,
    oleanderstage_core::{key, key_map::Member},
    pool::Pools,
    service::Service,
};

/// State shared by all tasks of an entry.
#[derive(Debug)]
pub(crate) struct Context {
    pub(crate) cells: Cells,
    pub(crate) clients: Clients,
    pub(crate) clock: Clock,
    pub(crate) counters: Counters,
    pub(crate) drain: Drain,
    pub(crate) follower: Follower,
    pub(crate) hosts: Hosts,
    /// Random number of this process; differs after each start.
    pub(crate) incarnation: u64,
    pub(crate) keys: Keys,
    pub(crate) metrics: StatsdClient,
    pub(crate) pools: Pools,
    pub(crate) schedulers: Vec<Link>,
    pub(crate) settings: settings::Entry,
    pub(crate) probes: probes::Probes,
    services: Mutex<BTreeMap<Name, Arc<Service>>>,
}

/// Arguments of `Context::new`.
pub(crate) struct Parts {
    pub(crate) follower: Follower,
    pub(crate) leave: CancellationToken,
    pub(crate) listener: Listener,
    pub(crate) settings: settings::Entry,
    pub(crate) store: store::Client,
}

impl Context {
    pub(crate) fn new(parts: Parts) -> Result<Arc<Self>, Error> {
        let Parts { follower, leave, listener, settings, store } = parts;
        let link = |peer: &settings::Peer| listener.link(&peer.name, peer.address);
        let clock = Clock::new();
        let metrics = oleanderstage_telemetry::metrics::client("oleanderstage", settings.metrics)
            .map_err(Error::Metrics)?;
        let incarnation = uuid::Uuid::new_v4().as_u64_pair().0;
        let me = Member { incarnation, name: settings.name.clone() };
        let peers = settings.peers.iter().map(link).collect();
        let keys = Keys::new(me, clock.key_now(), peers, store);
        Ok(Arc::new(Self {
            cells: Cells::default(),
            clients: Clients::new(settings.memory_mib),
            clock,
            counters: Counters::default(),
            drain: Drain::new(leave),
            follower,
            hosts: Hosts::default(),
            incarnation,
            keys,
            metrics,
            pools: Pools::new()?,
            schedulers: settings.schedulers.iter().map(link).collect(),
            services: Mutex::default(),
            settings,
            probes: probes::Probes::default(),
        }))
    }

    /// Counts an answer that was forwarded completely.
    pub(crate) fn count_answer(
        &self,
        service: &Name,
        vm: Option<&Name>,
        latency: Duration,
        in_time: bool,
    ) {
        let cause = match in_time {
            true => counters::Cause::Answered,
            false => counters::Cause::AnsweredLate,
        };
        self.counters.count(service, cause);
        if let Some(service) = self.service(service) {
            let objective = &service.config.objective;
            let (now, name) = (self.clock.now(), &service.config.name);
            self.counters.count_answer(now, name, vm, latency, objective);
        }
        let metric = format!("service.{service}.latency");
        let _ = self.metrics.time(&metric, latency.as_millis() as u64);
    }

    /// Returns the time by the monotonic clock and the wall clock.
    pub(crate) fn key_now(&self) -> key::Now {
        self.clock.key_now()
    }

    /// Applies a configuration. A service that stays keeps its state.
    pub(crate) fn apply(&self, config: &config::Config) {
        let now = self.clock.now();
        let own = &self.settings.name;
        let entries: Vec<Name> =
            self.settings.peers.iter().map(|peer| &peer.name).chain([own]).cloned().collect();
        self.hosts.apply(own, &entries, &config.vms);
        let vms: Vec<Name> = config.vms.iter().map(|vm| vm.name.clone()).collect();
        self.pools.retain(&vms);
        let mut services = lock(&self.services);
        services.retain(|name, _| config.services.iter().any(|service| service.name == *name));
        for service in &config.services {
            let next = match services.get(&service.name) {
                Some(old) => old.revise(service.clone()),
                None => Service::new(service.clone(), &self.settings.zone, self.incarnation),
            };
            next.apply(now, &self.endpoints(&service.name, &config.vms));
            services.insert(service.name.clone(), Arc::new(next));
        }
    }

    /// Applies the VM list: leaving VMs get no new requests, and live ones get requests again.
    pub(crate) fn apply_vm_list(&self, vms: &[vms::Vm]) {
        self.keys.apply_vm_list(self.key_now(), vms);
        let now = self.clock.now();
        for service in lock(&self.services).values() {
            let mut table = lock(&service.state.table);
            for vm in vms {
                match vm.state {
                    vms::State::Leaving => table.leave(now, &vm.name),
                    vms::State::Live => table.resume(now, &vm.name),
                }
            }
        }
    }

    /// Returns the service of that name.
    pub(crate) fn service(&self, name: &Name) -> Option<Arc<Service>> {
        lock(&self.services).get(name).cloned()
    }

    /// Retires a generation of connections after a response did not start within the silence timeout;
    /// ignored if it is not the current generation of the VM.
    pub(crate) fn retire_connections(&self, vm: &Name, generation: u64, max_idle: u32) {
        if !self.pools.retire(vm, generation, max_idle) {
            return;
        }
        self.counters.count_retirement();
        log::warn!(generation, vm = vm.to_string(); "connections_retired");
        let _ = self.metrics.incr("connections.retired");
    }

    /// Returns the endpoints of a service on which this entry's share has slots.
    fn endpoints(&self, service: &Name, vms: &[config::Vm]) -> Vec<route::Endpoint> {
        let hosting = vms.iter().filter(|vm| vm.services.contains(service));
        let endpoint = |vm: &config::Vm| {
            let share = self.hosts.share(&vm.name);
            route::Endpoint {
                connections: share.connections,
                rack: vm.rack.clone(),
                slots: share.slots,
                vm: vm.name.clone(),
                zone: vm.zone.clone(),
            }
        };
        hosting.map(endpoint).filter(|endpoint| endpoint.slots > 0).collect()
    }
}
