//! Every decision of the scheduler, with no input or output: state machines take typed events with
//! the time passed in and return typed actions, so that a session replays exactly.

use {
    rand::{Rng, SeedableRng},
    rand_pcg::Pcg64Mcg,
    schemars::{JsonSchema, Schema, SchemaGenerator, json_schema},
    serde::{Deserialize, Serialize, de::DeserializeOwned},
    std::{
        borrow::Cow,
        collections::{BTreeMap, BTreeSet},
        fmt::{self, Display, Formatter},
        net::SocketAddr,
        ops::{Add, Sub},
        str::FromStr,
        sync::Arc,
        time::Duration,
    },
    target::Target,
};

pub use {instant::Instant, name::Name, resources::Resources};

pub mod admission;
pub mod cell;
pub mod chart;
pub mod config;
pub mod drain;
pub mod follow;
pub mod instant;
pub mod interference;
pub mod job;
pub mod key;
pub mod key_call;
pub mod key_event;
pub mod key_map;
pub mod key_owner;
pub mod key_record;
pub mod name;
pub mod outcome;
pub mod placement;
pub mod probation;
pub mod quota;
pub mod request;
pub mod resources;
pub mod retry;
pub mod route;
pub mod share;
pub mod sizing;
pub mod task;
pub mod worker;

mod key_tenure;
mod target;
