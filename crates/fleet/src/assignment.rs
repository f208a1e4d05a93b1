//! Assigns cells to VMs and workers to cells. Every VM can compute the assignment; the one with the
//! lowest name writes it to the store, on the condition that no other VM has done so.

use super::*;

/// The assignment of cells and workers, as stored.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Assignment {
    /// The VM that should own each cell, by cell number.
    pub owners: Vec<String>,
    /// The cell of each worker, by worker ID.
    pub workers: BTreeMap<String, u32>,
}

/// A VM that can own cells.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Vm {
    /// Processors, in thousandths of a core.
    pub processors_milli: u64,
    /// Memory, in MiB; 0 if the VM's settings don't tell.
    #[serde(default)]
    pub memory_mib: u64,
    /// The incarnation of the process that wrote the entry: the VM's name and the addresses that it holds, `#`, and
    /// its start by the time of day and by the machine's steady clock.
    #[serde(default)]
    pub incarnation: String,
    /// The revision of the entry.
    #[serde(skip)]
    pub revision: u64,
}

/// A worker that can be assigned to a cell.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Member<'a> {
    /// Processors, in thousandths of a core.
    pub processors_milli: u64,
    /// Its availability zone, if zones may be evacuated: each cell then gets workers of all zones,
    /// so that the evacuation of one leaves room in every cell.
    pub zone: Option<&'a str>,
}

/// Processor time of the owner that each worker of its cell takes, in thousandths of a core, at
/// about three starts per second and worker.
const OWNER_MILLI_PER_WORKER: u64 = 1;
/// Share of an owner's processors that its cell may take under normal load, in percent. A burst
/// doubles the starts, and the VM also answers callers; smaller cells would waste more capacity.
const CELL_LOAD_PERCENT: u64 = 45;
/// Maximum number of workers in a cell. Each placement examines all of them, so the cost of a burst
/// grows with the square of the cell's size.
const MAX_WORKERS_PER_CELL: usize = 72;
/// VMs with less than this share of the largest VM's processors own no cells, in percent.
const MIN_OWNER_PERCENT: u64 = 50;

impl Vm {
    /// Returns whether the process that wrote this entry runs in place of the incarnation `owner` on the
    /// same VM, which wrote something at `revision`. A process writes its entry only once it holds its addresses, so
    /// `owner`, which held the same ones, has ended. The late entry of a process that was started before `owner`
    /// doesn't show that.
    pub fn replaces(&self, owner: &str, revision: u64) -> bool {
        let (Some((vm, start)), Some((owner_vm, owner_start))) =
            (split_incarnation(&self.incarnation), split_incarnation(owner))
        else {
            return false;
        };
        // The time of day may have been set back, and the steady clock begins anew with the machine.
        let is_earlier = start.0 < owner_start.0 && start.1 < owner_start.1;
        vm == owner_vm && self.incarnation != owner && !is_earlier && self.revision > revision
    }

    /// Returns whether a process that was started later has written this entry of a VM, from the view of the process
    /// `incarnation` of that VM, whose last own entry had the revision `own`, 0 before the first.
    pub fn is_later_than(&self, incarnation: &str, own: u64) -> bool {
        own > 0 && self.incarnation != incarnation && self.revision > own
    }
}

impl Assignment {
    /// Returns the next assignment for these VMs and workers, by worker ID. Cells and workers keep
    /// their place where possible.
    pub fn next(&self, vms: &BTreeMap<String, Vm>, workers: &BTreeMap<&str, Member<'_>>) -> Self {
        let eligible = eligible(vms);
        if eligible.is_empty() {
            return self.clone();
        }
        let mut next = self.clone();
        if next.owners.is_empty() {
            let cells = cell_count(vms, &eligible, workers.len());
            next.owners = vec![String::new(); cells];
        }
        next.reassign_orphans(&eligible, vms);
        next.rebalance(&eligible);
        next.assign_workers(workers);
        next
    }

    /// Assigns cells whose owner is gone to the VMs with the fewest cells.
    fn reassign_orphans(&mut self, eligible: &[&String], vms: &BTreeMap<String, Vm>) {
        for cell in 0..self.owners.len() {
            if vms.contains_key(&self.owners[cell]) {
                continue;
            }
            let fewest = eligible.iter().min_by_key(|vm| self.owned_cells(vm));
            if let Some(vm) = fewest {
                self.owners[cell] = (*vm).clone();
            }
        }
    }

    /// Moves one cell from the VM with the most cells to one with at least two fewer, if any.
    fn rebalance(&mut self, eligible: &[&String]) {
        let Some(least) = eligible.iter().min_by_key(|vm| self.owned_cells(vm)) else { return };
        let most = self.owners.iter().max_by_key(|vm| self.owned_cells(vm)).cloned();
        let Some(most) = most else { return };
        if self.owned_cells(&most) < self.owned_cells(least) + 2 {
            return;
        }
        if let Some(owner) = self.owners.iter_mut().find(|owner| **owner == most) {
            *owner = (*least).clone();
        }
    }

