//! What happens to an owner, and what it does.

use super::*;

/// What happens to an owner.
#[derive(Clone, Debug, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Event {
    /// A call about a job came in.
    Call {
        /// The call.
        call: Call,
        /// Its ticket.
        ticket: Ticket,
    },
    /// A configuration came in force.
    Configured {
        /// The configuration.
        #[serde(skip)]
        config: Arc<Config>,
        /// The VMs of the cell.
        #[serde(skip)]
        vms: Arc<[config::Vm]>,
    },
    /// The process is told to leave.
    Leave,
    /// The VM list was read.
    Listed(Vec<Listing>),
    /// A run is to make room for a service.
    Relieve {
        /// How.
        relief: Relief,
        /// The task.
        task: task::Id,
    },
    /// A worker answered a batch.
    Reported {
        /// The batch's epoch.
        epoch: cell::Epoch,
        /// The answer.
        report: worker::Report,
        /// The worker's VM.
        vm: Name,
    },
    /// A worker refused a batch, for it has seen a higher epoch.
    Stale {
        /// The batch's epoch.
        epoch: cell::Epoch,
        /// The worker's VM.
        vm: Name,
    },
    /// The key-value service answered, or failed to.
    Store {
        /// Which call.
        call: u64,
        /// The answer.
        reply: store::Reply,
    },
    /// Time went by.
    Tick,
    /// A worker did not answer a batch.
    Unreached {
        /// The batch's epoch.
        epoch: cell::Epoch,
        /// The worker's VM.
        vm: Name,
    },
}

/// A call about a job.
#[derive(Clone, Debug, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Call {
    /// Cancel it.
    Cancel(job::Id),
    /// Say why it stands where it stands.
    Explain(job::Id),
    /// Say where it stands.
    Job(job::Id),
    /// Accept it.
    Submit {
        /// Its name.
        id: job::Id,
        /// The job.
        spec: job::Spec,
    },
}

/// What an owner has done.
#[derive(Clone, Debug, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Action {
    /// Answer a call.
    Answer {
        /// The answer.
        answer: Answer,
        /// The call's ticket.
        ticket: Ticket,
    },
    /// Tell operators.
    Note(Note),
    /// Send a batch to a worker.
    Send {
        /// The batch.
        batch: worker::Batch,
        /// The worker's VM.
        vm: Name,
    },
    /// Call the key-value service.
    Store {
        /// Names the call.
        call: u64,
        /// The call.
        request: store::Request,
    },
}

/// An event for operators.
#[derive(Clone, Debug, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Note {
    /// The cell has another owner, or none.
    Lost,
    /// A value in the key-value service is refused.
    Refused(String),
    /// The cell is handed over.
    Released,
    /// The cell is owned from now on.
    TookOver {
        /// The epoch.
        epoch: cell::Epoch,
        /// Jobs in the ledger.
        jobs: usize,
    },
}
