//! The head of a cell's records: each commit replaces it, so that no commit overtakes another.

use super::*;

/// What the store holds at the head of a cell.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Head {
    /// The cell's number.
    pub cell: u32,
    /// Counts the owners, from 1.
    pub generation: u32,
    /// Processors that are not reserved, in thousandths of a core.
    #[serde(default)]
    pub free_milli: u64,
    /// Processors of all usable workers, in thousandths of a core.
    #[serde(default)]
    pub total_milli: u64,
    /// Core-milliseconds of work that waits or runs, by priority.
    #[serde(default)]
    pub backlog: BTreeMap<u32, u64>,
    /// Processors that tasks of a filling image would find, in thousandths of a core.
    #[serde(default)]
    pub usable_milli: BTreeMap<String, u64>,
    /// The most processors that one worker has free, in thousandths of a core.
    #[serde(default)]
    pub largest_milli: u64,
    /// The owner.
    pub owner: String,
    /// Jobs without a started task, by queue.
    #[serde(default)]
    pub pending: BTreeMap<String, u64>,
    /// Counts the commits of this owner.
    pub sequence: u64,
}
