//! Every decision of the scheduler, with no input or output: state machines take typed events with
//! the time passed in and return typed actions, so that a session replays exactly.

use {
    schemars::{JsonSchema, Schema, SchemaGenerator, json_schema},
    serde::{Deserialize, Serialize},
    std::{
        borrow::Cow,
        fmt::{self, Display, Formatter},
        net::SocketAddr,
        ops::{Add, Sub},
        str::FromStr,
        sync::Arc,
        time::Duration,
    },
};

pub use {instant::Instant, name::Name, resources::Resources};

pub mod cell;
pub mod config;
pub mod follow;
pub mod instant;
pub mod job;
pub mod name;
pub mod outcome;
pub mod resources;
pub mod task;
pub mod worker;
