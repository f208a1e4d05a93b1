//! What a scheduler tells a worker and what a worker reports, as carried over HTTP in JSON.

use super::*;

/// Commands of one owner of a cell, carried out in order. Refused as a whole when `epoch` is lower
/// than the highest the worker has seen for the cell.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Batch {
    /// The cell that the worker belongs to.
    pub cell: cell::Id,
    /// What to do, in order.
    pub commands: Vec<Command>,
    /// The sender's epoch.
    pub epoch: cell::Epoch,
    /// Until when to carry the commands out. A worker passes over the commands of a batch that
    /// comes later, takes its epoch, and answers as usual; a batch without one has no commands.
    #[serde(default)]
    pub validity: Option<Validity>,
}

/// A deadline by a worker's own clock, which bounds how late a delayed batch can take effect.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Validity {
    /// The incarnation whose clock it is; no other carries the commands out.
    pub incarnation: u64,
    /// The last moment, as in `Report::clock_ms`.
    pub until_ms: u64,
}

/// One thing that a worker is told to do. Every command is idempotent.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case", tag = "command")]
pub enum Command {
    /// Forget a finished run whose end the owner has made durable.
    Acknowledge {
        /// The run.
        run: Run,
    },
    /// Write a checkpoint, stop, and report the run as `Checkpointed`.
    Checkpoint {
        /// The run.
        run: Run,
    },
    /// Move the end of the run's lease to `lease_ms` from now, by the worker's clock.
    Renew {
        /// Length of the lease, in milliseconds.
        lease_ms: u64,
        /// The run.
        run: Run,
    },
    /// Start a run. Refused when the task already runs there or does not fit.
    Start {
        /// The batch class.
        class: Name,
        /// Token of the checkpoint to resume from.
        checkpoint: Option<String>,
        /// Length of the first lease, in milliseconds.
        lease_ms: u64,
        /// The job's payload.
        payload: String,
        /// What the run may use; the worker refuses what it can't hold.
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
    /// Let the run use at most `share_milli` thousandths of the processors it was started with.
    Throttle {
        /// The run.
        run: Run,
        /// Thousandths of its processors, 1 to 1,000.
        share_milli: u32,
    },
}

/// One start of one task.
#[derive(Clone, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub struct Run {
    /// Which start of the task.
    pub attempt: task::Attempt,
    /// The task.
    pub task: task::Id,
}

/// What a worker knows, as answered to a `Batch` and to `GET /v1/report`.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Report {
    /// Age of `usage`, in milliseconds; reports lag.
    pub age_ms: u64,
    /// The worker's monotonic clock, in milliseconds since its process started.
    #[serde(default)]
    pub clock_ms: u64,
    /// Highest epoch seen for the cell.
    pub epoch: cell::Epoch,
    /// Changes at each start of the worker's process: runs of an earlier one are over.
    pub incarnation: u64,
    /// Runs in progress, each with the time left of its lease.
    pub running: Vec<Running>,
    /// Runs that are over and not yet acknowledged.
    pub over: Vec<Over>,
    /// Measured use, late.
    pub usage: Usage,
}

/// A run in progress.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Running {
    /// Time left of the lease, in milliseconds.
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
        /// Names the checkpoint; any worker can resume from it.
        token: String,
    },
    /// The task itself failed.
    Failed {
        /// What the task said.
        reason: String,
    },
    /// The task did all its work.
    Finished,
    /// The lease ran out, and the worker stopped the run.
    Lapsed,
    /// The worker did not start it.
    Refused {
        /// Which guard refused.
        reason: String,
    },
    /// Stopped as told.
    Stopped,
}

/// Measured use of a worker, late by the report's age.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct Usage {
    /// Each run's measured use.
    pub runs: Vec<RunUsage>,
    /// Each service's measured slowdown.
    pub services: Vec<ServiceUsage>,
    /// Everything on the worker.
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

/// What a worker measured of one service that it hosts.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct ServiceUsage {
    /// Requests in progress, averaged over the report's interval.
    pub load: f64,
    /// Mean time of a request, in milliseconds.
    pub mean_ms: f64,
    /// Requests that ended in the interval.
    pub requests: u64,
    /// The service.
    pub service: Name,
}
