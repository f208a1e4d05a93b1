//! Events and actions of `Owner`.

use super::*;

/// An event for an owner.
#[derive(Clone, Debug, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Event {
    /// A call about a job came in.
    Call {
        /// The call.
        call: Call,
        /// The ticket that its answer carries.
        ticket: Ticket,
    },
    /// A configuration is in force.
    Configured {
        /// The configuration.
        #[serde(skip)]
        config: Arc<Config>,
        /// The VMs of the cell.
        #[serde(skip)]
        vms: Arc<[config::Vm]>,
    },
    /// The process is to leave.
    Leave,
    /// The VM list was read.
    Listed(Vec<Listing>),
    /// A run is to free resources for a service.
    Relieve {
        /// How it frees them.
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
    /// A worker refused a batch because it has seen a higher epoch.
    Stale {
        /// The batch's epoch.
        epoch: cell::Epoch,
        /// The worker's VM.
        vm: Name,
    },
    /// The key-value service answered a call, or the call failed.
    Store {
        /// The number of the call.
        call: u64,
        /// The answer.
        reply: store::Reply,
    },
    /// Time has passed.
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
    /// Cancel the job.
    Cancel(job::Id),
    /// Explain the job's state.
    Explain(job::Id),
    /// Return the job's status.
    Job(job::Id),
    /// Accept a job.
    Submit {
        /// The job's id.
        id: job::Id,
        /// The job.
        spec: job::Spec,
    },
}

/// An action for the caller to carry out.
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
    /// Log an event for operators.
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
        /// The number of the call.
        call: u64,
        /// The call.
        request: store::Request,
    },
}

/// An event for operators.
#[derive(Clone, Debug, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Note {
    /// This process no longer owns the cell.
    Lost,
    /// A value in the key-value service can't be read; the error.
    Refused(String),
    /// The cell was handed over.
    Released,
    /// This process owns the cell from now on.
    TookOver {
        /// The epoch.
        epoch: cell::Epoch,
        /// Number of jobs in the ledger.
        jobs: usize,
    },
}
