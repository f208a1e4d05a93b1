//! An entry's ownership of one partition of the key space.

use super::*;
use {
    key::{MAX_CLOCK_SKEW_MS, Now},
    key_call::Release,
    key_map::{Map, Member, Part},
    key_owner::{COLLECT_DELAY, COLLECT_TIMEOUT, LEASE_TTL},
};

/// An entry's ownership of one partition, as the map assigns it.
#[derive(Clone, Debug)]
pub(crate) struct Ownership {
    pub(crate) epoch: u64,
    /// Runs granted before this may be missing, in milliseconds since 1970.
    pub(crate) horizon_ms: u64,
    pub(crate) stage: Stage,
}

/// The stages of an ownership.
#[derive(Clone, Debug)]
pub(crate) enum Stage {
    /// Collects the records of the other members.
    Collecting(Collection),
    /// Permits runs.
    Serving,
    /// Releases the partition: permits no runs.
    Releasing,
}

/// The progress of a new owner in collecting records.
#[derive(Clone, Debug)]
pub(crate) struct Collection {
    /// Members that sent their records after `not_before`, with the start time of their process.
    answered: BTreeMap<Member, u64>,
    /// From then on, earlier owners permit no runs and no run that they permitted can begin.
    not_before: Instant,
    /// When a member other than the owner was last lost, in milliseconds since 1970.
    lost_ms: u64,
    /// Members whose records are needed.
    members: BTreeSet<Member>,
    deadline: Instant,
}

impl Ownership {
    /// Returns the ownership of `part` of `map` by `me`. Its first owner has nothing to collect.
    pub(crate) fn new(now: Now, me: &Member, map: &Map, part: &Part) -> Self {
        let not_before = now.at + COLLECT_DELAY;
        let stage = match part.epoch {
            1 => Stage::Serving,
            _ => Stage::Collecting(Collection {
                answered: BTreeMap::new(),
                not_before,
                lost_ms: part.lost_ms,
                members: map.members.iter().filter(|other| *other != me).cloned().collect(),
                deadline: not_before + COLLECT_TIMEOUT,
            }),
        };
        Self { epoch: part.epoch, horizon_ms: 0, stage }
    }

    /// Records that `from` sent all of its records in answer to a request sent at `sent`.
    pub(crate) fn record_answer(&mut self, from: &Member, sent: Instant, started_ms: u64) {
        let Stage::Collecting(collection) = &mut self.stage else { return };
        if sent >= collection.not_before && collection.members.contains(from) {
            collection.answered.insert(from.clone(), started_ms);
        }
    }

    /// Ends the collection when it is complete or past its deadline. An incomplete collection moves
    /// the horizon to `now`.
    pub(crate) fn end_collection(&mut self, now: Now, started_ms: u64) {
        let Stage::Collecting(collection) = &self.stage else { return };
        if collection.is_complete() {
            self.horizon_ms = collection.horizon_ms(started_ms);
            self.stage = Stage::Serving;
        } else if now.at >= collection.deadline {
            self.horizon_ms = now.wall_ms;
            self.stage = Stage::Serving;
        }
    }

    /// Takes the partition over from its previous owner, which released it and sent its records.
    pub(crate) fn inherit(&mut self, release: &Release) {
        let collecting = matches!(self.stage, Stage::Collecting(_));
        if collecting && release.epoch + 1 == self.epoch {
            self.horizon_ms = release.horizon_ms;
            self.stage = Stage::Serving;
        }
    }

    /// Returns the members whose records are still missing.
    pub(crate) fn unanswered(&self) -> impl Iterator<Item = &Member> {
        let collection = match &self.stage {
            Stage::Collecting(collection) => Some(collection),
            Stage::Serving | Stage::Releasing => None,
        };
        collection.into_iter().flat_map(|collection| {
            let answered = &collection.answered;
            collection.members.iter().filter(|member| !answered.contains_key(member))
        })
    }

    /// Returns whether runs may be permitted.
    pub(crate) fn serves(&self) -> bool {
        matches!(self.stage, Stage::Serving)
    }

    /// Returns whether the partition is being released.
    pub(crate) fn is_releasing(&self) -> bool {
        matches!(self.stage, Stage::Releasing)
    }
}

impl Collection {
    /// Returns the time since which every run is known: two members recorded each run, and at most
    /// one of them was lost.
    fn horizon_ms(&self, started_ms: u64) -> u64 {
        let started = self.answered.values().copied().fold(started_ms, u64::max);
        let lost = match self.lost_ms {
            0 => 0,
            lost => lost + LEASE_TTL.as_millis() as u64 + MAX_CLOCK_SKEW_MS,
        };
        started.max(lost)
    }

    fn is_complete(&self) -> bool {
        !self.members.is_empty() && self.answered.len() == self.members.len()
    }
}
