//! Errors that prevent an entry from starting.

use super::*;

/// An error that prevents an entry from starting.
#[derive(Debug)]
pub enum Error {
    /// The HTTP address can't be bound.
    Bind {
        /// The address.
        address: SocketAddr,
        /// The error of the operating system.
        cause: io::Error,
    },
    /// An HTTP client can't be built.
    Client(String),
    /// The client for metrics can't be built.
    Metrics(io::Error),
    /// A client of the platform can't be built.
    Platform(oleanderstage_platform::Error),
    /// The TLS files can't be used, or the QUIC address can't be bound.
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
