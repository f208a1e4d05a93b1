//! The demo: the whole system in one process, with stand-ins for the platform and the workers.

use {
    hdrhistogram::Histogram,
    miette::{IntoDiagnostic, Result, bail, ensure},
    oleanderstage_core::{
        Name, Resources,
        config::{self, Config},
        job,
        outcome::{self, Outcome},
    },
    oleanderstage_platform::{
        http,
        store::{Client, Condition, Operation, Txn},
    },
    oleanderstage_settings::{self as settings, Peer, Tls},
    oleanderstage_standin as standin,
    oleanderstage_wire::keys::Set,
    serde::{Deserialize, Serialize, de::DeserializeOwned},
    serde_json::json,
    std::{
        fs,
        net::{SocketAddr, TcpListener},
        path::PathBuf,
        process,
        sync::{Arc, Mutex, MutexGuard, PoisonError},
        time::{Duration, Instant},
    },
    tokio::task::JoinHandle,
    tokio_util::sync::CancellationToken,
};

pub use {load::Load, plan::Plan, run::run, system::System, tally::Tally};

pub mod load;
mod plan;
pub mod run;
pub mod system;
pub mod tally;

/// Locks `mutex`, even if another holder panicked.
fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
