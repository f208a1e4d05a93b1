//! Exit codes.

use super::*;

/// How a command ended; the number is the process's exit code.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
#[repr(u8)]
pub enum Exit {
    /// Done.
    Success = 0,
    /// The input is wrong, or what was asked for failed.
    Failed = 1,
    /// The arguments are wrong.
    Usage = 2,
    /// Another operator came first; nothing was changed.
    Conflict = 3,
    /// Not reached or refused; nothing was changed.
    NotDone = 4,
    /// It may have been done, now or later.
    Unknown = 5,
    /// Done, but not in force everywhere in time.
    Pending = 6,
}

impl From<Exit> for ExitCode {
    fn from(exit: Exit) -> Self {
        Self::from(exit as u8)
    }
}
