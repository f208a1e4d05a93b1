//! All partitions of the key space that an entry owns or has released.

use super::*;
use {
    key::Now,
    key_call::{Release, Request},
    key_event::{Action, Reading},
    key_map::{Member, Part},
    key_ownership::{Ownership, Stage},
};

/// All partitions of the key space that an entry owns or has released.
#[derive(Clone, Debug, Default)]
pub(crate) struct Ownerships {
    /// Partitions that this process released itself.
    released: BTreeMap<u16, Release>,
    owned: BTreeMap<u16, Ownership>,
    /// Released partitions whose records were sent to a new owner since.
    reported: BTreeSet<u16>,
    /// Revision of the map that the last change to release partitions was based on. Until the map
    /// has a newer revision, that change may still take effect.
    release_revision: i64,
}

impl Ownerships {
    /// Returns whether no partition is owned, and the records of all released ones were sent.
    pub(crate) fn are_handed_over(&self) -> bool {
        self.owned.is_empty() && self.released.keys().all(|part| self.reported.contains(part))
    }

    /// Records the answer of `from` to a request for records that was sent at `sent`.
    pub(crate) fn record_collected(
        &mut self,
        partitions: &BTreeSet<u16>,
        from: &Member,
        sent: Instant,
        releases: &[Release],
        started_ms: u64,
    ) {
        for partition in partitions {
            let Some(ownership) = self.owned.get_mut(partition) else { continue };
            ownership.record_answer(from, sent, started_ms);
            if let Some(release) = releases.iter().find(|release| release.partition == *partition) {
                ownership.inherit(release);
            }
        }
    }

    /// Ends collections that are complete or past their deadline.
    pub(crate) fn end_collections(&mut self, now: Now, started_ms: u64) {
        self.owned.values_mut().for_each(|ownership| ownership.end_collection(now, started_ms));
    }

    /// Returns the ownership of a partition.
    pub(crate) fn get(&self, partition: &u16) -> Option<&Ownership> {
        self.owned.get(partition)
    }

    /// Stops permitting runs in a partition whose records are complete, and returns whether a
    /// change of the map of revision `modified` may release it.
    pub(crate) fn release(&mut self, partition: u16, modified: i64) -> bool {
        let Some(ownership) = self.owned.get_mut(&partition) else { return false };
        if !ownership.serves() && !ownership.is_releasing() {
            return false;
        }
        ownership.stage = Stage::Releasing;
        self.release_revision = modified;
        true
    }

    /// Returns one request for records for each member that has not answered.
    pub(crate) fn requests(&self) -> Vec<Action> {
        let mut wanted: BTreeMap<&Member, BTreeSet<u16>> = BTreeMap::new();
        for (partition, ownership) in &self.owned {
            for member in ownership.unanswered() {
                wanted.entry(member).or_default().insert(*partition);
            }
        }
        let collect =
            |(to, partitions): (&Member, _)| Action::send_to(to, Request::Collect { partitions });
        wanted.into_iter().map(collect).collect()
    }

    /// Updates the ownerships of `me` from the newest map.
    pub(crate) fn update(&mut self, now: Now, me: &Member, reading: &Reading) {
        let Some(map) = &reading.map else { return };
        for (partition, part) in (0..).zip(&map.parts) {
            let mine = part.owner.as_ref() == Some(me);
            let owned_epoch = self.owned.get(&partition).map(|ownership| ownership.epoch);
            if mine && owned_epoch != Some(part.epoch) {
                let mut ownership = Ownership::new(now, me, map, part);
                if let Some(release) = self.released.remove(&partition) {
                    ownership.inherit(&release);
                }
                self.owned.insert(partition, ownership);
            }
            if !mine && owned_epoch.is_some() {
                self.remove(partition, part);
            }
        }
        // The change that was to release them has failed if they are still owned.
        if reading.modified > self.release_revision {
            let releasing = self.owned.values_mut().filter(|ownership| ownership.is_releasing());
            releasing.for_each(|ownership| ownership.stage = Stage::Serving);
        }
    }

    /// Returns which of `partitions` this process released, and marks their records as sent.
    pub(crate) fn report_released(&mut self, partitions: &BTreeSet<u16>) -> Vec<Release> {
        let releases =
            self.released.values().filter(|release| partitions.contains(&release.partition));
        let releases: Vec<Release> = releases.copied().collect();
        self.reported.extend(releases.iter().map(|release| release.partition));
        releases
    }

    /// Removes a partition that the map assigns to no one or to another member. If this process
    /// released it, its release is kept for the next owner.
    fn remove(&mut self, partition: u16, part: &Part) {
        let Some(ownership) = self.owned.remove(&partition) else { return };
        self.reported.remove(&partition);
        if ownership.is_releasing() && part.epoch <= ownership.epoch + 1 {
            let Ownership { epoch, horizon_ms, .. } = ownership;
            self.released.insert(partition, Release { epoch, horizon_ms, partition });
        }
    }
}
