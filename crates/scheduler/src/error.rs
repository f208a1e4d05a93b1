//! Why a scheduler stopped.

use super::*;

/// Why a scheduler stopped.
#[derive(Debug)]
pub struct Error {
    /// The cause, which names the step and the peer.
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
        write!(f, "scheduler `{}` cannot go on: {}", self.scheduler, self.cause)
    }
}

impl std::error::Error for Error {}
