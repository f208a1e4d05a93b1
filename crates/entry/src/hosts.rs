//! This entry's shares of the VMs' limits on requests and connections, over all services.

use super::*;

/// This entry's share of each VM's slots and connections, over all services that the VM hosts.
#[derive(Debug, Default)]
pub(crate) struct Hosts(Mutex<BTreeMap<Name, Host>>);

#[derive(Debug)]
struct Host {
    address: SocketAddr,
    share: Share,
    /// Requests in progress; above `share.slots` only after the share shrank.
    in_progress: u32,
}

/// A VM in the response to `GET /status`.
#[derive(Debug, Serialize)]
pub(crate) struct Status {
    /// Requests of this entry in progress on the VM.
    in_progress: u32,
    /// Maximum requests of this entry in progress on the VM.
    slots: u32,
    vm: Name,
}

impl Hosts {
    /// Applies the configured VMs and the entries that share them. A VM that was removed stays until
    /// its requests have ended.
    pub(crate) fn apply(&self, own: &Name, entries: &[Name], vms: &[config::Vm]) {
        let mut hosts = lock(&self.0);
        hosts.retain(|name, host| host.in_progress > 0 || vms.iter().any(|vm| vm.name == *name));
        for vm in vms {
            let share = Share::of(own, entries, &vm.name, vm.slots, vm.connections);
            let in_progress = hosts.get(&vm.name).map_or(0, |host| host.in_progress);
            hosts.insert(vm.name.clone(), Host { address: vm.address, share, in_progress });
        }
    }

    /// Returns how many connections to `vm` may stay idle, so that they and one connection for each
    /// slot stay within the share; at least 1.
    pub(crate) fn max_idle_connections(&self, vm: &Name) -> u32 {
        let share = self.share(vm);
        share.connections.saturating_sub(share.slots).max(1)
    }

    /// Returns all VMs with this entry's share of their slots.
    pub(crate) fn statuses(&self) -> Vec<Status> {
        let status = |(vm, host): (&Name, &Host)| Status {
            in_progress: host.in_progress,
            slots: host.share.slots,
            vm: vm.clone(),
        };
        lock(&self.0).iter().map(status).collect()
    }

    /// Returns this entry's share of `vm`.
    pub(crate) fn share(&self, vm: &Name) -> Share {
        lock(&self.0).get(vm).map_or(Share::default(), |host| host.share)
    }

    /// Acquires a slot of `vm`, if one is free, and returns the VM's address.
    pub(crate) fn acquire(&self, vm: &Name) -> Option<SocketAddr> {
        let mut hosts = lock(&self.0);
        let host = hosts.get_mut(vm).filter(|host| host.in_progress < host.share.slots)?;
        host.in_progress += 1;
        Some(host.address)
    }

    /// Releases a slot of `vm`.
    pub(crate) fn release(&self, vm: &Name) {
        if let Some(host) = lock(&self.0).get_mut(vm) {
            host.in_progress = host.in_progress.saturating_sub(1);
        }
    }
}
