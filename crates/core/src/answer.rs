//! Answers of a cell's owner to calls about jobs.

use super::*;

/// Names a call that is to be answered once.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(transparent)]
pub struct Ticket(pub u64);

/// What a call is answered.
#[derive(Clone, Debug, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Answer {
    /// Done, and durable.
    Done,
    /// The decisions behind a job's state, one a line.
    Explain(Vec<String>),
    /// Where the job stands.
    Job(job::Status),
    /// Not done, and nothing of it will be.
    Refused {
        /// Machine-readable.
        reason: Refusal,
        /// When to come back, in milliseconds, if ever.
        retry_ms: Option<u64>,
        /// For people: names the thing and the mend.
        text: String,
    },
}

/// Why a call was refused.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Refusal {
    /// The call asks for what can never be.
    Invalid,
    /// The owner is leaving.
    Leaving,
    /// Another process owns the cell.
    NotOwner,
    /// The limit on open tasks is reached.
    Overloaded,
    /// The key-value service does not answer.
    StoreUnavailable,
    /// Nothing of that name is known.
    Unknown,
}

impl Answer {
    /// Returns a refusal.
    pub fn refuse(reason: Refusal, text: impl Into<String>) -> Self {
        Self::Refused { reason, retry_ms: reason.retry_ms(), text: text.into() }
    }
}

impl Refusal {
    /// Returns when to come back, in milliseconds, if ever.
    pub fn retry_ms(self) -> Option<u64> {
        match self {
            Self::Invalid | Self::Unknown => None,
            Self::Leaving | Self::NotOwner => Some(500),
            Self::Overloaded => Some(5_000),
            Self::StoreUnavailable => Some(2_000),
        }
    }
}
