//! Another process of the system.

use super::*;

/// Another process of the system, as the settings name it.
#[derive(Clone, Debug, Deserialize, Eq, JsonSchema, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Peer {
    /// Where it is reached over QUIC, as `IP:PORT`.
    #[schemars(extend("format" = "ip-port"))]
    pub address: SocketAddr,
    /// Its name, as its certificate has it.
    pub name: Name,
    /// Its availability zone.
    pub zone: Name,
}
