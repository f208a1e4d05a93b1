//! Settings of the program `oleanderstage-entry`.

use super::*;

/// Settings of one entry.
#[derive(Clone, Debug, Deserialize, JsonSchema, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Entry {
    /// Where callers reach it over HTTP, as `IP:PORT`.
    #[schemars(extend("format" = "ip-port"))]
    pub http: SocketAddr,
    /// The memory of its VM, in MiB. Callers can make it hold a quarter of that; 0 stands for 256.
    #[serde(default)]
    pub memory_mib: usize,
    /// Where metrics go, as `IP:PORT` of a statsd listener over UDP; none are sent without it.
    #[serde(default)]
    #[schemars(extend("format" = "ip-port"))]
    pub metrics: Option<SocketAddr>,
    /// Its own name, as its certificate and the VM list have it.
    pub name: Name,
    /// The other entries.
    pub peers: Vec<Peer>,
    /// Where peers reach it over QUIC, as `IP:PORT`.
    #[schemars(extend("format" = "ip-port"))]
    pub quic: SocketAddr,
    /// The schedulers.
    pub schedulers: Vec<Peer>,
    /// Base address of the key-value service, such as `http://127.0.0.1:2379`.
    #[schemars(extend("format" = "url"))]
    pub store: String,
    /// Keys for QUIC.
    pub tls: Tls,
    /// Address of the VM list, such as `http://127.0.0.1:2380/vms`.
    #[schemars(extend("format" = "url"))]
    pub vm_list: String,
    /// Its own availability zone.
    pub zone: Name,
}
