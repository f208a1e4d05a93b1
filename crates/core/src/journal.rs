//! The journal of a cell: its keys in the key-value service and the values under them.

use super::*;

/// One change of a cell's state, made durable before it takes effect.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Record {
    /// A job was accepted.
    Accept {
        /// The job's serial.
        serial: u128,
        /// The job.
        spec: job::Spec,
    },
    /// A job was cancelled.
    Cancel {
        /// The job's serial.
        serial: u128,
    },
    /// A job can't succeed any more.
    Fail {
        /// The reason, and what to change.
        reason: String,
        /// The job's serial.
        serial: u128,
    },
    /// A run has provably ended.
    Over {
        /// The run's attempt.
        attempt: task::Attempt,
        /// How it ended.
        end: worker::End,
        /// The task.
        key: Key,
    },
    /// A run that was recorded as over without a report turns out to have finished its work.
    Overtake {
        /// The run's attempt.
        attempt: task::Attempt,
        /// The task.
        key: Key,
    },
    /// A run is about to be started.
    Start {
        /// The run's attempt.
        attempt: task::Attempt,
        /// The task.
        key: Key,
        /// The VM.
        vm: Name,
    },
}

/// Identifies a task within its cell.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub struct Key {
    /// The job's serial.
    pub serial: u128,
    /// Position in the job, from 0.
    pub index: u32,
}

impl Key {
    /// Returns the task's id, which includes the cell.
    pub fn task(&self, cell: &cell::Id) -> task::Id {
        let job = job::Id { cell: cell.clone(), serial: self.serial };
        task::Id { index: self.index, job }
    }
}

impl Display for Key {
    fn fmt(&self, f: &mut Formatter) -> fmt::Result {
        write!(f, "{:032x}/{}", self.serial, self.index)
    }
}

/// The records of one group commit.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Group {
    /// The changes, in order.
    pub records: Vec<Record>,
    /// Position in the journal, without gaps.
    pub sequence: u64,
    /// The owner that wrote it.
    pub writer: Holder,
}

/// The owner of a cell, as stored in the owner key.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Holder {
    /// The owner's epoch.
    pub epoch: cell::Epoch,
    /// Differs at each start of the owner's process.
    pub incarnation: u64,
    /// The scheduler.
    pub scheduler: Name,
}

/// The highest epoch of a cell, stored without a lease.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Term {
    /// The highest epoch used so far.
    pub epoch: cell::Epoch,
    /// Whether that epoch's owner has handed the cell over and renews no task leases any more.
    pub released: bool,
}

/// Describes the current snapshot.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Head {
    /// Number of its parts.
    pub parts: u32,
    /// The last group that it includes.
    pub sequence: u64,
}

/// Returns the prefix of every key of the cell.
pub fn prefix(cell: &cell::Id) -> String {
    format!("oleanderstage/cells/{cell}/")
}

/// Returns the key of the cell's owner.
pub fn owner_key(cell: &cell::Id) -> String {
    format!("{}owner", prefix(cell))
}

/// Returns the key of the cell's highest epoch.
pub fn epoch_key(cell: &cell::Id) -> String {
    format!("{}epoch", prefix(cell))
}

/// Returns the key of a group.
pub fn group_key(cell: &cell::Id, sequence: u64) -> String {
    format!("{}journal/{sequence:016x}", prefix(cell))
}

/// Returns the key of the current snapshot's head.
pub fn head_key(cell: &cell::Id) -> String {
    format!("{}snapshot", prefix(cell))
}

/// Returns the key of one part of the snapshot that includes groups up to `sequence`.
pub fn part_key(cell: &cell::Id, sequence: u64, index: u32) -> String {
    format!("{}snapshot/{sequence:016x}/{index:08x}", prefix(cell))
}
