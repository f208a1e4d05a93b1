//! What a process answers.

use super::*;

/// What a process answers to a `Call`.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum Reply {
    /// The configuration as JSON, newer than the caller's.
    Config {
        /// Its revision.
        revision: Revision,
        /// Its text.
        text: String,
    },
    /// Done, or nothing newer to tell.
    Done,
    /// The decisions behind a job's state, one a line.
    Explain(Vec<String>),
    /// Where a job stands.
    Job(job::Status),
    /// About keyed requests.
    Key {
        /// The answer.
        answer: key_call::Answer,
        /// The process that answers.
        from: key_map::Member,
    },
    /// How the run of a keyed request stands.
    KeyAnswer {
        /// Its answer, if that was kept.
        answer: Option<Kept>,
        /// How it ended; `None` while it may be running.
        end: Option<key_record::End>,
    },
    /// A sign of life in return.
    Probe(call::Probe),
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

/// Why a process refused a call.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Refusal {
    /// The call is malformed, or asks for what can never be.
    Invalid,
    /// The process is leaving.
    Leaving,
    /// Another process owns the cell.
    NotOwner,
    /// The limit on work in progress is reached.
    Overloaded,
    /// The key-value service does not answer.
    StoreUnavailable,
    /// Nothing of that name is known.
    Unknown,
}
