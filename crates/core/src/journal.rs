//! The journal of a cell: its keys in the key-value service and the values under them.

use super::*;

/// One change that is made durable before it is acted on.
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
    /// A job can never end with success.
    Fail {
        /// Why, and what to change.
        reason: String,
        /// The job's serial.
        serial: u128,
    },
    /// A run is proven over.
    Over {
        /// The run's attempt.
        attempt: task::Attempt,
        /// How it ended.
        end: worker::End,
        /// The task.
        key: Key,
    },
    /// A run that was counted as over without a word turns out to have done all its work.
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

/// Names a task within its cell.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub struct Key {
    /// The job's serial.
    pub serial: u128,
    /// Position in the job, from 0.
    pub index: u32,
}

impl Key {
    /// Returns the full name of the task.
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

/// One group commit.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Group {
    /// The changes, in order.
    pub records: Vec<Record>,
    /// Position in the journal, without gaps.
    pub sequence: u64,
    /// Who wrote it.
    pub writer: Holder,
}

/// The owner of a cell, as its owner key has it.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Holder {
    /// The owner's epoch.
    pub epoch: cell::Epoch,
    /// Changes at each start of the owner's process.
    pub incarnation: u64,
    /// The scheduler.
    pub scheduler: Name,
}

/// The highest epoch of a cell, kept without a lease.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Term {
    /// The highest epoch given out.
    pub epoch: cell::Epoch,
    /// Whether that epoch's owner has handed the cell over, and renews no task lease any more.
    pub released: bool,
}

/// The snapshot in force.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Head {
    /// How many parts it has.
    pub parts: u32,
    /// The last group that it holds.
    pub sequence: u64,
}

/// Returns the prefix of every key of the cell.
pub fn prefix(cell: &cell::Id) -> String {
    format!("oleanderstage/cells/{cell}/")
}

/// Returns the key of the cell's owner.
pub fn owner(cell: &cell::Id) -> String {
    format!("{}owner", prefix(cell))
}

/// Returns the key of the cell's highest epoch.
pub fn epoch(cell: &cell::Id) -> String {
    format!("{}epoch", prefix(cell))
}

/// Returns the key of a group.
pub fn group(cell: &cell::Id, sequence: u64) -> String {
    format!("{}journal/{sequence:016x}", prefix(cell))
}

/// Returns the key of the snapshot in force.
pub fn head(cell: &cell::Id) -> String {
    format!("{}snapshot", prefix(cell))
}

/// Returns the key of one part of the snapshot up to a group.
pub fn part(cell: &cell::Id, sequence: u64, index: u32) -> String {
    format!("{}snapshot/{sequence:016x}/{index:08x}", prefix(cell))
}
