//! The program `oleanderstage-scheduler`: owns cells of workers, on the decisions of the core.

use {
    argh::FromArgs,
    cadence::{Counted, Gauged, StatsdClient},
    miette::IntoDiagnostic,
    oleanderstage_core::{
        Answer, Faults, Holder, Instant, Listing, Name, Owner, Partition, Ticket, answer, cell,
        contact, lease,
        owner::{self, Action, Event, Note},
        store, worker,
    },
    oleanderstage_follow::{Follower, InForce},
    oleanderstage_platform::{self as platform, error::Kind, vms, workers},
    oleanderstage_settings as settings,
    oleanderstage_wire::{Call, Identity, Listener, Reply, call, listener::Incoming, reply},
    std::{
        collections::BTreeMap,
        fmt::{self, Display, Formatter},
        net::SocketAddr,
        path::PathBuf,
        sync::Arc,
        time::Duration,
    },
    tokio::{
        signal::unix::{SignalKind, signal},
        sync::mpsc,
        time,
    },
    tokio_util::sync::CancellationToken,
};

pub use {actor::Actor, edge::Edge, error::Error, run::run, serve::serve};

pub mod actor;
pub mod edge;
pub mod error;
pub mod run;
pub mod serve;
pub mod translate;
