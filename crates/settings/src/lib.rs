//! Settings of every program and the operators' configuration: JSON with comments, decoded into
//! checked types. All errors of a file are reported together.

use {
    argh::FromArgs,
    jsonc_parser::{
        CollectOptions, ParseOptions,
        ast::{Array, NumberLit, Object, StringLit, Value},
        common::{Range, Ranged},
        parse_to_ast,
    },
    miette::{Diagnostic, NamedSource, SourceSpan},
    oleanderstage_core::{
        Name, Resources,
        config::{Config, Service, Team, Vm},
    },
    schemars::{JsonSchema, Schema},
    serde::{Deserialize, Serialize, de::DeserializeOwned},
    serde_json::Value as Json,
    std::{
        collections::BTreeSet,
        fmt::{self, Display, Formatter},
        fs,
        net::SocketAddr,
        path::{Path, PathBuf},
    },
};

pub use {
    command_line::arguments,
    configuration::parse_configuration,
    entry::Entry,
    error::Error,
    fault::Fault,
    peer::Peer,
    read::{parse, read},
    scheduler::Scheduler,
    tls::Tls,
};

pub mod command_line;
pub mod configuration;
mod document;
pub mod entry;
pub mod error;
pub mod fault;
pub mod peer;
pub mod read;
pub mod scheduler;
mod schema;
pub mod tls;
