//! What entries ask of each other about keyed requests.

use super::*;
use {
    key::{Fingerprint, Id},
    key_map::Member,
    key_record::{End, Grant, Record},
};

/// What one entry asks of another.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Ask {
    /// Every record of some partitions, for their new owner.
    Collect {
        /// The partitions.
        partitions: BTreeSet<u16>,
    },
    /// Whether this version of the map is the newest that the peer knows, and may be relied on.
    Confirm {
        /// The version.
        version: u64,
    },
    /// Confirm this version of the map to nobody any more: it is about to change.
    Fence {
        /// The version.
        version: u64,
    },
    /// Note how a run ended.
    Finish {
        /// How.
        end: End,
        /// The permission that it ran under.
        grant: Grant,
        /// The key.
        id: Id,
    },
    /// Permit a run, or tell what became of the first.
    Run {
        /// What repetitions must have alike.
        fingerprint: Fingerprint,
        /// The key.
        id: Id,
        /// Whether it may run again.
        idempotent: bool,
        /// Who is to run it.
        runner: Member,
    },
    /// Tell how the run under this grant stands; if it has not begun, it never will.
    Settle {
        /// The record that the owner holds.
        record: Record,
    },
    /// Hold this record beside the owner, who runs it itself.
    Witness {
        /// The record.
        record: Record,
    },
}

/// What the peer answers.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Answer {
    /// The records asked for.
    Collected {
        /// Partitions that the peer itself owned and gave up.
        former: Vec<Former>,
        /// The records.
        records: Vec<Record>,
        /// When the peer's process started, in milliseconds since 1970.
        started_ms: u64,
    },
    /// The version is the newest known, and not fenced.
    Confirmed,
    /// No; the peer knows this version of the map.
    Declined {
        /// The version, 0 for none.
        version: u64,
    },
    /// Another request was sent under the key.
    Mismatch,
    /// The run may begin, within `key_owner::GRANT_LIMIT` of the question.
    Permitted(Record),
    /// The key was minted in the future.
    Future,
    /// A run was permitted before.
    Repeated(Record),
    /// Done.
    Taken,
    /// The peer does not own the partition, or can't rely on that now.
    Unowned,
    /// Whether a run was permitted before can't be known.
    Unvouched,
}

/// A partition given up by its owner.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Former {
    /// The epoch of the owner that gave it up.
    pub epoch: u64,
    /// Runs granted before this may be missing, in milliseconds since 1970.
    pub horizon_ms: u64,
    /// The partition.
    pub partition: u16,
}
