//! Why settings were not taken.

use super::*;

/// Why settings were not taken, with the place in the file.
#[derive(Debug, Diagnostic)]
#[diagnostic(help("{help}"))]
pub struct Error {
    /// What to change.
    pub help: String,
    /// What is wrong.
    pub message: String,
    /// The file's text.
    #[source_code]
    pub source: NamedSource<String>,
    /// Where it is wrong.
    #[label("here")]
    pub span: Option<SourceSpan>,
}

impl Display for Error {
    fn fmt(&self, f: &mut Formatter) -> fmt::Result {
        f.write_str(&self.message)
    }
}

impl std::error::Error for Error {}
