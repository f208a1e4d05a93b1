//! Clients of the platform: the key-value service, the VM list and the workers.

use {
    base64::{Engine, prelude::BASE64_STANDARD},
    bytes::BytesMut,
    futures_util::{Stream, StreamExt},
    oleanderstage_core::{Name, cell, worker},
    reqwest::StatusCode,
    serde::{Deserialize, Serialize, de::DeserializeOwned},
    std::{
        collections::BTreeMap,
        fmt::{self, Debug, Display, Formatter},
        net::SocketAddr,
        pin::Pin,
        sync::{Arc, Mutex, PoisonError},
        time::Duration,
    },
    tokio::time::Instant,
};

pub use {error::Error, http::client};

pub mod error;
pub mod gateway;
pub mod http;
pub mod store;
pub mod txn;
pub mod value;
pub mod vms;
pub mod watch;
pub mod workers;
