//! Calls between the system's own processes, and the QUIC connections that carry them.

use {
    oleanderstage_core::{Name, cell, config::Revision, job, key_call, key_map, key_record},
    quinn::crypto::rustls::{QuicClientConfig, QuicServerConfig},
    rustls::{
        RootCertStore,
        pki_types::{CertificateDer, PrivateKeyDer, pem::PemObject},
        server::WebPkiClientVerifier,
    },
    serde::{Deserialize, Serialize, de::DeserializeOwned},
    std::{
        fmt::{self, Display, Formatter},
        net::SocketAddr,
        path::PathBuf,
        sync::Arc,
        time::Duration,
    },
};

pub use {
    call::Call, error::Error, identity::Identity, kept::Kept, link::Link, listener::Listener,
    reply::Reply,
};

pub mod call;
pub mod codec;
pub mod error;
pub mod identity;
pub mod kept;
pub mod keys;
pub mod link;
pub mod listener;
pub mod reply;
