//! Errors of a command.

use super::*;

/// The error of a failed command.
#[derive(Debug, Diagnostic)]
pub enum Error {
    /// A file is invalid; the error marks each fault in it.
    #[diagnostic(transparent)]
    Check(Box<settings::Error>),
    /// Any other failure.
    #[diagnostic(help("{help}"))]
    Other {
        /// The exit code.
        exit: Exit,
        /// The remedy.
        help: String,
        /// The failure, with the failed step and the peer.
        message: String,
    },
}

impl Error {
    /// Returns the exit code.
    pub fn exit(&self) -> Exit {
        match self {
            Self::Check(_) => Exit::Failed,
            Self::Other { exit, .. } => *exit,
        }
    }

    pub(crate) fn new(exit: Exit, message: impl Into<String>, help: impl Into<String>) -> Self {
        Self::Other { exit, help: help.into(), message: message.into() }
    }
}

impl From<Box<settings::Error>> for Error {
    fn from(error: Box<settings::Error>) -> Self {
        Self::Check(error)
    }
}

impl Display for Error {
    fn fmt(&self, f: &mut Formatter) -> fmt::Result {
        match self {
            Self::Check(error) => error.fmt(f),
            Self::Other { message, .. } => f.write_str(message),
        }
    }
}

impl std::error::Error for Error {}
