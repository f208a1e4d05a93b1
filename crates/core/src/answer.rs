//! Answers of the owner of a cell to calls about jobs.

use super::*;

/// Identifies a call, which gets exactly one answer.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(transparent)]
pub struct Ticket(pub u64);

/// Answer to a call.
#[derive(Clone, Debug, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Answer {
    /// The call was carried out and its effect is durable.
    Done,
    /// Decisions that led to the job's state, one per line.
    Explain(Vec<String>),
    /// Status of the job.
    Job(job::Status),
    /// The call had no effect and will have none.
    Refused {
        /// Machine-readable reason.
        reason: Refusal,
        /// Time after which to retry, in milliseconds; `None` if a retry is pointless.
        retry_ms: Option<u64>,
        /// Human-readable reason, with the remedy.
        text: String,
    },
}

/// Why a call was refused.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Refusal {
    /// The call can never be carried out.
    Invalid,
    /// The owner is shutting down.
    Leaving,
    /// Another process owns the cell.
    NotOwner,
    /// The limit on open tasks is reached.
    Overloaded,
    /// The key-value service does not answer.
    StoreUnavailable,
    /// The job does not exist.
    Unknown,
}

impl Answer {
    /// Returns a refusal.
    pub fn refuse(reason: Refusal, text: impl Into<String>) -> Self {
        Self::Refused { reason, retry_ms: reason.retry_ms(), text: text.into() }
    }
}

impl Refusal {
    /// Returns the time after which to retry, in milliseconds; `None` if a retry is pointless.
    pub fn retry_ms(self) -> Option<u64> {
        match self {
            Self::Invalid | Self::Unknown => None,
            Self::Leaving | Self::NotOwner => Some(500),
            Self::Overloaded => Some(5_000),
            Self::StoreUnavailable => Some(2_000),
        }
    }
}
