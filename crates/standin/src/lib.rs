//! Small stand-ins for the key-value service, the VM list and the workers, for tests and the demo.

use {
    bytes::Bytes,
    futures_util::stream,
    log::info,
    oleanderstage_core::{Name, Resources, cell, config, outcome, task, worker as protocol},
    oleanderstage_platform::{
        gateway::{self, Blob, Long},
        store::MAX_VALUE_BYTES,
        vms::{State, Vm},
        workers::StaleEpoch,
    },
    percent_encoding::percent_decode_str,
    salvo::{
        Depot, FlowCtrl, Handler, Request, Response, Service, async_trait,
        conn::{Accepted, Holding, StraightStream, tcp::TcpAcceptor, tcp::TcpCoupler},
        fuse::ArcFusePolicy,
        http::{ResBody, StatusCode},
    },
    schemars::JsonSchema,
    serde::{Deserialize, Serialize},
    std::{
        collections::{BTreeMap, BTreeSet, VecDeque},
        fmt::{self, Display, Formatter},
        io,
        net::SocketAddr,
        path::PathBuf,
        pin::Pin,
        sync::{Arc, Mutex, MutexGuard, PoisonError},
        task::{Context, Poll},
        time::{Duration, SystemTime, UNIX_EPOCH},
    },
    tokio::{
        io::{AsyncRead, AsyncWrite, ReadBuf},
        net::TcpStream,
        sync::watch,
        task::JoinHandle,
        time::Instant,
    },
};

pub use {
    behaviour::Behaviour,
    error::Error,
    ledger::Ledger,
    platform::Platform,
    run::run,
    store::Store,
    users_store::UsersStore,
    users_view::UsersView,
    users_worker::{UsersLedger, UsersWorker},
    vms::Vms,
    worker::Worker,
};

mod acceptor;
pub mod behaviour;
pub mod clock;
mod connections;
pub mod error;
pub mod faults;
pub mod ledger;
mod limiter;
pub mod payload;
pub mod platform;
mod reply;
mod run;
mod server;
pub mod settings;
mod simulation;
pub mod store;
mod stream_guard;
pub mod summary;
mod usage;
mod users_http;
pub mod users_store;
mod users_view;
pub mod users_worker;
pub mod vms;
pub mod worker;

/// Locks `mutex`, even if another thread panicked while it held the lock.
fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
