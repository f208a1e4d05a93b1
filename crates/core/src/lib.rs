//! Every decision of the scheduler, with no input or output: state machines take typed events with
//! the time passed in and return typed actions, so that a session replays exactly.

use {
    rand::{Rng, SeedableRng},
    rand_pcg::Pcg64Mcg,
    serde::{Deserialize, Serialize, de::DeserializeOwned},
    std::{
        collections::{BTreeMap, BTreeSet},
        fmt::{self, Display, Formatter},
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
pub mod instant;
pub mod job;
pub mod name;
pub mod outcome;
pub mod request;
pub mod resources;
pub mod retry;
pub mod route;
pub mod share;
pub mod task;
pub mod worker;

mod target;
