//! What happens to a cell.

use super::*;

/// An event.
#[derive(Debug)]
pub enum Event {
    /// A job of this cell was accepted; `revision` is its ticket's.
    Accepted {
        /// The job's ID.
        id: job::Id,
        /// What the store holds of it.
        record: job::Record,
        /// The revision of its ticket.
        revision: u64,
    },
    /// The heads of all cells were read.
    Board(Vec<(Head, u64)>),
    /// A job's caller cancelled it; `revision` is its ticket's.
    Cancelled {
        /// The job's ID.
        id: job::Id,
        /// The revision of its ticket.
        revision: u64,
    },
    /// A commit had an outcome.
    Commit(Outcome),
    /// The configuration changed.
    Configured(Arc<Config>),
    /// What owners of other cells learned of images that press each other.
    Learned(pressure::Pressure),
    /// This owner leaves: nothing more starts.
    Leaving,
    /// The store shows another owner, or none.
    Lost,
    /// A ticket was read, for runs of a job that this cell does not know.
    TicketRead {
        /// The job's ID.
        id: job::Id,
        /// Its ticket, if there is one.
        ticket: Option<Ticket>,
    },
    /// A worker answered a poll, or did not.
    Poll {
        /// The worker's id.
        worker: Arc<str>,
        /// When the poll was sent, in milliseconds.
        sent: u64,
        /// The answer.
        answer: Result<Listing, Refusal>,
    },
    /// A start had an outcome.
    Start {
        /// The worker's id.
        worker: Arc<str>,
        /// The task.
        task: task::Name,
        /// The run's number.
        run: u32,
        /// The outcome.
        answer: Result<(), Refusal>,
    },
    /// A stop had an outcome.
    Stop {
        /// The worker's id.
        worker: Arc<str>,
        /// The task.
        task: task::Name,
        /// The run's number.
        run: u32,
        /// The outcome.
        answer: Result<(), Refusal>,
    },
    /// Time has passed.
    Tick,
    /// The workers of this cell changed: every member with its entry, if it has one.
    Workers(BTreeMap<Arc<str>, Option<Registration>>),
}

/// What became of a commit.
#[derive(Debug)]
pub enum Outcome {
    /// It was made, at this revision.
    Committed(u64),
    /// Tickets had other revisions than expected: what the store holds.
    Conflict(Vec<(job::Id, u64, Option<Ticket>)>),
    /// Another owner's head lies in the store.
    Lost,
    /// Nothing was done.
    Refused,
    /// It may have been made, or may yet be.
    Unknown,
}

impl Event {
    /// Returns whether a worker answered that it serves an owner with a higher fencing token.
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

/// Why an order was not carried out, as far as is known.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Refusal {
    /// The worker serves an owner with a higher fencing token.
    Fenced,
    /// The worker could not be reached: the order was not sent.
    Unreachable,
    /// The order came after the end of its lease.
    Late,
    /// The order was malformed to the worker.
    Malformed,
    /// The run, or a later one, has been there.
    Old,
    /// The worker has a new life.
    Reborn,
    /// The worker has no room.
    Room,
    /// The worker says that it is unhealthy, and did nothing.
    Unhealthy,
    /// No answer came: the order may have been carried out, or may yet be.
    Unknown,
}
