//! Requests between entries about keyed requests, which are those with an idempotency key, and
//! their answers.

use super::*;
use {
    key::{Fingerprint, Id},
    key_map::Member,
    key_record::{End, Grant, Record},
};

/// A request from one entry to another.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Request {
    /// Return every record of some partitions; sent by their new owner.
    Collect {
        /// The partitions.
        partitions: BTreeSet<u16>,
    },
    /// Confirm that this version of the map is the newest that the recipient knows, and not fenced.
    Confirm {
        /// The version.
        version: u64,
    },
    /// Never confirm this version of the map again, because it is about to change.
    Fence {
        /// The version.
        version: u64,
    },
    /// Record how a run ended.
    Finish {
        /// The result.
        end: End,
        /// The grant that it ran under.
        grant: Grant,
        /// The key.
        id: Id,
    },
    /// Permit a run, or return the record of an earlier one.
    Run {
        /// Must be identical in every repetition.
        fingerprint: Fingerprint,
        /// The key.
        id: Id,
        /// Whether the request may run again after an unknown result.
        idempotent: bool,
        /// The entry that is to run it.
        runner: Member,
    },
    /// Return the state of the run under this grant. A run that has not begun never begins after
    /// this.
    Settle {
        /// The owner's record.
        record: Record,
    },
    /// Keep a copy of this record, because its owner is also its runner.
    Witness {
        /// The record.
        record: Record,
    },
}

/// A peer's answer.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Answer {
    /// The requested records.
    Collected {
        /// Partitions that the peer itself owned and released.
        former: Vec<Release>,
        /// The records.
        records: Vec<Record>,
        /// When the peer's process started, in milliseconds since 1970.
        started_ms: u64,
    },
    /// The version is the newest that the peer knows, and not fenced.
    Confirmed,
    /// The request does not apply; the newest map that the peer knows has this version.
    Declined {
        /// The version, 0 for none.
        version: u64,
    },
    /// The key was used for another request.
    Mismatch,
    /// The run may begin within `key_owner::GRANT_VALIDITY` of the request.
    Permitted(Record),
    /// The key's mint time is in the future.
    Future,
    /// A run was permitted before; this is its record.
    Repeated(Record),
    /// The request was carried out.
    Taken,
    /// The peer does not own the partition, or can't prove now that it does.
    Unowned,
    /// An earlier run can't be ruled out.
    Unvouched,
}

/// The release of a partition by its owner.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Release {
    /// The epoch of the owner that released it.
    pub epoch: u64,
    /// Runs granted before this may be missing, in milliseconds since 1970.
    pub horizon_ms: u64,
    /// The partition.
    pub partition: u16,
}
