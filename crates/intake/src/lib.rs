//! One bound for everything that clients make a process hold: connections, heads, bodies, what is decoded from
//! them, and answers that are not read. [`Table`] decides and performs no I/O; [`Intake`] shares it between the
//! connections of a process, and [`Socket`] tells it what they read and write.

use {
    serde::Serialize,
    std::{
        collections::BTreeMap,
        fmt::{self, Display, Formatter},
        io,
        pin::Pin,
        sync::{Arc, Mutex, MutexGuard, PoisonError},
        task::{Context, Poll, Waker},
        time::Instant,
    },
    tokio::io::{AsyncRead, AsyncWrite, ReadBuf},
    tokio_util::sync::CancellationToken,
};

pub use {
    body::Body, cause::Cause, connection::Connection, error::Error, intake::Intake, limit::Limit,
    phase::Phase, reservation::Reservation, socket::Socket, table::Table,
};

pub mod body;
pub mod cause;
pub mod connection;
pub mod error;
pub mod intake;
pub mod limit;
pub mod phase;
pub mod reservation;
pub mod socket;
pub mod table;
