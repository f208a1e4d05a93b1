//! What became of an urgent request, and the headers that carry it.

use super::*;

/// Response header that carries the outcome: `answered`, `not-run` or `unknown`.
pub const HEADER: &str = "oleanderstage-outcome";
/// Response header that carries the machine-readable reason of a refusal.
pub const REASON_HEADER: &str = "oleanderstage-reason";
/// Request and response header that carries the id of the request; an endpoint echoes it.
pub const REQUEST_HEADER: &str = "oleanderstage-request";
/// Request header that carries the time left, in milliseconds.
pub const DEADLINE_HEADER: &str = "oleanderstage-deadline-ms";
/// Request header that marks a request as idempotent (`true`) or not (`false`).
pub const IDEMPOTENT_HEADER: &str = "oleanderstage-idempotent";
/// Request header that names the caller for limits; the peer address stands in for it.
pub const CALLER_HEADER: &str = "oleanderstage-caller";

/// What became of an urgent request.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Outcome {
    /// An endpoint ran it and its whole answer is passed on.
    Answered,
    /// Proven: no endpoint ran it, and none will.
    NotRun,
    /// An endpoint may have run it, and the answer is lost.
    Unknown,
}

impl Outcome {
    /// Returns the header value.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Answered => "answered",
            Self::NotRun => "not-run",
            Self::Unknown => "unknown",
        }
    }
}
