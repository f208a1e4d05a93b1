//! The entry: answers callers over HTTP, routes urgent requests to endpoints and accepts batch
//! jobs.

use {
    bytes::{Bytes, BytesMut},
    cadence::{CountedExt, StatsdClient, Timed},
    futures_util::{Stream, StreamExt, TryStreamExt, future},
    oleanderstage_core::{
        Instant, Layout, Name, admission, burn, cell, config, job,
        outcome::{self, Outcome},
        request::{Action, Event, Machine},
        retry, route,
        share::Share,
    },
    oleanderstage_follow::Follower,
    oleanderstage_platform::{store, vms},
    oleanderstage_settings as settings,
    oleanderstage_wire::{self as wire, Call, Identity, Link, Listener, Reply},
    reqwest::{
        StatusCode,
        header::{HeaderMap, HeaderName, HeaderValue},
    },
    salvo::{
        Depot, FlowCtrl, Handler, Request, Response, Router, Server, async_trait,
        conn::tcp::TcpAcceptor,
        fuse::FuseConfig,
        http::{ReqBody, ResBody},
    },
    serde::{Deserialize, Serialize},
    std::{
        collections::{BTreeMap, VecDeque},
        fmt::{self, Display, Formatter},
        io,
        net::SocketAddr,
        path::PathBuf,
        process::ExitCode,
        sync::{
            Arc, Mutex, MutexGuard, PoisonError,
            atomic::{AtomicU64, Ordering},
        },
        time::Duration,
    },
    tokio::{net::TcpListener, sync::mpsc, task::JoinSet},
    tokio_util::sync::CancellationToken,
};

pub use {
    error::Error,
    run::run,
    server::{Entry, serve},
};

mod acceptor;
mod api;
mod arguments;
mod attempt;
mod body;
mod cache;
mod cells;
mod clients;
mod clock;
mod context;
mod counters;
mod drain;
pub mod error;
mod forward;
mod head;
mod hosts;
mod jobs;
mod keyed;
mod keys;
mod peers;
mod pool;
mod probes;
mod refusal;
mod run;
mod server;
mod service;
mod slot;
mod stream;
mod ticket;
mod urgent;

/// Locks `mutex`, also after a thread panicked while holding it.
fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
