//! Replies to calls.

use super::*;

/// Reply of a process to a `Call`.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum Reply {
    /// Answers `Call::Config` with a configuration newer than the caller's.
    Config {
        /// Its revision.
        revision: Revision,
        /// The accepted configuration as JSON.
        text: String,
    },
    /// The call was carried out; for `Call::Config`, there is no newer configuration.
    Done,
    /// The decisions that led to a job's state, one per line.
    Explain(Vec<String>),
    /// Status of a job.
    Job(job::Status),
    /// Answers `Call::Key`.
    Key {
        /// The answer.
        answer: key_call::Answer,
        /// The process that answers.
        from: key_map::Member,
    },
    /// Answers `Call::KeyAnswer`.
    KeyAnswer {
        /// Answer of the run, if that was stored.
        answer: Option<StoredAnswer>,
        /// How the run ended; `None` while it may be running.
        end: Option<key_record::End>,
    },
    /// Answers `Call::Probe` with the callee's own liveness and state.
    Probe(call::Probe),
    /// The call was refused; it has and will have no effect.
    Refused {
        /// Machine-readable reason.
        reason: Refusal,
        /// After how many milliseconds to call again; `None` if that can't succeed.
        retry_ms: Option<u64>,
        /// Human-readable reason and remedy.
        text: String,
    },
}

/// Why a process refused a call.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Refusal {
    /// The call is malformed, or asks for something impossible.
    Invalid,
    /// The process is shutting down.
    Leaving,
    /// Another process owns the cell.
    NotOwner,
    /// The limit on work in progress is reached.
    Overloaded,
    /// The key-value service does not answer.
    StoreUnavailable,
    /// The process knows nothing of that name.
    Unknown,
}
