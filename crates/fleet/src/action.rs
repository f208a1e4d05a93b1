//! Actions that a cell requests from its process, and the decisions that it logs.

use super::*;

/// An action for the process that runs the cell to carry out.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Write a transaction to the store.
    Commit(Box<Commit>),
    /// Make a call to the store whose answer shows whether this process owns the cell, for
    /// [`Cell::confirm`].
    Confirm,
    /// Poll a worker.
    Poll {
        /// The worker's ID.
        worker: Arc<str>,
        /// The life that it is meant for, by when that started, in milliseconds since 1970; `None` if any life may
        /// take it.
        life: Option<u64>,
        /// The fencing token of orders for the worker's current life.
        fence: u64,
        /// Ends up to this number are in the store.
        acknowledged: u64,
        /// The requested end of the worker's lease, in milliseconds on its clock; `None` leaves the
        /// lease as it is.
        lease_until: Option<u64>,
        /// How long the worker may hold the poll open until a run ends, in milliseconds.
        wait_ms: u64,
    },
    /// Read the ticket of a job that is unknown to this cell although a worker runs its tasks.
    Lookup(job::Id),
    /// Stop: another owner has the cell.
    Lost,
    /// Set the pace of a run.
    Pace {
        /// The worker's ID.
        worker: Arc<str>,
        /// The fencing token of orders for the worker's current life.
        fence: u64,
        /// The task.
        task: task::Name,
        /// The run's number.
        run: u32,
        /// The share of its full speed, in percent.
        percent: u32,
    },
    /// Write a line of the decision log.
    Report(Report),
    /// Start a run.
    Start {
        /// The worker's ID.
        worker: Arc<str>,
        /// The life that the order is meant for, by when that started, in milliseconds since 1970; `None` if the
        /// worker doesn't tell.
        life: Option<u64>,
        /// The fencing token of orders for the worker's current life.
        fence: u64,
        /// The task.
        task: task::Name,
        /// The run's number.
        run: u32,
        /// The job's opaque specification for workers.
        spec: Arc<str>,
        /// The requested end of the worker's lease, in milliseconds on its clock.
        lease_until: u64,
        /// The checkpoint to resume from; empty for none.
        checkpoint: String,
    },
    /// Stop a run.
    Stop {
        /// The worker's ID.
        worker: Arc<str>,
        /// The fencing token of orders for the worker's current life.
        fence: u64,
        /// The task.
        task: task::Name,
        /// The run's number.
        run: u32,
    },
}

