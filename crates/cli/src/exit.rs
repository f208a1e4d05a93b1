//! Exit codes.

use super::*;

/// The result of a command. The number is the exit code of the process.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
#[repr(u8)]
pub enum Exit {
    /// The command succeeded.
    Success = 0,
    /// The input is invalid, or the command failed.
    Failed = 1,
    /// The arguments are invalid.
    Usage = 2,
    /// Another operator came first; nothing was changed.
    Conflict = 3,
    /// The peer was not reached or refused the request; nothing was changed.
    NotDone = 4,
    /// The outcome is unknown: the change may have been made, or may still be made.
    Unknown = 5,
    /// The change was made, but was not in force everywhere in time.
    Pending = 6,
}

impl From<Exit> for ExitCode {
    fn from(exit: Exit) -> Self {
        Self::from(exit as u8)
    }
}
