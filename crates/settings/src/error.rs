//! Rejection of a file.

use super::*;

/// Rejection of a file, with every fault in it in the order of the file.
#[derive(Debug, Diagnostic)]
pub struct Error {
    /// The faults; none if the file can't be read.
    #[related]
    pub faults: Vec<Fault>,
    /// Names the file and the number of its faults, or why it can't be read.
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
