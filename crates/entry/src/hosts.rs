//! This entry's shares of the VMs' guards, over all services.

use super::*;

/// This entry's shares of the VMs' guards, over all services that a VM hosts.
#[derive(Debug, Default)]
pub(crate) struct Hosts(Mutex<BTreeMap<Name, Host>>);

#[derive(Debug)]
struct Host {
    address: SocketAddr,
    share: Share,
    /// Requests in progress, at most `share.slots` unless the share shrank.
    used: u32,
}

/// A VM as `GET /status` shows it.
#[derive(Debug, Serialize)]
pub(crate) struct Page {
    /// Requests of this entry in progress there.
    in_progress: u32,
    /// The most that this entry may have there.
    slots: u32,
    vm: Name,
}

impl Hosts {
    /// Takes the VMs in force and the entries that share them.
    pub(crate) fn apply(&self, own: &Name, entries: &[Name], vms: &[config::Vm]) {
        let mut hosts = lock(&self.0);
        hosts.retain(|name, host| host.used > 0 || vms.iter().any(|vm| vm.name == *name));
        for vm in vms {
            let share = Share::of(own, entries, &vm.name, vm.slots, vm.connections);
            let used = hosts.get(&vm.name).map_or(0, |host| host.used);
            hosts.insert(vm.name.clone(), Host { address: vm.address, share, used });
        }
    }

    /// Returns how many idle connections to `vm` may be kept, so that they and those in use stay
    /// within the share.
    pub(crate) fn idle_connections(&self, vm: &Name) -> u32 {
        let share = self.share(vm);
        share.connections.saturating_sub(share.slots).max(1)
    }

    /// Returns every VM with the slots of this entry's share.
    pub(crate) fn pages(&self) -> Vec<Page> {
        let page = |(vm, host): (&Name, &Host)| Page {
            in_progress: host.used,
            slots: host.share.slots,
            vm: vm.clone(),
        };
        lock(&self.0).iter().map(page).collect()
    }

    /// Returns the share of `vm`.
    pub(crate) fn share(&self, vm: &Name) -> Share {
        lock(&self.0).get(vm).map_or(Share::default(), |host| host.share)
    }

    /// Takes a slot of `vm` and returns its address, if a slot is free.
    pub(crate) fn take(&self, vm: &Name) -> Option<SocketAddr> {
        let mut hosts = lock(&self.0);
        let host = hosts.get_mut(vm).filter(|host| host.used < host.share.slots)?;
        host.used += 1;
        Some(host.address)
    }

    /// Gives a slot of `vm` back.
    pub(crate) fn give(&self, vm: &Name) {
        if let Some(host) = lock(&self.0).get_mut(vm) {
            host.used = host.used.saturating_sub(1);
        }
    }
}
