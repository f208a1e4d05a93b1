//! One fault of a file.

use super::*;

/// One fault of a file, with its place and remedy.
#[derive(Clone, Debug, Diagnostic, Eq, PartialEq)]
#[diagnostic(help("{help}"))]
pub struct Fault {
    /// What to change.
    pub help: String,
    /// What is wrong, with the key or value in backticks.
    pub message: String,
    /// Source range of the faulty text.
    #[label("here")]
    pub span: SourceSpan,
}

impl Fault {
    pub(crate) fn new(
        place: &impl Ranged,
        message: impl Into<String>,
        help: impl Into<String>,
    ) -> Self {
        let span = SourceSpan::from((place.start(), place.end() - place.start()));
        Self { help: help.into(), message: message.into(), span }
    }
}

impl Display for Fault {
    fn fmt(&self, f: &mut Formatter) -> fmt::Result {
        f.write_str(&self.message)
    }
}

impl std::error::Error for Fault {}
