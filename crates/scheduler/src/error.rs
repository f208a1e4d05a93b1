//! Errors of a scheduler.

use super::*;

/// The reason why a scheduler can't start or can't take part in a cell.
#[derive(Debug)]
pub struct Error {
    /// The cause, with the failed step and the peer.
    pub cause: String,
    /// The scheduler.
    pub scheduler: Name,
}

impl Error {
    /// Returns an error of `scheduler`.
    pub fn new(scheduler: &Name, cause: impl Display) -> Self {
        Self { cause: cause.to_string(), scheduler: scheduler.clone() }
    }
}

impl Display for Error {
    fn fmt(&self, f: &mut Formatter) -> fmt::Result {
        write!(f, "scheduler `{}` failed: {}", self.scheduler, self.cause)
    }
}

impl std::error::Error for Error {}
