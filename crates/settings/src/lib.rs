//! Settings of every program: JSON with comments, one file a process, read into checked types.

use {
    miette::{Diagnostic, NamedSource, SourceSpan},
    oleanderstage_core::Name,
    serde::{Deserialize, Serialize, de::DeserializeOwned},
    std::{
        fmt::{self, Display, Formatter},
        fs,
        net::SocketAddr,
        path::{Path, PathBuf},
    },
};

pub use {entry::Entry, error::Error, peer::Peer, read::read, scheduler::Scheduler, tls::Tls};

pub mod entry;
pub mod error;
pub mod peer;
pub mod read;
pub mod scheduler;
pub mod tls;
