//! The plan of a partition: which connections are disturbed, how and for how long.

use {
    super::*,
    cuts::duration,
    rand::seq::{IteratorRandom, SliceRandom},
    soak::ZONES,
    std::ops::Range,
    way::Way,
};

/// The plan of a partition.
#[derive(Debug)]
pub(crate) struct Partition {
    /// How the connections are disturbed.
    pub way: Way,
    /// How long they are.
    pub time: Duration,
    /// The workers that don't reach the store.
    pub workers: Vec<usize>,
    /// The wires, each by the number of its VM and its own.
    pub wires: Vec<(usize, usize)>,
}

/// The ways of a partition, each as often as it is drawn.
const WAYS: [Way; 5] = [Way::Hold, Way::Hold, Way::Hold, Way::Cut, Way::HoldAndCut];
/// Maximum number of VMs of a side.
const MAX_VMS: usize = 2;
/// Share of partitions that cut one worker off, and no VM.
const LONE_SHARE: f64 = 0.1;
/// Share of partitions from the store only.
const STORE_SHARE: f64 = 0.1;
/// Share of partitions that spare some connections, and the share of connections that these spare.
const PARTIAL_SHARE: f64 = 0.25;
const SPARED: Range<f64> = 0.1..0.6;
/// Duration of a partition, in milliseconds.
const PARTITION_MS: Range<u64> = 500..11_000;
/// Share of the wires that are delayed together, their delay and its duration in milliseconds.
const DELAYED_SHARE: f64 = 0.15;
const DELAY_MS: Range<u64> = 50..600;
const DELAYED_MS: Range<u64> = 500..4_000;

impl Partition {
    /// Draws a side of the machines, which is cut off from the others.
    pub(crate) fn random(random: &mut Pcg64Mcg, vms: usize, workers: usize) -> Self {
        let zone = (random.random_range(0..ZONES.len())..workers).step_by(ZONES.len());
        let is_lone = random.random_bool(LONE_SHARE);
        let most = MAX_VMS.min(vms.saturating_sub(1));
        let vm_count = if is_lone { 0 } else { random.random_range(0..most) + 1 };
        let worker_count = if is_lone { 1 } else { random.random_range(0..=zone.len()) };
        let side_vms = (0..vms).choose_multiple(random, vm_count);
        let mut side_workers: Vec<usize> = zone.collect();
        side_workers.shuffle(random);
        side_workers.truncate(worker_count);
        let store_only = random.random_bool(STORE_SHARE);
        let spared =
            if random.random_bool(PARTIAL_SHARE) { random.random_range(SPARED) } else { 0.0 };
        let is_cut = |(vm, wire): &(usize, usize)| {
            let in_side = side_vms.contains(vm);
            match wire.checked_sub(1) {
                None => in_side,
                Some(worker) => !store_only && in_side != side_workers.contains(&worker),
            }
        };
        let mut wires: Vec<(usize, usize)> = wires(vms, workers).filter(is_cut).collect();
        wires.retain(|_| !random.random_bool(spared));
        side_workers.retain(|_| !random.random_bool(spared));
        let way = WAYS[random.random_range(0..WAYS.len())];
        Self { way, time: duration(random, PARTITION_MS), workers: side_workers, wires }
    }

    /// Draws wires that are delayed.
    pub(crate) fn random_delay(random: &mut Pcg64Mcg, vms: usize, workers: usize) -> Self {
        let way = Way::Delay(duration(random, DELAY_MS));
        let time = duration(random, DELAYED_MS);
        let wires = wires(vms, workers).filter(|_| random.random_bool(DELAYED_SHARE)).collect();
        Self { way, time, workers: Vec::new(), wires }
    }
}

/// Returns the wires of all VMs, each by the number of its VM and its own.
fn wires(vms: usize, workers: usize) -> impl Iterator<Item = (usize, usize)> {
    (0..vms).flat_map(move |vm| (0..=workers).map(move |wire| (vm, wire)))
}
