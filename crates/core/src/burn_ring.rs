//! Counts over a window that moves.

use super::*;

/// Counts by key over the latest slots of time.
#[derive(Clone, Debug)]
pub(super) struct Ring<K> {
    /// Slots with counts, by their number since the origin; only the latest `length`.
    slots: BTreeMap<u64, BTreeMap<K, u64>>,
    length: u64,
    width: Duration,
}

impl<K: Clone + Ord> Ring<K> {
    pub(super) fn new(window: Duration, width: Duration) -> Self {
        let length = (window.as_micros() / width.as_micros()) as u64;
        Self { length, slots: BTreeMap::new(), width }
    }

    pub(super) fn count(&mut self, now: Instant, key: K) {
        let slot = self.slot(now);
        self.slots = self.slots.split_off(&(slot + 1).saturating_sub(self.length));
        *self.slots.entry(slot).or_default().entry(key).or_default() += 1;
    }

    /// Returns the slots of the window that ends now, each with its age in slots.
    pub(super) fn series(&self, now: Instant) -> Vec<(u64, &BTreeMap<K, u64>)> {
        let last = self.slot(now);
        let first = (last + 1).saturating_sub(self.length);
        let slots = self.slots.range(first..=last);
        slots.map(|(slot, counts)| (last - slot, counts)).collect()
    }

    /// Returns the counts of the window that ends now.
    pub(super) fn sum(&self, now: Instant) -> BTreeMap<K, u64> {
        let mut sum = BTreeMap::new();
        for (_, counts) in self.series(now) {
            for (key, count) in counts {
                *sum.entry(key.clone()).or_default() += count;
            }
        }
        sum
    }

    fn slot(&self, now: Instant) -> u64 {
        (now.since(Instant::default()).as_micros() / self.width.as_micros()) as u64
    }
}
