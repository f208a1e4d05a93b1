//! The outcome of an urgent request, and the HTTP headers of urgent requests.

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
/// Request header that names the caller for its limit; without it the peer address is used.
pub const CALLER_HEADER: &str = "oleanderstage-caller";

/// Outcome of an urgent request.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Outcome {
    /// An endpoint ran it and its whole answer is forwarded.
    Answered,
    /// It is proven that no endpoint ran it and none will.
    NotRun,
    /// An endpoint may have run it, and its answer is lost.
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