    /// Assigns each new worker to the cell with the fewest processors in its zone, and among equal
    /// ones to that with the fewest in all.
    fn assign_workers(&mut self, workers: &BTreeMap<&str, Member<'_>>) {
        let mut sizes = vec![0_u64; self.owners.len()];
        let mut zone_sizes: BTreeMap<(Option<&str>, usize), u64> = BTreeMap::new();
        for (id, cell) in &self.workers {
            let cell = *cell as usize;
            if let (Some(size), Some(member)) = (sizes.get_mut(cell), workers.get(id.as_str())) {
                *size += member.processors_milli;
                *zone_sizes.entry((member.zone, cell)).or_default() += member.processors_milli;
            }
        }
        for (id, member) in workers {
            if self.workers.contains_key(*id) {
                continue;
            }
            let in_zone = |cell| zone_sizes.get(&(member.zone, cell)).copied().unwrap_or(0);
            let smallest = (0..sizes.len()).min_by_key(|&cell| (in_zone(cell), sizes[cell]));
            let Some(cell) = smallest else { return };
            sizes[cell] += member.processors_milli;
            *zone_sizes.entry((member.zone, cell)).or_default() += member.processors_milli;
            self.workers.insert((*id).into(), cell as u32);
        }
    }

    /// Assigns workers again that the head of a cell lists as its former ones: its owner alone knows their runs.
    pub fn restore_workers(&mut self, workers: &BTreeMap<&str, Member<'_>>, heads: &[(Head, u64)]) {
        for (head, _) in heads {
            let former = head.former.iter().filter(|id| workers.contains_key(id.as_str()));
            for id in former {
                self.workers.entry(id.clone()).or_insert(head.cell);
            }
        }
    }

    /// Removes workers that have had no entry for long, at most `most`. Each stays until the head of its cell tells
    /// that it holds no runs: one that is only cut off from the store works on, and no other owner would know.
    pub fn remove_workers(&mut self, missing: &BTreeSet<&str>, heads: &[(Head, u64)], most: usize) {
        let is_vacated = |(id, cell): &(&String, &u32)| {
            heads.iter().any(|(head, _)| head.cell == **cell && head.vacated.contains(*id))
        };
        let missing = self.workers.iter().filter(|(id, _)| missing.contains(id.as_str()));
        let vacated = missing.filter(is_vacated).map(|(id, _)| id.clone()).take(most);
        for id in vacated.collect::<Vec<String>>() {
            self.workers.remove(&id);
        }
    }

    /// Returns the number of cells that a VM owns.
    fn owned_cells(&self, vm: &str) -> usize {
        self.owners.iter().filter(|owner| *owner == vm).count()
    }

    /// Returns the cells that a VM should own.
    pub fn cells(&self, vm: &str) -> Vec<u32> {
        (0..).zip(&self.owners).filter(|(_, owner)| *owner == vm).map(|(cell, _)| cell).collect()
    }

    /// Returns the IDs of a cell's workers.
    pub fn members(&self, cell: u32) -> impl Iterator<Item = &str> {
        self.workers
            .iter()
            .filter(move |(_, worker_cell)| **worker_cell == cell)
            .map(|(id, _)| id.as_str())
    }
}

/// Returns what an incarnation tells of the VM, and the start of the process by both clocks.
fn split_incarnation(incarnation: &str) -> Option<(&str, (u64, u64))> {
    let (vm, start) = incarnation.split_once('#')?;
    let (unix, steady) = start.split_once('.')?;
    Some((vm, (unix.parse().ok()?, steady.parse().ok()?)))
}

/// Returns the number of cells for this number of workers.
fn cell_count(vms: &BTreeMap<String, Vm>, eligible: &[&String], workers: usize) -> usize {
    let least =
        eligible.iter().filter_map(|name| vms.get(*name)).map(|vm| vm.processors_milli).min();
    let affordable = least.unwrap_or(0) * CELL_LOAD_PERCENT / 100 / OWNER_MILLI_PER_WORKER;
    let max_workers = (affordable.max(1) as usize).min(MAX_WORKERS_PER_CELL);
    workers.div_ceil(max_workers).clamp(1, eligible.len())
}

/// Returns the VMs that are large enough to own cells.
fn eligible(vms: &BTreeMap<String, Vm>) -> Vec<&String> {
    let most = vms.values().map(|vm| vm.processors_milli).max().unwrap_or(0);
    vms.iter()
        .filter(|(_, vm)| vm.processors_milli * 100 >= most * MIN_OWNER_PERCENT)
        .map(|(name, _)| name)
        .collect()
}
