//! Why a file was not taken.

use super::*;

/// Why a file was not taken: everything that is wrong in it, in the order of the file.
#[derive(Debug, Diagnostic)]
pub struct Error {
    /// What is wrong.
    #[related]
    pub faults: Vec<Fault>,
    /// Says which file, and how many faults it has.
    pub message: String,
    /// The file's text.
    #[source_code]
    pub source: NamedSource<String>,
}

impl Error {
    pub(crate) fn new(name: &str, text: &str, mut faults: Vec<Fault>) -> Self {
        faults.sort_by_key(|fault| (fault.span.offset(), fault.message.clone()));
        let errors = if faults.len() == 1 { "error" } else { "errors" };
        let message = format!("`{name}` has {} {errors}", faults.len());
        Self { faults, message, source: NamedSource::new(name, text.into()) }
    }

    pub(crate) fn unreadable(name: &str, cause: &std::io::Error) -> Self {
        let message = format!("cannot read `{name}`: {cause}; name a readable file");
        Self { faults: vec![], message, source: NamedSource::new(name, String::new()) }
    }
}

impl Display for Error {
    fn fmt(&self, f: &mut Formatter) -> fmt::Result {
        f.write_str(&self.message)
    }
}

impl std::error::Error for Error {}
