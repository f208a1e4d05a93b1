//! A worker's connections to the VMs and the store.

use {super::*, cut::Cut};

/// A worker's connections to the VMs and the store, and what it is about to do.
#[derive(Debug, Default)]
pub(crate) struct Link {
    /// Whether its beats say that it drains.
    pub draining: Cell<bool>,
    /// Whether it leaves or restarts.
    pub changing: Cell<bool>,
    /// Number of cuts from the store in force.
    store_cuts: Cell<u32>,
    /// Number of cuts from the VMs in force.
    vm_cuts: Cell<u32>,
}

impl Link {
    /// Returns whether the worker reaches the store.
    pub(crate) fn reaches_store(&self) -> bool {
        self.store_cuts.get() == 0
    }

    /// Begins a cut from the store, which may overlap with others.
    pub(crate) fn cut_from_store(&self) {
        self.store_cuts.update(|count| count + 1);
    }

    /// Ends a cut from the store.
    pub(crate) fn heal_from_store(&self) {
        self.store_cuts.update(|count| count - 1);
    }

    /// Begins a cut, which may overlap with others.
    pub(crate) fn cut(&self, relay: &TcpRelay, cut: Cut) {
        if cut != Cut::Vms {
            self.cut_from_store();
        }
        if cut != Cut::Store {
            self.vm_cuts.update(|count| count + 1);
            relay.cut();
        }
    }

    /// Ends a cut.
    pub(crate) fn heal(&self, relay: &TcpRelay, cut: Cut) {
        if cut != Cut::Vms {
            self.heal_from_store();
        }
        if cut != Cut::Store {
            self.vm_cuts.update(|count| count - 1);
            if self.vm_cuts.get() == 0 {
                relay.heal();
            }
        }
    }
}
