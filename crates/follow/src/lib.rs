//! Keeps the configuration of a process up to date from the key-value service and from peers.

use {
    oleanderstage_core::{
        Instant,
        config::{Accepted, Config, Revision},
        follow::{Action, Answer, CALL_TIMEOUT, Event, Machine, PERIOD, Reading, Refusal},
    },
    oleanderstage_platform::store,
    oleanderstage_wire::{Call, Link, Reply},
    std::{
        sync::{
            Arc,
            atomic::{AtomicI64, Ordering},
        },
        time::Duration,
    },
    tokio::sync::{mpsc, watch},
    tokio_util::sync::CancellationToken,
};

pub use {active_config::ActiveConfig, follower::Follower};

pub mod active_config;
mod driver;
pub mod follower;
