//! Calls from one process to another.

use super::*;

/// A call from one process to another: one per QUIC stream, answered by one `Reply`.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum Call {
    /// Scheduler: cancels a job. Idempotent.
    Cancel(job::Id),
    /// Any process: returns its configuration if that is newer than `have`.
    Config {
        /// Revision of the caller's configuration.
        have: Revision,
    },
    /// Scheduler: returns the decisions that led to a job's state.
    Explain(job::Id),
    /// Scheduler: returns a job's status.
    Job(job::Id),
    /// Entry: asks about keyed requests.
    Key(key_call::Request),
    /// Entry: returns whether and how the run of a keyed request ended, with its answer if that
    /// was stored.
    KeyAnswer {
        /// The record of the run.
        record: key_record::Record,
        /// How long to wait for the end of the run, in milliseconds.
        wait_ms: u64,
    },
    /// Entry: reports how the run of a keyed request ended, for a second entry to store beside the
    /// one that ran it.
    KeyEnd(stored_answer::End),
    /// Any process: a liveness probe, answered by one of the callee's.
    Probe(Probe),
    /// Scheduler: accepts a job. Idempotent by its id; answered once the job is durable.
    Submit {
        /// Id of the job, assigned by the entry.
        id: job::Id,
        /// The job.
        spec: job::Spec,
    },
}

/// Liveness and state of a process.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Probe {
    /// Cells that the sender owns, with its epoch of each; empty for an entry.
    pub cells: Vec<(cell::Id, cell::Epoch)>,
    /// Differs at each start of the sender's process.
    pub incarnation: u64,
    /// Whether the sender is shutting down and accepts no new work.
    pub leaving: bool,
    /// The sender.
    pub name: Name,
    /// Revision of the sender's active configuration.
    pub revision: Revision,
}
