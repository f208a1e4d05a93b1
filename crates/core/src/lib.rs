//! All decisions of the scheduler, without any I/O: state machines take typed events and the
//! current time and return typed actions, so that a recorded session replays exactly.

use {
    rand::{Rng, SeedableRng},
    rand_pcg::Pcg64Mcg,
    schemars::{JsonSchema, Schema, SchemaGenerator, json_schema},
    serde::{Deserialize, Serialize, de::DeserializeOwned},
    std::{
        borrow::Cow,
        collections::{BTreeMap, BTreeSet, VecDeque},
        fmt::{self, Display, Formatter},
        net::SocketAddr,
        ops::{Add, Sub},
        str::FromStr,
        sync::Arc,
        time::Duration,
    },
    target::Target,
    xxhash_rust::xxh3::xxh3_64,
};

pub use {
    answer::{Answer, Ticket},
    chart::Chart,
    config::Config,
    contact::Contact,
    dispatcher::Dispatcher,
    faults::Faults,
    health::Health,
    instant::Instant,
    journal::{Group, Head, Holder, Key, Record, Term},
    layout::Layout,
    lease::Lease,
    ledger::{Ledger, Transition},
    listing::Listing,
    name::Name,
    owner::Owner,
    queue::Queue,
    recovery::Recovery,
    relief::Relief,
    resources::Resources,
    stage::Stage,
    writer::Writer,
};

pub mod admission;
pub mod answer;
pub mod burn;
pub mod cell;
pub mod change;
pub mod chart;
pub mod config;
pub mod contact;
pub mod dispatcher;
pub mod drain;
pub mod faults;
pub mod follow;
pub mod health;
pub mod instant;
pub mod interference;
pub mod job;
pub mod journal;
pub mod key;
pub mod key_call;
pub mod key_event;
pub mod key_map;
pub mod key_owner;
pub mod key_record;
pub mod layout;
pub mod lease;
pub mod ledger;
pub mod listing;
pub mod name;
pub mod outcome;
pub mod owner;
pub mod placement;
pub mod probation;
pub mod queue;
pub mod quota;
pub mod recovery;
pub mod relief;
pub mod request;
pub mod resources;
pub mod retry;
pub mod route;
pub mod sealed;
pub mod share;
pub mod sizing;
pub mod stage;
pub mod store;
pub mod submission;
pub mod task;
pub mod worker;
pub mod writer;

mod key_authority;
mod key_liveness;
mod key_ownership;
mod key_ownerships;
mod target;
