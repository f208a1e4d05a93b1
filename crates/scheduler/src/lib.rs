//! The program `oleanderstage-scheduler`: owns cells of workers and runs batch jobs on them. The
//! core makes the decisions.

use {
    argh::FromArgs,
    cadence::{Counted, Gauged, StatsdClient},
    miette::IntoDiagnostic,
    oleanderstage_core::{
        Answer, Faults, Holder, Instant, Layout, Listing, Name, Owner, Ticket, answer, cell,
        contact, lease,
        owner::{self, Action, Event, Note},
        store, worker,
    },
    oleanderstage_follow::{ActiveConfig, Follower},
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

pub use {actor::Actor, error::Error, executor::Executor, run::run, serve::serve};

pub mod actor;
pub mod error;
pub mod executor;
pub mod run;
pub mod serve;
pub mod translate;
