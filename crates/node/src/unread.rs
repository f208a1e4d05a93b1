//! Why a request was not read whole.

use std::fmt::{self, Display, Formatter};

/// Why a request was not read whole.
#[derive(Debug)]
pub(crate) enum Unread {
    /// Its body broke off.
    Broken(hyper::Error),
    /// Its body can't be held.
    Full(oleanderstage_intake::Error),
}

impl Display for Unread {
    fn fmt(&self, f: &mut Formatter) -> fmt::Result {
        match self {
            Self::Broken(error) => write!(f, "the body broke off: {error}"),
            Self::Full(error) => error.fmt(f),
        }
    }
}

impl std::error::Error for Unread {}
