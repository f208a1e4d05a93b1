//! The division of the configured VMs into cells.

use super::*;

/// Maximum number of workers of one cell.
pub const MAX_WORKERS: usize = 300;
/// Average number of workers of one cell, when a zone has several cells.
pub const MEAN_WORKERS: usize = 200;

/// The cells of a configuration, each with its VMs in order of their names. A rack is never split
/// between cells, and moves to another cell only when the number of cells of its zone changes or
/// its cell is full.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Layout {
    /// By cell.
    pub cells: BTreeMap<cell::Id, Vec<config::Vm>>,
}

impl Layout {
    /// Divides the VMs of a configuration.
    pub fn new(config: &Config) -> Self {
        let mut zones: BTreeMap<&Name, BTreeMap<&Name, Vec<&config::Vm>>> = BTreeMap::new();
        for vm in &config.vms {
            zones.entry(&vm.zone).or_default().entry(&vm.rack).or_default().push(vm);
        }
        let mut layout = Self::default();
        for (zone, racks) in zones {
            layout.divide(zone, &racks);
        }
        layout.cells.values_mut().for_each(|vms| vms.sort_by(|a, b| a.name.cmp(&b.name)));
        layout
    }

    /// Returns how many of `schedulers` rank before `own` for taking over a cell. Schedulers in the
    /// cell's zone rank first, and a hash orders the rest.
    pub fn rank(cell: &cell::Id, own: (&Name, &Name), schedulers: &[(&Name, &Name)]) -> u32 {
        let sort_key = |(name, zone): (&Name, &Name)| {
            (*zone != cell.zone, xxh3_64(format!("{cell} {name}").as_bytes()), name.clone())
        };
        let own = sort_key(own);
        schedulers.iter().filter(|scheduler| sort_key(**scheduler) < own).count() as u32
    }

    /// Returns the configuration for a cell of `vms`, with each quota scaled to the cell's share of
    /// all resources. The shares of all cells add up to the quota exactly, so that cells need not
    /// coordinate.
    pub fn config_for_cell(config: &Config, vms: &[config::Vm]) -> Config {
        let cells = Self::new(config).cells;
        let before = cells.values().take_while(|cell| cell.first() != vms.first());
        let before = before.fold(Resources::default(), |sum, cell| sum + total(cell));
        let (all, through) = (total(&config.vms), before + total(vms));
        let scale_team = |team: &config::Team| {
            let quota = portion(&team.quota, &through, &all).saturating_sub(&portion(
                &team.quota,
                &before,
                &all,
            ));
            config::Team { quota, ..team.clone() }
        };
        Config { teams: config.teams.iter().map(scale_team).collect(), ..config.clone() }
    }

    fn divide(&mut self, zone: &Name, racks: &BTreeMap<&Name, Vec<&config::Vm>>) {
        let total: usize = racks.values().map(Vec::len).sum();
        let count = match total {
            0..=MAX_WORKERS => 1,
            _ => total.div_ceil(MEAN_WORKERS) as u16,
        };
        for (rack, vms) in racks {
            let first = (0..count)
                .max_by_key(|index| xxh3_64(format!("{rack} {index}").as_bytes()))
                .unwrap_or(0);
            let index = (first..u16::MAX)
                .find(|index| self.free_workers(zone, *index) >= vms.len())
                .unwrap_or(first);
            let cell = cell::Id { index, zone: zone.clone() };
            self.cells.entry(cell).or_default().extend(vms.iter().map(|vm| (*vm).clone()));
        }
    }

    /// Returns how many more workers a cell can take. An empty cell takes a rack of any size.
    fn free_workers(&self, zone: &Name, index: u16) -> usize {
        match self.cells.get(&cell::Id { index, zone: zone.clone() }) {
            None => usize::MAX,
            Some(vms) => MAX_WORKERS.saturating_sub(vms.len()),
        }
    }
}

/// Returns `quota` times `part` over `whole`, rounded down in every dimension.
fn portion(quota: &Resources, part: &Resources, whole: &Resources) -> Resources {
    let portion = |quota: u64, part: u64, whole: u64| {
        (u128::from(quota) * u128::from(part) / u128::from(whole.max(1))) as u64
    };
    let accelerators =
        portion(quota.accelerators.into(), part.accelerators.into(), whole.accelerators.into());
    Resources {
        accelerators: accelerators as u32,
        memory_mib: portion(quota.memory_mib, part.memory_mib, whole.memory_mib),
        processors_milli: portion(
            quota.processors_milli,
            part.processors_milli,
            whole.processors_milli,
        ),
    }
}

fn total(vms: &[config::Vm]) -> Resources {
    vms.iter().fold(Resources::default(), |sum, vm| sum + vm.resources)
}
