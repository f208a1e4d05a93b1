//! Why an entry could not start.

use super::*;

/// Why an entry could not start.
#[derive(Debug)]
pub enum Error {
    /// Its HTTP address can't be bound.
    Bind {
        /// The address.
        address: SocketAddr,
        /// The system's words.
        cause: io::Error,
    },
    /// An HTTP client can't be built.
    Client(String),
    /// Metrics can't be sent.
    Metrics(io::Error),
    /// The platform's clients can't be built.
    Platform(oleanderstage_platform::Error),
    /// Keys, or the QUIC address.
    Wire(wire::Error),
}

impl Display for Error {
    fn fmt(&self, f: &mut Formatter) -> fmt::Result {
        match self {
            Self::Bind { address, cause } => {
                write!(f, "cannot listen on `{address}`: {cause}; change `http` in the settings")
            }
            Self::Client(cause) => write!(f, "cannot build an HTTP client: {cause}"),
            Self::Metrics(cause) => {
                write!(f, "cannot send metrics: {cause}; change `metrics` in the settings")
            }
            Self::Platform(error) => error.fmt(f),
            Self::Wire(error) => error.fmt(f),
        }
    }
}

impl std::error::Error for Error {}

impl From<oleanderstage_platform::Error> for Error {
    fn from(error: oleanderstage_platform::Error) -> Self {
        Self::Platform(error)
    }
}

impl From<wire::Error> for Error {
    fn from(error: wire::Error) -> Self {
        Self::Wire(error)
    }
}