/// A decision or an observation for the decision log.
#[derive(Clone, Debug, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case", tag = "event")]
pub enum Report {
    /// A worker lists a run that this owner did not order, or has forgotten.
    Adopted {
        /// The task.
        task: task::Name,
        /// The run's number.
        run: u32,
        /// The worker's ID.
        worker: Arc<str>,
        /// When the worker had started, in milliseconds since 1970, if it tells.
        born: Option<u64>,
        /// Whether the run goes on, since its task was waiting; else it is stopped.
        wanted: bool,
    },
    /// A worker crashed, or may have: its runs are suspect.
    Crash {
        /// The worker's ID.
        worker: Arc<str>,
        /// Whether it is known to have crashed, rather than silent for its whole lease.
        confirmed: bool,
        /// The number of runs that may have crashed it.
        runs: usize,
        /// Whether the cause is likely none of them: much of its rack fell silent with it.
        excused: bool,
    },
    /// A lasting job has to wait, because lasting jobs hold as much as they may. Reported once.
    Delayed {
        /// The job.
        job: job::Id,
        /// The number of its tasks that wait.
        tasks: usize,
        /// What these reserve, in thousandths of a core.
        milli: u64,
        /// What lasting tasks hold in the cell, in thousandths of a core.
        lasting_milli: u64,
        /// What they may hold, in thousandths of a core.
        limit_milli: u64,
        /// Time since the job was accepted, in milliseconds.
        waited_ms: u64,
    },
    /// The owner has got a higher fencing token, for which a worker that has started again has waited.
    Fence {
        /// The token.
        fence: u64,
    },
    /// A job was failed because one of its tasks crashes workers.
    GivenUp {
        /// The task.
        task: task::Name,
        /// The number of crashes under it.
        crashes: usize,
    },
    /// The end of a run was processed.
    End {
        /// The task.
        task: task::Name,
        /// The run's number.
        run: u32,
        /// The worker's ID.
        worker: Arc<str>,
        /// Why it ended.
        how: listing::EndReason,
        /// Time from the start order to the end, in milliseconds.
        after_ms: u64,
    },
    /// A job is over.
    JobOver {
        /// The job's ID.
        job: job::Id,
        /// Its final state.
        state: State,
        /// Time since acceptance, in milliseconds.
        after_ms: u64,
    },
    /// A job was moved to another cell.
    Moved {
        /// The job's ID.
        job: job::Id,
        /// The cell that has it now.
        to: u32,
    },
    /// Every order of earlier owners is known to be over.
    Settled {
        /// Time since the cell was acquired, in milliseconds.
        after_ms: u64,
        /// Workers that have not answered, and whose leases were waited for.
        unanswered: Vec<Arc<str>>,
    },
    /// Some tasks of a job were moved to another cell.
    Split {
        /// The job's ID.
        job: job::Id,
        /// The cell that has them now.
        to: u32,
        /// The number of tasks moved.
        tasks: usize,
    },
    /// A younger lasting job starts while a delayed one waits. Reported once for each delayed job.
    Overtaken {
        /// The delayed job.
        job: job::Id,
        /// The younger one.
        by: job::Id,
    },
    /// The pace of a filling task was changed.
    Pace {
        /// The worker's ID.
        worker: Arc<str>,
        /// The task.
        task: task::Name,
        /// The run's number.
        run: u32,
        /// The worst tail latency on the worker relative to its target, in percent.
        tail_percent: u32,
        /// The new pace, in percent.
        percent: u32,
    },
    /// A start order that had no answer was sent again.
    Repeated {
        /// The task.
        task: task::Name,
        /// The run's number.
        run: u32,
        /// The worker's ID.
        worker: Arc<str>,
        /// When the worker had started, in milliseconds since 1970, if it has told.
        born: Option<u64>,
        /// The length of the lease that the order asks for, in milliseconds.
        lease_ms: u64,
    },
    /// An order was refused or not answered.
    Refused {
        /// The task.
        task: task::Name,
        /// The run's number.
        run: u32,
        /// The worker's ID.
        worker: Arc<str>,
        /// Why it was not carried out.
        reason: Refusal,
    },
    /// A worker's room is held for a task that fits nowhere now.
    Reserved {
        /// The job of the task.
        job: job::Id,
        /// The worker's ID.
        worker: Arc<str>,
        /// The time until it is expected to have room, in milliseconds; `None` where lasting tasks hold it, whose
        /// end nobody knows.
        ready_ms: Option<u64>,
    },
    /// A run is known to be over although the worker listed no end.
    Released {
        /// The task.
        task: task::Name,
        /// The run's number.
        run: u32,
        /// The worker's ID.
        worker: Arc<str>,
        /// The evidence.
        proof: Proof,
        /// How long it is known to have lived.
        #[serde(flatten)]
        lifetime: Lifetime,
    },
    /// A run was ordered.
    Start {
        /// The task.
        task: task::Name,
        /// The run's number.
        run: u32,
        /// The worker's ID.
        worker: Arc<str>,
        /// When the worker had started, in milliseconds since 1970, if it has told.
        born: Option<u64>,
        /// The length of the lease that the order asks for, in milliseconds.
        lease_ms: u64,
        /// Time since the job was accepted, in milliseconds.
        after_ms: u64,
    },
    /// A stop was ordered.
    Stop {
        /// The task.
        task: task::Name,
        /// The run's number.
        run: u32,
        /// The worker's ID.
        worker: Arc<str>,
        /// Why it is stopped.
        reason: StopReason,
    },
    /// A worker lists the end of a run of a job that this cell does not know.
    Unclaimed {
        /// The task.
        task: task::Name,
        /// The run's number.
        run: u32,
        /// The worker's ID.
        worker: Arc<str>,
        /// Why it ended.
        how: listing::EndReason,
    },
    /// No worker of the cell can hold a task of a step, or all members of a gang at the same time, however
    /// busy they are now.
    Unheld {
        /// The job.
        job: job::Id,
        /// The step's number.
        step: u16,
        /// The service whose workers may run it.
        service: String,
        /// The label that the worker must carry.
        label: Option<String>,
        /// What a task reserves.
        resources: Resources,
        /// The number of tasks that have to be held at the same time.
        members: u16,
    },
    /// What the cell is used for, and what waits.
    Usage(Usage),
    /// Workers of an availability zone get no new runs, since it is evacuated, or get them again.
    Zone {
        /// The zone.
        zone: Arc<str>,
        /// Whether it is being evacuated.
        evacuated: bool,
        /// The number of its workers in this cell for which that is new.
        workers: usize,
        /// The number of runs that these hold or may hold, which go on.
        runs: usize,
    },
    /// A lasting task that has run waits, or one whose start is planned. Reported for one task of a job, each time the
    /// cause changes.
    Waiting {
        /// The task.
        task: task::Name,
        /// The number of such tasks of the job.
        tasks: usize,
        /// Why it waits.
        cause: wait::Cause,
        /// For how long the job has had such tasks in this cell, in milliseconds.
        waited_ms: u64,
        /// The number of workers that get new runs and may run it.
        usable: usize,
        /// Those of them with room for it.
        fitting: usize,
        /// The number of crashes under the task.
        suspicion: usize,
    },
    /// The state of a worker changed: it answered this owner for the first time or again after
    /// missed polls, stopped answering, restarted or failed its runs.
    Worker {
        /// The worker's ID.
        worker: Arc<str>,
        /// Its new state.
        state: WorkerState,
        /// When it had started, in milliseconds since 1970, if it has told this owner.
        born: Option<u64>,
        /// The number of runs that it holds or may hold.
        runs: usize,
        /// For how long the leases that this owner granted it may last, in milliseconds; `None` if it has not
        /// answered this owner.
        lease_left_ms: Option<u64>,
        /// Whether it has announced that it would leave.
        draining: bool,
        /// Since when it has had no entry, in milliseconds before now.
        missing_ms: Option<u64>,
    },
}

