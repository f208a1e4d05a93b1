//! Progress of long work.

use super::*;

/// Tells a person at a terminal how long work goes on; says nothing in a pipe.
pub(crate) fn note(text: impl Display) {
    if io::stderr().is_terminal() {
        eprintln!("{text}");
    }
}
