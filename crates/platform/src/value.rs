//! Values of the key-value service.

use super::*;

/// A key and its value.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Value {
    /// The value.
    pub bytes: Vec<u8>,
    /// The key.
    pub key: String,
    /// Revision of its last change.
    pub modified: i64,
    /// Number of writes since the key was created, including the first.
    pub version: i64,
}

impl From<gateway::KeyValue> for Value {
    fn from(kv: gateway::KeyValue) -> Self {
        Self {
            bytes: kv.value.0,
            key: String::from_utf8_lossy(&kv.key.0).into(),
            modified: kv.mod_revision.0,
            version: kv.version.0,
        }
    }
}
