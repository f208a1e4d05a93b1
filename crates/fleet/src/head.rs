//! The head of a cell's records. Each commit replaces it on the condition that it is unchanged, so
//! that commits apply in order.

use super::*;

/// A cell's head in the store: its owner and its load.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct Head {
    /// The cell's number.
    pub cell: u32,
    /// The number of the owner, counted from 1.
    pub generation: u32,
    /// Unreserved processors, in thousandths of a core.
    #[serde(default)]
    pub free_milli: u64,
    /// The memory that the cell's jobs take at their owner, in bytes.
    #[serde(default)]
    pub held_bytes: u64,
    /// Processors reserved by lasting tasks, which keep them for minutes, in thousandths of a core.
    #[serde(default)]
    pub lasting_milli: u64,
    /// Processors that lasting tasks may hold when another job of them starts, in thousandths of a
    /// core; 0 if unknown.
    #[serde(default)]
    pub lasting_limit_milli: u64,
    /// Processors that lasting tasks want which wait and have never run, in thousandths of a core.
    #[serde(default)]
    pub lasting_waiting_milli: u64,
    /// Processors of all workers that answer, in thousandths of a core.
    #[serde(default)]
    pub total_milli: u64,
    /// Unfinished work, in core-milliseconds by priority.
    #[serde(default)]
    pub backlog: BTreeMap<u32, u64>,
    /// Processors that tasks of each filling image could use, in thousandths of a core.
    #[serde(default)]
    pub usable_milli: BTreeMap<String, u64>,
    /// What the workers that get new runs can hold; `None` if it is not known.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub inventory: Option<Inventory>,
    /// Unreserved processors of the usable worker with the most, in thousandths of a core.
    #[serde(default)]
    pub largest_milli: u64,
    /// The incarnation of the process that owns the cell: its VM's name and its start time.
    pub owner: String,
    /// The number of jobs without a started task, by queue.
    #[serde(default)]
    pub pending: BTreeMap<String, u64>,
    /// Whether the store tells of all lasting tasks of the cell that have run; false if an earlier version of
    /// this program has owned it.
    #[serde(default)]
    pub records_starts: bool,
    /// The number of commits by this owner.
    pub sequence: u64,
    /// How long the steps of each queue take.
    #[serde(default)]
    pub steps: BTreeMap<String, Fit>,
    /// The filling work of each image, as far as it is known.
    #[serde(default)]
    pub throughput: BTreeMap<String, Throughput>,
    /// Whether the owner knows that orders of earlier owners are over at every worker.
    #[serde(default)]
    pub settled: bool,
    /// For how long leases that earlier owners granted may last, in milliseconds; 0 if settled, or unknown.
    #[serde(default)]
    pub settling_ms: u64,
    /// The workers most of which its owner must hear to extend leases while the store is silent; empty if it
    /// extends them without that. They stay those of the last owner until the cell is settled.
    #[serde(default, skip_serializing_if = "BTreeSet::is_empty")]
    pub voters: BTreeSet<String>,
    /// Workers whose leases may last longer than a new owner waits for, as they have started again lately, with how
    /// long they may last, in milliseconds. Runs that they get are recorded with their worker before they are ordered.
    #[serde(default, skip_serializing_if = "BTreeMap::is_empty")]
    pub long_leases: BTreeMap<String, u64>,
    /// Workers that are not assigned to the cell any more, and may hold runs.
    #[serde(default, skip_serializing_if = "BTreeSet::is_empty")]
    pub former: BTreeSet<String>,
    /// Workers without runs that get none before a later head: they drain, or have been silent for longer
    /// than their lease.
    #[serde(default, skip_serializing_if = "BTreeSet::is_empty")]
    pub vacated: BTreeSet<String>,
}
