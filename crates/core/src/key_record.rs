//! Records of the runs of keyed requests.

use super::*;
use {
    key::{Fingerprint, Id, RECORD_RETENTION_MS},
    key_map::Member,
};

/// Identifies one permission to run. Unique for a key, because no epoch is used twice.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub struct Grant {
    /// The owner's epoch of the partition.
    pub epoch: u64,
    /// Position among the grants of one owner.
    pub serial: u64,
}

/// How a run ended.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum End {
    /// An endpoint answered.
    Answered,
    /// It is proven that nothing ran.
    NotRun,
    /// It may have run, and its answer is lost.
    Unknown,
}

/// One run of a keyed request.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Record {
    /// How it ended; `None` while it may be running.
    pub end: Option<End>,
    /// Must be identical in every repetition.
    pub fingerprint: Fingerprint,
    /// The permission.
    pub grant: Grant,
    /// When the permission was given, in milliseconds since 1970.
    pub granted_ms: u64,
    /// The key.
    pub id: Id,
    /// The entry that runs it.
    pub runner: Member,
}

/// The records that an entry holds as owner, runner or witness.
#[derive(Clone, Debug, Default)]
pub struct Table {
    /// By time of the grant, so that the oldest expire first.
    ages: BTreeSet<(u64, Id)>,
    records: BTreeMap<Id, Record>,
}

impl Record {
    /// Returns whether the request may run again after this run.
    pub fn allows_rerun(&self, idempotent: bool) -> bool {
        match self.end {
            Some(End::NotRun) => true,
            Some(End::Unknown) => idempotent,
            Some(End::Answered) | None => false,
        }
    }
}

impl Table {
    /// Drops records that no valid key can need.
    pub fn expire(&mut self, wall_ms: u64) {
        while let Some((granted_ms, id)) = self.ages.first().copied() {
            if granted_ms + RECORD_RETENTION_MS > wall_ms {
                return;
            }
            self.ages.pop_first();
            self.records.remove(&id);
        }
    }

    /// Records how a run ended, if the record has that grant and no end yet.
    pub fn finish(&mut self, id: &Id, grant: Grant, end: End) {
        if let Some(record) = self.records.get_mut(id).filter(|record| record.grant == grant) {
            record.end.get_or_insert(end);
        }
    }

    /// Returns the record of a key.
    pub fn get(&self, id: &Id) -> Option<&Record> {
        self.records.get(id)
    }

    /// Returns the number of records.
    pub fn len(&self) -> usize {
        self.records.len()
    }

    /// Returns whether there are no records.
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }

    /// Inserts a record unless one of a newer grant is held. For the same grant, a known end is
    /// kept.
    pub fn insert(&mut self, record: Record) {
        if let Some(held) = self.records.get_mut(&record.id) {
            if held.grant > record.grant {
                return;
            }
            if held.grant == record.grant {
                held.end = held.end.or(record.end);
                return;
            }
            self.ages.remove(&(held.granted_ms, held.id));
        }
        self.ages.insert((record.granted_ms, record.id));
        self.records.insert(record.id, record);
    }

    /// Returns the records of `partitions`.
    pub fn in_partitions(&self, partitions: &BTreeSet<u16>) -> Vec<Record> {
        let wanted = |record: &&Record| partitions.contains(&record.id.partition());
        self.records.values().filter(wanted).cloned().collect()
    }
}
