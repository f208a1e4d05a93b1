//! Progress messages of commands that take long.

use super::*;

/// Prints a message to standard error if that is a terminal.
pub(crate) fn print(text: impl Display) {
    if io::stderr().is_terminal() {
        eprintln!("{text}");
    }
}
