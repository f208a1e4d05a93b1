//! What one process asks of another.

use super::*;

/// What one process asks of another: one call a QUIC stream, answered by one `Reply`.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum Call {
    /// Any process: cancel a job. Idempotent.
    Cancel(job::Id),
    /// Any process: the newest configuration, when it is newer than `have`.
    Config {
        /// The caller's own revision.
        have: Revision,
    },
    /// Scheduler: why a job stands where it stands.
    Explain(job::Id),
    /// Scheduler: where a job stands.
    Job(job::Id),
    /// Entry: about keyed requests.
    Key(key_call::Request),
    /// Entry: how the run of a keyed request stands, and its answer if that was kept.
    KeyAnswer {
        /// The record of the run.
        record: key_record::Record,
        /// How long to wait for its end, in milliseconds.
        wait_ms: u64,
    },
    /// Entry: how the run of a keyed request ended, to be held beside its runner.
    KeyEnd(kept::End),
    /// Any process: a sign of life, both ways.
    Probe(Probe),
    /// Scheduler: accept a job. Idempotent by its id; answered once durable.
    Submit {
        /// The job's name, made by the entry.
        id: job::Id,
        /// The job.
        spec: job::Spec,
    },
}

/// A sign of life.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Probe {
    /// Cells that the sender owns, with its epoch of each; empty for an entry.
    pub cells: Vec<(cell::Id, cell::Epoch)>,
    /// Changes at each start of the sender's process.
    pub incarnation: u64,
    /// Whether the sender takes nothing new.
    pub leaving: bool,
    /// The sender.
    pub name: Name,
    /// The newest configuration that the sender has in force.
    pub revision: Revision,
}
