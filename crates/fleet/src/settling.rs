//! Delays the assignment of cells after an outage of the store in which the VMs' leases ran out. The
//! first VM that is back sees no other, and would take every cell for seconds.

use super::*;

/// How many VMs have an entry, and since when no more have come.
#[derive(Debug, Default)]
pub struct Settling {
    vms: usize,
    /// When the number of VMs last rose, in milliseconds.
    grew_at: u64,
}

/// How long no VM must have come before cells are assigned anew, in milliseconds: VMs open their
/// sessions within a few hundred milliseconds of the store's return.
const SETTLE_MS: u64 = 500;

impl Settling {
    /// Records the number of VMs that have an entry.
    pub fn observe(&mut self, now: u64, vms: usize) {
        if vms > self.vms {
            self.grew_at = now;
        }
        self.vms = vms;
    }

    /// Returns whether the assignment must wait: most cells have lost their owner, and VMs are still
    /// coming back. The loss of single VMs is not delayed.
    pub fn must_wait(
        &self,
        now: u64,
        assignment: &Assignment,
        vms: &BTreeMap<String, assignment::Vm>,
    ) -> bool {
        let orphans = assignment.owners.iter().filter(|owner| !vms.contains_key(*owner)).count();
        orphans * 2 > assignment.owners.len() && now < self.grew_at + SETTLE_MS
    }
}
