//! Which VM owns which cell, and which cell a worker belongs to. Any VM can work it out; the one
//! whose name is lowest writes it, under the condition that nobody else has.

use super::*;

/// The map of cells, as the store holds it.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Assignment {
    /// The VM that is to own each cell.
    pub owners: Vec<String>,
    /// The cell of each worker.
    pub workers: BTreeMap<String, u32>,
}

/// A VM that can own cells.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Vm {
    /// Its processors, in thousandths of a core.
    pub processors_milli: u64,
}

/// Processors that a worker costs its cell's owner, in thousandths of a core, from runs at about
/// three starts a second for each worker.
const MILLI_PER_WORKER: u64 = 1;
/// The share of an owner's processors that its cell may take on a calm day, in percent: a burst
/// doubles the starts, and the VM answers callers too. Larger cells waste less room.
const OWNER_PERCENT: u64 = 45;
/// The most workers of a cell: each placement looks at all of them, so the cost of a burst grows
/// with the square of a cell's size.
const MOST_WORKERS: usize = 72;
/// VMs with less than this share of the strongest one's processors own no cells, in percent.
const STRONG_PERCENT: u64 = 50;

impl Assignment {
    /// Returns the map for these VMs and workers, where `weight` is each worker's processors.
    pub fn next(&self, vms: &BTreeMap<String, Vm>, workers: &BTreeMap<&str, u64>) -> Self {
        let strong = strong(vms);
        if strong.is_empty() {
            return self.clone();
        }
        let mut next = self.clone();
        if next.owners.is_empty() {
            let cells = cells_for(vms, &strong, workers.len());
            next.owners = vec![String::new(); cells];
        }
        next.give_away(&strong, vms);
        next.even_out(&strong);
        next.enrol(workers);
        next
    }

    /// Gives cells whose owner is gone to the VMs with the fewest.
    fn give_away(&mut self, strong: &[&String], vms: &BTreeMap<String, Vm>) {
        for cell in 0..self.owners.len() {
            if vms.contains_key(&self.owners[cell]) {
                continue;
            }
            let fewest = strong.iter().min_by_key(|vm| self.owned(vm));
            if let Some(vm) = fewest {
                self.owners[cell] = (*vm).clone();
            }
        }
    }

    /// Moves one cell from the VM with the most to one with two fewer, if there is one.
    fn even_out(&mut self, strong: &[&String]) {
        let Some(least) = strong.iter().min_by_key(|vm| self.owned(vm)) else { return };
        let most = self.owners.iter().max_by_key(|vm| self.owned(vm)).cloned();
        let Some(most) = most else { return };
        if self.owned(&most) < self.owned(least) + 2 {
            return;
        }
        if let Some(owner) = self.owners.iter_mut().find(|owner| **owner == most) {
            *owner = (*least).clone();
        }
    }

    /// Puts new workers into the cells with the fewest processors.
    fn enrol(&mut self, workers: &BTreeMap<&str, u64>) {
        let mut sizes = vec![0_u64; self.owners.len()];
        for (id, cell) in &self.workers {
            if let Some(size) = sizes.get_mut(*cell as usize) {
                *size += workers.get(id.as_str()).copied().unwrap_or(0);
            }
        }
        for (id, weight) in workers {
            if self.workers.contains_key(*id) {
                continue;
            }
            let Some(cell) = (0..sizes.len()).min_by_key(|&cell| sizes[cell]) else { return };
            sizes[cell] += weight;
            self.workers.insert((*id).into(), cell as u32);
        }
    }

    fn owned(&self, vm: &str) -> usize {
        self.owners.iter().filter(|owner| *owner == vm).count()
    }

    /// Returns the cells that a VM is to own.
    pub fn cells(&self, vm: &str) -> Vec<u32> {
        (0..).zip(&self.owners).filter(|(_, owner)| *owner == vm).map(|(cell, _)| cell).collect()
    }

    /// Returns the ids of a cell's workers.
    pub fn members(&self, cell: u32) -> impl Iterator<Item = &str> {
        self.workers.iter().filter(move |(_, own)| **own == cell).map(|(id, _)| id.as_str())
    }
}

/// Returns how many cells the workers are divided into.
fn cells_for(vms: &BTreeMap<String, Vm>, strong: &[&String], workers: usize) -> usize {
    let least = strong.iter().filter_map(|name| vms.get(*name)).map(|vm| vm.processors_milli).min();
    let room = least.unwrap_or(0) * OWNER_PERCENT / 100 / MILLI_PER_WORKER;
    let most = (room.max(1) as usize).min(MOST_WORKERS);
    workers.div_ceil(most).clamp(1, strong.len())
}

fn strong(vms: &BTreeMap<String, Vm>) -> Vec<&String> {
    let most = vms.values().map(|vm| vm.processors_milli).max().unwrap_or(0);
    vms.iter()
        .filter(|(_, vm)| vm.processors_milli * 100 >= most * STRONG_PERCENT)
        .map(|(name, _)| name)
        .collect()
}
