//! Counts over a sliding window of time.

use super::*;

/// Counts by key over a sliding window, which moves in steps of one time slot.
#[derive(Clone, Debug)]
pub(super) struct Counter<K> {
    /// Time slots with counts, by their number since the origin of `Instant`; only the latest
    /// `slot_count`.
    slots: BTreeMap<u64, BTreeMap<K, u64>>,
    slot_count: u64,
    slot_length: Duration,
}

impl<K: Clone + Ord> Counter<K> {
    pub(super) fn new(window: Duration, slot_length: Duration) -> Self {
        let slot_count = (window.as_micros() / slot_length.as_micros()) as u64;
        Self { slot_count, slots: BTreeMap::new(), slot_length }
    }

    /// Counts one event, and drops the slots that have left the window.
    pub(super) fn count(&mut self, now: Instant, key: K) {
        let slot = self.slot(now);
        self.slots = self.slots.split_off(&(slot + 1).saturating_sub(self.slot_count));
        *self.slots.entry(slot).or_default().entry(key).or_default() += 1;
    }

    /// Returns the slots of the window that ends now, each with its age in slots.
    pub(super) fn series(&self, now: Instant) -> Vec<(u64, &BTreeMap<K, u64>)> {
        let last = self.slot(now);
        let first = (last + 1).saturating_sub(self.slot_count);
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
        (now.since(Instant::default()).as_micros() / self.slot_length.as_micros()) as u64
    }
}
