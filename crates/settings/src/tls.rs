//! Paths of a process's TLS files.

use super::*;

/// PEM files of a process. `oleanderstage keys` writes a set for tests.
#[derive(Clone, Debug, Deserialize, Eq, JsonSchema, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Tls {
    /// The certificate that every peer's certificate must be signed by.
    pub authority: PathBuf,
    /// Its own certificate.
    pub certificate: PathBuf,
    /// Its own private key.
    pub key: PathBuf,
}
