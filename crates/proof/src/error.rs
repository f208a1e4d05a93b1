//! Errors of the test fleet.

use super::*;

/// A fleet could not be started or called, or an awaited condition did not hold in time.
#[derive(Debug)]
pub struct Error {
    /// Why the step failed.
    pub cause: String,
    /// Step that failed, as a verb phrase such as `write settings`.
    pub step: String,
}

impl Error {
    pub(crate) fn new(step: impl Display, cause: impl Display) -> Self {
        Self { cause: cause.to_string(), step: step.to_string() }
    }
}

impl From<PlatformError> for Error {
    fn from(error: PlatformError) -> Self {
        Self::new("call the platform", error)
    }
}

impl From<io::Error> for Error {
    fn from(error: io::Error) -> Self {
        Self::new("use a file or a socket", error)
    }
}

impl From<oleanderstage_standin::Error> for Error {
    fn from(error: oleanderstage_standin::Error) -> Self {
        Self::new("start a stand-in", error)
    }
}

impl From<serde_json::Error> for Error {
    fn from(error: serde_json::Error) -> Self {
        Self::new("write settings", error)
    }
}

impl Display for Error {
    fn fmt(&self, f: &mut Formatter) -> fmt::Result {
        write!(f, "cannot {}: {}; see the programs' logs", self.step, self.cause)
    }
}

impl std::error::Error for Error {}
