//! Support for the end-to-end tests with real processes on loopback: the fleet that they start, the
//! faults that they inject and the load that they measure.

use {
    oleanderstage_core::{
        Name, Resources,
        config::{self, Accepted, Config, Revision},
        job,
        outcome::{self, Outcome},
    },
    oleanderstage_platform::{Error as PlatformError, client},
    oleanderstage_settings::{self as settings, Peer, Tls},
    oleanderstage_standin::{Behaviour, Ledger, Platform, Store, Vms, Worker},
    oleanderstage_wire::keys,
    serde::{Deserialize, Serialize},
    std::{
        collections::BTreeMap,
        fmt::{self, Display, Formatter},
        fs, io,
        net::{IpAddr, Ipv4Addr, SocketAddr},
        path::{Path, PathBuf},
        process::{Child, Command, ExitStatus, Stdio},
        sync::{
            Arc, Mutex, MutexGuard, PoisonError,
            atomic::{AtomicU32, Ordering},
        },
        time::{Duration, Instant},
    },
    tokio::{
        io::{AsyncReadExt, AsyncWriteExt},
        net::{TcpListener, TcpStream, UdpSocket},
        sync::watch,
        task::JoinHandle,
    },
    tokio_util::sync::CancellationToken,
};

pub use {
    balancer::Balancer, caller::Caller, crowd::Crowd, error::Error, fleet::Fleet, load::Load,
    plan::Plan, process::Process, run::run,
};

pub mod balancer;
pub mod caller;
pub mod crowd;
pub mod error;
pub mod fleet;
pub mod load;
pub mod plan;
pub mod process;
mod run;
pub mod tcp_relay;
pub mod udp_relay;

/// Locks `mutex`, even if another holder panicked.
fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
