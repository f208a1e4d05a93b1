//! The operators' command line.

use {
    argh::FromArgs,
    exit::Exit,
    miette::Diagnostic,
    oleanderstage_core::{
        Name, cell,
        change::Change,
        config::{Accepted, Config, Revision},
        submission::{Action, End, Event, Machine, StoredConfig},
    },
    oleanderstage_follow::follower::KEY,
    oleanderstage_platform::{
        http,
        store::{self, Client, Condition, Kind, Operation, Txn},
    },
    oleanderstage_settings as settings,
    oleanderstage_wire::keys,
    serde::{Deserialize, Serialize, de::DeserializeOwned},
    std::{
        collections::BTreeMap,
        fmt::{self, Display, Formatter, Write as _},
        fs,
        io::{self, IsTerminal as _, Write as _},
        path::{Path, PathBuf},
        process::ExitCode,
        sync::Arc,
        time::Duration,
    },
};

pub use {command::Command, error::Error, run::run};

pub mod audit;
pub mod cancel;
pub mod check;
pub mod command;
mod config_store;
pub mod demo;
pub mod diff;
pub mod drain;
mod entries;
pub mod error;
pub mod exit;
pub mod explain;
pub mod html;
pub mod keys_command;
mod plot;
mod progress;
pub mod report;
pub mod run;
pub mod schema;
pub mod status;
pub mod submit;
mod wait;
