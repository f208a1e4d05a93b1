//! All partitions of the key space that an entry owns or gave up.

use super::*;
use {
    key::Now,
    key_call::{Ask, Former},
    key_event::{Action, Reading},
    key_map::{Member, Part},
    key_tenure::{Stage, Tenure},
};

/// All partitions of the key space that an entry owns or gave up.
#[derive(Clone, Debug, Default)]
pub(crate) struct Tenures {
    /// Partitions that this process gave up itself.
    former: BTreeMap<u16, Former>,
    held: BTreeMap<u16, Tenure>,
    /// Partitions given up whose records were told since.
    told: BTreeSet<u16>,
    /// Revision of the map that was last asked to give partitions up. Until the map has changed,
    /// that may take effect still.
    yielded_at: i64,
}

impl Tenures {
    /// Returns whether nothing is held, and the records of everything given up were told.
    pub(crate) fn are_handed_over(&self) -> bool {
        self.held.is_empty() && self.former.keys().all(|part| self.told.contains(part))
    }

    /// Takes the answer of `from`, asked at `sent`, to the question for records.
    pub(crate) fn collected(
        &mut self,
        partitions: &BTreeSet<u16>,
        from: &Member,
        sent: Instant,
        former: &[Former],
        started_ms: u64,
    ) {
        for partition in partitions {
            let Some(tenure) = self.held.get_mut(partition) else { continue };
            tenure.answered(from, sent, started_ms);
            if let Some(former) = former.iter().find(|former| former.partition == *partition) {
                tenure.inherit(former);
            }
        }
    }

    /// Ends collections that are complete or whose time is over.
    pub(crate) fn end_collections(&mut self, now: Now, started_ms: u64) {
        self.held.values_mut().for_each(|tenure| tenure.end_collection(now, started_ms));
    }

    /// Returns the tenure of a partition.
    pub(crate) fn get(&self, partition: &u16) -> Option<&Tenure> {
        self.held.get(partition)
    }

    /// Permits nothing more in a partition whose records are all here, and returns whether it may
    /// be given up by a change of the map of revision `modified`.
    pub(crate) fn give_up(&mut self, partition: u16, modified: i64) -> bool {
        let Some(tenure) = self.held.get_mut(&partition) else { return false };
        if !tenure.serves() && !tenure.yields() {
            return false;
        }
        tenure.stage = Stage::Yielding;
        self.yielded_at = modified;
        true
    }

    /// Returns the questions of a new owner, one for each member that has not answered.
    pub(crate) fn questions(&self) -> Vec<Action> {
        let mut wanted: BTreeMap<&Member, BTreeSet<u16>> = BTreeMap::new();
        for (partition, tenure) in &self.held {
            for member in tenure.open() {
                wanted.entry(member).or_default().insert(*partition);
            }
        }
        let question = |(to, partitions): (&Member, _)| Action::to(to, Ask::Collect { partitions });
        wanted.into_iter().map(question).collect()
    }

    /// Brings the tenures of `me` in line with the map in hand.
    pub(crate) fn revise(&mut self, now: Now, me: &Member, reading: &Reading) {
        let Some(map) = &reading.map else { return };
        for (partition, part) in (0..).zip(&map.parts) {
            let mine = part.owner.as_ref() == Some(me);
            let held = self.held.get(&partition).map(|tenure| tenure.epoch);
            if mine && held != Some(part.epoch) {
                let mut tenure = Tenure::new(now, me, map, part);
                if let Some(former) = self.former.remove(&partition) {
                    tenure.inherit(&former);
                }
                self.held.insert(partition, tenure);
            }
            if !mine && held.is_some() {
                self.lose(partition, part);
            }
        }
        if reading.modified > self.yielded_at {
            let yielding = self.held.values_mut().filter(|tenure| tenure.yields());
            yielding.for_each(|tenure| tenure.stage = Stage::Serving);
        }
    }

    /// Returns which of `partitions` this process gave up; their records are being told.
    pub(crate) fn tell(&mut self, partitions: &BTreeSet<u16>) -> Vec<Former> {
        let former = self.former.values().filter(|former| partitions.contains(&former.partition));
        let former: Vec<Former> = former.copied().collect();
        self.told.extend(former.iter().map(|former| former.partition));
        former
    }

    /// Drops a partition that the map gives to nobody or to another; what this process gave up
    /// itself can still be vouched for.
    fn lose(&mut self, partition: u16, part: &Part) {
        let Some(tenure) = self.held.remove(&partition) else { return };
        self.told.remove(&partition);
        if tenure.yields() && part.epoch <= tenure.epoch + 1 {
            let Tenure { epoch, horizon_ms, .. } = tenure;
            self.former.insert(partition, Former { epoch, horizon_ms, partition });
        }
    }
}
