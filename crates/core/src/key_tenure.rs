//! One partition of the key space that an entry owns, by the map.

use super::*;
use {
    key::{AHEAD_MS, Now},
    key_call::Former,
    key_map::{Map, Member, Part},
    key_owner::{COLLECT_LIMIT, LEASE, SETTLE},
};

/// One partition that an entry owns, by the map.
#[derive(Clone, Debug)]
pub(crate) struct Tenure {
    pub(crate) epoch: u64,
    /// Runs granted before this may be missing, in milliseconds since 1970.
    pub(crate) horizon_ms: u64,
    pub(crate) stage: Stage,
}

/// How far a tenure has come.
#[derive(Clone, Debug)]
pub(crate) enum Stage {
    /// Asks the members for their records.
    Collecting(Collection),
    /// Permits runs.
    Serving,
    /// Gives the partition up: permits nothing.
    Yielding,
}

/// What a new owner has heard from the other members.
#[derive(Clone, Debug)]
pub(crate) struct Collection {
    /// Members that told their records after `from`, with the start of their process.
    answered: BTreeMap<Member, u64>,
    /// No earlier owner permits anything from then on, and no permitted run begins.
    from: Instant,
    /// When a member other than an owner was last lost, in milliseconds since 1970.
    lost_ms: u64,
    /// Whom to hear from.
    members: BTreeSet<Member>,
    until: Instant,
}

impl Tenure {
    /// Starts the tenure that `part` of `map` gives to `me`.
    pub(crate) fn new(now: Now, me: &Member, map: &Map, part: &Part) -> Self {
        let from = now.at + SETTLE;
        let stage = match part.epoch {
            1 => Stage::Serving,
            _ => Stage::Collecting(Collection {
                answered: BTreeMap::new(),
                from,
                lost_ms: part.lost_ms,
                members: map.members.iter().filter(|other| *other != me).cloned().collect(),
                until: from + COLLECT_LIMIT,
            }),
        };
        Self { epoch: part.epoch, horizon_ms: 0, stage }
    }

    /// Notes that `from`, asked at `sent`, told every record that it holds.
    pub(crate) fn answered(&mut self, from: &Member, sent: Instant, started_ms: u64) {
        let Stage::Collecting(collection) = &mut self.stage else { return };
        if sent >= collection.from && collection.members.contains(from) {
            collection.answered.insert(from.clone(), started_ms);
        }
    }

    /// Ends the collection when it is complete or its time is over.
    pub(crate) fn end_collection(&mut self, now: Now, started_ms: u64) {
        let Stage::Collecting(collection) = &self.stage else { return };
        if collection.is_complete() {
            self.horizon_ms = collection.horizon_ms(started_ms);
            self.stage = Stage::Serving;
        } else if now.at >= collection.until {
            self.horizon_ms = now.wall_ms;
            self.stage = Stage::Serving;
        }
    }

    /// Takes the partition over from the owner before, which gave it up itself and told its records.
    pub(crate) fn inherit(&mut self, former: &Former) {
        let collecting = matches!(self.stage, Stage::Collecting(_));
        if collecting && former.epoch + 1 == self.epoch {
            self.horizon_ms = former.horizon_ms;
            self.stage = Stage::Serving;
        }
    }

    /// Returns whom to ask still.
    pub(crate) fn open(&self) -> impl Iterator<Item = &Member> {
        let collection = match &self.stage {
            Stage::Collecting(collection) => Some(collection),
            Stage::Serving | Stage::Yielding => None,
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

    /// Returns whether the partition is being given up.
    pub(crate) fn yields(&self) -> bool {
        matches!(self.stage, Stage::Yielding)
    }
}

impl Collection {
    /// Returns since when every run is known: each was recorded by two members, of which one at
    /// most was lost.
    fn horizon_ms(&self, started_ms: u64) -> u64 {
        let started = self.answered.values().copied().fold(started_ms, u64::max);
        let lost = match self.lost_ms {
            0 => 0,
            lost => lost + LEASE.as_millis() as u64 + AHEAD_MS,
        };
        started.max(lost)
    }

    fn is_complete(&self) -> bool {
        !self.members.is_empty() && self.answered.len() == self.members.len()
    }
}
