//! Events that a cell handles.

use super::*;

/// An input of [`Cell::handle`].
#[derive(Debug)]
pub enum Event {
    /// A job was accepted into this cell.
    Accepted {
        /// The job's ID.
        id: job::Id,
        /// Its record in the store.
        record: job::Record,
        /// The revision of its ticket.
        revision: u64,
    },
    /// The heads of all cells were read.
    Heads {
        /// The heads with their revisions.
        heads: Vec<(Head, u64)>,
        /// The number of owners that move jobs at the same time.
        owners: usize,
    },
    /// A job's caller cancelled it.
    Cancelled {
        /// The job's ID.
        id: job::Id,
        /// The revision of its ticket.
        revision: u64,
    },
    /// A commit was answered or timed out.
    Commit(Outcome),
    /// The configuration changed.
    Configured(Arc<Config>),
    /// The contention between images that the owners of other cells have measured.
    Pressure(pressure::Pressure),
    /// The zones to be evacuated changed.
    Evacuated(BTreeSet<Arc<str>>),
    /// It became known how the last owner has ended.
    PredecessorEnded(predecessor::End),
    /// The mark of an owner that has stopped was read.
    Released(Release),
    /// This owner is shutting down: it starts no more runs.
    Leaving,
    /// The store shows another owner, or none.
    Lost,
    /// A ticket was read for [`Action::Lookup`].
    TicketRead {
        /// The job's ID.
        id: job::Id,
        /// Its ticket, if there is one.
        ticket: Option<Ticket>,
    },
    /// A poll of a worker was answered or failed.
    Poll {
        /// The worker's ID.
        worker: Arc<str>,
        /// When the poll was sent, in milliseconds.
        sent: u64,
        /// The answer.
        answer: Result<Listing, Refusal>,
    },
    /// A start order was answered or failed.
    Start {
        /// The worker's ID.
        worker: Arc<str>,
        /// The task.
        task: task::Name,
        /// The run's number.
        run: u32,
        /// The answer.
        answer: Result<(), Refusal>,
    },
    /// A stop order was answered or failed.
    Stop {
        /// The worker's ID.
        worker: Arc<str>,
        /// The task.
        task: task::Name,
        /// The run's number.
        run: u32,
        /// The answer.
        answer: Result<(), Refusal>,
    },
    /// Time has passed.
    Tick,
    /// The workers' entries are too old for new runs, or are current again.
    ViewStale(bool),
    /// The workers of this cell changed: every member with its entry in the store, if any.
    Workers(BTreeMap<Arc<str>, Option<Registration>>),
}

/// The outcome of a commit.
#[derive(Debug)]
pub enum Outcome {
    /// It was made, at this revision.
    Committed(u64),
    /// Tickets had other revisions than expected: job, revision and ticket in the store.
    Conflict(Vec<(job::Id, u64, Option<Ticket>)>),
    /// The store holds the head of another owner.
    Lost,
    /// The store refused it; nothing was written.
    Refused,
    /// No answer came: it may have been made, or may still be made.
    Unknown,
}

impl Event {
    /// Returns whether a worker answered that it has seen a higher fencing token.
    pub(crate) fn is_fenced_off(&self) -> bool {
        match self {
            Self::Poll { answer, .. } => *answer == Err(Refusal::Fenced),
            Self::Start { answer, .. } | Self::Stop { answer, .. } => {
                *answer == Err(Refusal::Fenced)
            }
            _ => false,
        }
    }
}

/// Why an order or poll failed.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Refusal {
    /// The worker has seen a higher fencing token, so another owner has the cell.
    Fenced,
    /// The worker could not be reached; the order was not sent.
    Unreachable,
    /// The owner had been without the store for too long by the time of sending; the order was not sent.
    Expired,
    /// The worker has seen a higher fencing token of this owner: the order was meant for an earlier life of the
    /// worker, and was not carried out.
    Outdated,
    /// The order arrived after the end of the lease that it asked for.
    Late,
    /// The worker rejected the order as malformed.
    Malformed,
    /// The worker has already had this run of the task or a later one.
    Old,
    /// The worker has restarted, or another worker answers at its address.
    Reborn,
    /// Another life of the worker answers than the one that the order is meant for; the order was not sent.
    Restarted,
    /// The worker lacks free resources.
    Room,
    /// The worker reports itself unhealthy and did nothing.
    Unhealthy,
    /// No answer came: the order may have been carried out, or may still be.
    Unknown,
}

impl Refusal {
    /// Returns why a worker refused an order with the fencing token `fence`, if the highest one that this owner has
    /// sent it is `highest`. Below that the order was meant for an earlier life; else another owner has the cell.
    pub fn of_order(self, fence: u64, highest: u64) -> Self {
        match self {
            Self::Fenced if fence < highest => Self::Outdated,
            refusal => refusal,
        }
    }
}
