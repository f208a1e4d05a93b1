//! Why a stand-in could not start.

use super::*;

/// Why a stand-in could not start.
#[derive(Debug)]
pub struct Error {
    /// The address it was to listen at.
    pub address: SocketAddr,
    /// The system's words.
    pub cause: io::Error,
}

impl Display for Error {
    fn fmt(&self, f: &mut Formatter) -> fmt::Result {
        write!(f, "cannot listen at `{}`: {}; choose a free address", self.address, self.cause)
    }
}

impl std::error::Error for Error {}
