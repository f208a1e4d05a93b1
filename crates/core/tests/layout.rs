//! The division of VMs into cells.

#![allow(clippy::unwrap_used)]

use {
    oleanderstage_core::{Config, Layout, Name, Resources, config, layout},
    std::collections::{BTreeMap, BTreeSet},
};

fn name(text: &str) -> Name {
    Name::try_from(text).unwrap()
}

fn config(racks: usize) -> Config {
    let vm = |index: usize| config::Vm {
        address: "127.0.0.1:1".parse().unwrap(),
        connections: 64,
        name: name(&format!("vm-{index}")),
        rack: name(&format!("rack-{}", index / 8)),
        resources: Resources { accelerators: 1, memory_mib: 1_024, processors_milli: 16_000 },
        services: Vec::new(),
        slots: 8,
        zone: name("billund-1"),
    };
    let quota = Resources { accelerators: 7, memory_mib: 1_001, processors_milli: 100_000 };
    Config {
        teams: vec![config::Team { name: name("shops"), quota }],
        vms: (0..racks * 8).map(vm).collect(),
        ..Config::default()
    }
}

fn racks(layout: &Layout) -> BTreeMap<Name, BTreeSet<String>> {
    let mut racks: BTreeMap<Name, BTreeSet<String>> = BTreeMap::new();
    for (cell, vms) in &layout.cells {
        for vm in vms {
            racks.entry(vm.rack.clone()).or_default().insert(cell.to_string());
        }
    }
    racks
}

#[test]
fn cells_hold_whole_racks_and_at_most_300_workers() {
    for count in [1, 9, 37, 38, 100, 333] {
        let config = config(count);
        let layout = Layout::new(&config);
        assert_eq!(layout.cells.values().map(Vec::len).sum::<usize>(), config.vms.len());
        assert!(layout.cells.values().all(|vms| vms.len() <= layout::MAX_WORKERS));
        assert!(racks(&layout).values().all(|cells| cells.len() == 1));
    }
}

#[test]
fn a_further_rack_moves_no_other() {
    let (before, after) = (racks(&Layout::new(&config(90))), racks(&Layout::new(&config(91))));
    let moved = before.iter().filter(|(rack, cells)| after[*rack] != **cells).count();
    assert_eq!(moved, 0);
}

#[test]
fn cells_share_a_quota_without_asking_each_other() {
    let config = config(60);
    let layout = Layout::new(&config);
    let parts =
        layout.cells.values().map(|vms| Layout::config_for_cell(&config, vms).teams[0].quota);
    let sum = parts.fold(Resources::default(), |sum, part| sum + part);
    assert_eq!(sum, config.teams[0].quota);
}

#[test]
fn every_cell_ranks_the_schedulers_of_its_zone_first() {
    let cell = "billund-1.0".parse().unwrap();
    let names: Vec<Name> = (0..7).map(|index| name(&format!("scheduler-{index}"))).collect();
    let zones = [name("billund-1"), name("odense-1")];
    let all: Vec<(&Name, &Name)> =
        names.iter().enumerate().map(|(index, own)| (own, &zones[index % 2])).collect();
    let mut ranks: Vec<(u32, &Name)> =
        all.iter().map(|own| (Layout::rank(&cell, *own, &all), own.1)).collect();
    ranks.sort();
    let order: Vec<u32> = ranks.iter().map(|rank| rank.0).collect();
    assert_eq!(order, [0, 1, 2, 3, 4, 5, 6]);
    assert!(ranks[..4].iter().all(|(_, zone)| *zone == &zones[0]));
}
