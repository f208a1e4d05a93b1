//! Failure of a stand-in to start.

use super::*;

/// Failure of a stand-in to listen at its address.
#[derive(Debug)]
pub struct Error {
    /// The address in question.
    pub address: SocketAddr,
    /// The system's error.
    pub cause: io::Error,
}

impl Display for Error {
    fn fmt(&self, f: &mut Formatter) -> fmt::Result {
        write!(f, "cannot listen at `{}`: {}; choose a free address", self.address, self.cause)
    }
}

impl std::error::Error for Error {}
