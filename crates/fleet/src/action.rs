//! What a cell asks for.

use super::*;

/// An action for the cell's process to carry out.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Change the records.
    Commit(Box<Commit>),
    /// Poll a worker.
    Poll {
        /// The worker's id.
        worker: Arc<str>,
        /// Ends up to this number are recorded.
        acknowledged: u64,
        /// The end of the lease asked for, on the worker's clock.
        lease_until: Option<u64>,
        /// How long the worker may wait for an end, in milliseconds.
        wait_ms: u64,
    },
    /// Read a ticket for an unknown job that a worker runs.
    Lookup(job::Id),
    /// Another owner has the cell.
    Lost,
    /// Pace a run.
    Pace {
        /// The worker's id.
        worker: Arc<str>,
        /// The task.
        task: task::Name,
        /// The run's number.
        run: u32,
        /// The share of its speed, in percent.
        percent: u32,
    },
    /// Write a line of the decision log.
    Report(Report),
    /// Start a run.
    Start {
        /// The worker's id.
        worker: Arc<str>,
        /// The task.
        task: task::Name,
        /// The run's number.
        run: u32,
        /// The job's text for workers.
        spec: Arc<str>,
        /// The end of the lease asked for, on the worker's clock.
        lease_until: u64,
        /// Saved progress to resume from; empty for none.
        checkpoint: String,
    },
    /// Stop a run.
    Stop {
        /// The worker's id.
        worker: Arc<str>,
        /// The task.
        task: task::Name,
        /// The run's number.
        run: u32,
    },
}

/// A decision, for the log.
#[derive(Clone, Debug, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case", tag = "event")]
pub enum Report {
    /// An end was taken in.
    End {
        /// The task.
        task: task::Name,
        /// The run's number.
        run: u32,
        /// The worker's id.
        worker: Arc<str>,
        /// How it ended.
        how: listing::How,
        /// From the order to the end, in milliseconds.
        after_ms: u64,
    },
    /// A job is over.
    JobOver {
        /// The job's ID.
        job: job::Id,
        /// How.
        state: State,
        /// From acceptance, in milliseconds.
        after_ms: u64,
    },
    /// A job was passed on to another cell.
    Moved {
        /// The job's ID.
        job: job::Id,
        /// The cell that has it now.
        to: u32,
    },
    /// Tasks of a job were passed on to another cell.
    Split {
        /// The job's ID.
        job: job::Id,
        /// The cell that has them now.
        to: u32,
        /// How many.
        tasks: usize,
    },
    /// A filling task is paced.
    Pace {
        /// The worker's id.
        worker: Arc<str>,
        /// The task.
        task: task::Name,
        /// The run's number.
        run: u32,
        /// The worst tail as a share of its target, in percent.
        tail_percent: u32,
        /// The new pace, in percent.
        percent: u32,
    },
    /// An order was refused or not answered.
    Refused {
        /// The task.
        task: task::Name,
        /// The run's number.
        run: u32,
        /// The worker's id.
        worker: Arc<str>,
        /// Why.
        reason: Refusal,
    },
    /// A run is proven over without a listed end.
    Released {
        /// The task.
        task: task::Name,
        /// The run's number.
        run: u32,
        /// The worker's id.
        worker: Arc<str>,
        /// What proves it.
        proof: Proof,
    },
    /// A run was ordered.
    Start {
        /// The task.
        task: task::Name,
        /// The run's number.
        run: u32,
        /// The worker's id.
        worker: Arc<str>,
        /// From acceptance, in milliseconds.
        after_ms: u64,
    },
    /// A stop was ordered.
    Stop {
        /// The task.
        task: task::Name,
        /// The run's number.
        run: u32,
        /// The worker's id.
        worker: Arc<str>,
        /// Why.
        reason: StopReason,
    },
    /// A worker was heard for the first time under this owner, or again after silence.
    Worker {
        /// The worker's id.
        worker: Arc<str>,
        /// What is believed now.
        state: WorkerState,
        /// Runs that it holds or may hold.
        runs: usize,
    },
}

pub use super::event::Refusal;

/// What proves that a run is over.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Proof {
    /// The worker's lease has run out.
    Lapsed,
    /// The worker said that it leaves, and has.
    Left,
    /// A poll after the start does not list it.
    NotListed,
    /// The order was refused.
    Refused,
    /// Another worker answers at its address.
    Replaced,
    /// A stop fenced it off before it arrived.
    Stopped,
}

/// Why a run is stopped.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum StopReason {
    /// The job was cancelled.
    Cancelled,
    /// The job failed.
    Failed,
    /// Another member of the gang ended.
    Gang,
    /// It uses no processor.
    Hanging,
    /// Its worker leaves.
    Leaving,
    /// Its start was not answered.
    NoAnswer,
    /// Serving tasks beside it slow it down to next to nothing.
    Crowded,
    /// No job that is to run has this task there.
    Unwanted,
}

/// What is believed of a worker.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum WorkerState {
    /// It answers under this owner.
    Fenced,
    /// It gets nothing for a while: its runs fail.
    Failing,
    /// Its lease has surely run out.
    Lapsed,
    /// It said that it leaves, and has.
    Left,
    /// It began a new life.
    Reborn,
    /// It does not answer.
    Silent,
}