pub use super::event::Refusal;

/// Evidence that a run is over.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Proof {
    /// The worker's lease has run out.
    Lapsed,
    /// A poll sent after the start was confirmed does not list it.
    NotListed,
    /// Its start was planned, but not ordered.
    NotOrdered,
    /// The order was refused.
    Refused,
    /// Another worker answers at the worker's address.
    Replaced,
    /// A confirmed stop ended it, or blocks its start order from taking effect later.
    Stopped,
}

/// Why a run is stopped.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum StopReason {
    /// The job was cancelled.
    Cancelled,
    /// A task of the job used up its attempts.
    Failed,
    /// Another member of the gang ended.
    Gang,
    /// It uses no processor time.
    Hanging,
    /// Its worker is draining.
    Leaving,
    /// Its start order was not answered in time.
    NoAnswer,
    /// Its pace is very low because of serving tasks on the same worker.
    Crowded,
    /// The job is over or unknown, or the task is done or runs elsewhere.
    Unwanted,
}

/// The state of a worker as its cell's owner knows it.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum WorkerState {
    /// It answers this owner and rejects orders of earlier ones.
    Fenced,
    /// Its runs fail repeatedly; it gets no new ones for a while.
    Failing,
    /// Its lease has expired, even if its clock is slow.
    Lapsed,
    /// It has restarted, or another worker answers at its address.
    Reborn,
    /// It does not answer.
    Silent,
}
