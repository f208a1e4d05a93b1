//! Commands of schedulers to workers and reports of workers, sent over HTTP as JSON.

use super::*;

/// Commands of one owner of a cell, executed in order. A worker refuses the whole batch if `epoch`
/// is lower than the highest that it has seen for the cell.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Batch {
    /// The cell that the worker belongs to.
    pub cell: cell::Id,
    /// Commands in order of execution.
    pub commands: Vec<Command>,
    /// The sender's epoch.
    pub epoch: cell::Epoch,
    /// Deadline for the commands. After it a worker skips the commands, but still adopts the epoch
    /// and answers with a report; a batch without a deadline has no commands.
    #[serde(default)]
    pub validity: Option<Validity>,
}

/// A deadline by a worker's own clock, which limits how late a delayed batch can take effect.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Validity {
    /// The incarnation whose clock is used; other incarnations skip the commands.
    pub incarnation: u64,
    /// The deadline, on the clock of `Report::clock_ms`, in milliseconds.
    pub until_ms: u64,
}

/// A command to a worker. Every command is idempotent.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case", tag = "command")]
pub enum Command {
    /// Remove a run that is over from the reports, since the owner has made its end durable.
    Acknowledge {
        /// The run.
        run: Run,
    },
    /// Write a checkpoint, stop, and report the run as `Checkpointed`.
    Checkpoint {
        /// The run.
        run: Run,
    },
    /// Extend the run's lease to `lease_ms` from now, by the worker's clock.
    Renew {
        /// Length of the lease, in milliseconds.
        lease_ms: u64,
        /// The run.
        run: Run,
    },
    /// Start a run. Refused if the task already runs on the worker or does not fit.
    Start {
        /// The batch class.
        class: Name,
        /// Token of the checkpoint to resume from.
        checkpoint: Option<String>,
        /// Length of the first lease, in milliseconds.
        lease_ms: u64,
        /// The job's payload.
        payload: String,
        /// Resources that the run may use; the worker refuses a run that does not fit.
        resources: Resources,
        /// Declared run time, in milliseconds.
        run_ms: u64,
        /// The run.
        run: Run,
    },
    /// Stop without a checkpoint, and report the run as `Stopped`.
    Stop {
        /// The run.
        run: Run,
    },
    /// Limit the run to `share_milli` thousandths of the processors that it was started with.
    Throttle {
        /// The run.
        run: Run,
        /// The share in thousandths, 1 to 1,000.
        share_milli: u32,
    },
}

/// One attempt to run a task.
#[derive(Clone, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub struct Run {
    /// Number of the attempt.
    pub attempt: task::Attempt,
    /// The task.
    pub task: task::Id,
}

/// The state of a worker, returned in answer to a `Batch` and to `GET /v1/report`.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Report {
    /// Age of `usage`, in milliseconds; measurements are reported with a delay.
    pub age_ms: u64,
    /// The worker's monotonic clock, in milliseconds since its process started.
    #[serde(default)]
    pub clock_ms: u64,
    /// Highest epoch that the worker has seen for the cell.
    pub epoch: cell::Epoch,
    /// Differs for each start of the worker's process; runs of earlier incarnations are over.
    pub incarnation: u64,
    /// Runs in progress, each with the remaining time of its lease.
    pub running: Vec<Running>,
    /// Runs that are over and not yet acknowledged.
    pub over: Vec<Over>,
    /// Measured use, `age_ms` old.
    pub usage: Usage,
}

/// A run in progress.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Running {
    /// Remaining time of the lease, in milliseconds.
    pub lease_ms: u64,
    /// Share of the work done, in thousandths.
    pub progress_milli: u32,
    /// The run.
    pub run: Run,
}

/// A run that is over.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Over {
    /// How it ended.
    pub end: End,
    /// The run.
    pub run: Run,
}

/// How a run ended.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum End {
    /// Stopped after writing the checkpoint named by `token`.
    Checkpointed {
        /// Token of the checkpoint; any worker can resume from it.
        token: String,
    },
    /// The task itself failed.
    Failed {
        /// Reason given by the task.
        reason: String,
    },
    /// The task completed.
    Finished,
    /// The lease ran out, and the worker stopped the run.
    Lapsed,
    /// The worker refused to start the run.
    Refused {
        /// The check that refused it.
        reason: String,
    },
    /// Stopped on command, without a checkpoint.
    Stopped,
}

/// Measured use of a worker, as old as the report's `age_ms`.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct Usage {
    /// Measured use of each run.
    pub runs: Vec<RunUsage>,
    /// Measured load and request time of each service.
    pub services: Vec<ServiceUsage>,
    /// Measured use of the whole worker.
    pub total: Resources,
}

/// Measured use of one run.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct RunUsage {
    /// Measured use.
    pub resources: Resources,
    /// The run.
    pub run: Run,
}

/// Measured load and request time of a service on a worker.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct ServiceUsage {
    /// Requests in progress, averaged over the report's interval.
    pub load: f64,
    /// Mean request time, in milliseconds.
    pub mean_ms: f64,
    /// Requests that ended in the interval.
    pub requests: u64,
    /// The service.
    pub service: Name,
}
