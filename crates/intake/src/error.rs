//! The error of a process that can't hold more for its clients.

use super::*;

/// What a client asks for can't be held: the bound is reached, and nobody else waits for a client.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Error;

impl Display for Error {
    fn fmt(&self, f: &mut Formatter) -> fmt::Result {
        f.write_str("no memory is left for this client")
    }
}

impl std::error::Error for Error {}

impl From<Error> for io::Error {
    fn from(error: Error) -> Self {
        Self::new(io::ErrorKind::ConnectionAborted, error)
    }
}
