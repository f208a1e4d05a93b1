//! Why a connection was closed or refused.

use super::*;

/// Why a client's connection was closed, or refused.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Cause {
    /// Another connection needed its place.
    Connections,
    /// Memory was short, and it had waited longest for its client.
    Memory,
    /// Memory or places were short, and no other connection could be closed.
    Refused,
    /// Its client took too long to send a request.
    Request,
    /// Its client took too long to read an answer.
    Unread,
}

impl Cause {
    /// Returns the name in logs and metrics.
    pub fn name(self) -> &'static str {
        match self {
            Self::Connections => "connections",
            Self::Memory => "memory",
            Self::Refused => "refused",
            Self::Request => "request",
            Self::Unread => "unread",
        }
    }
}
