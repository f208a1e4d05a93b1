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
    call::Call, error::Error, identity::Identity, link::Link, listener::Listener, reply::Reply,
    stored_answer::StoredAnswer,
};

pub mod call;
pub mod codec;
pub mod error;
pub mod identity;
pub mod keys;
pub mod link;
pub mod listener;
pub mod reply;
pub mod stored_answer;
