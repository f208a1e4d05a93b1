//! JSON bodies of the etcd v3 gateway, with only the fields in use. Keys and values are in base64,
//! 64-bit numbers are text.

use super::*;

/// Bytes, encoded in base64.
#[derive(Clone, Debug, Default, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(try_from = "String", into = "String")]
pub struct Blob(pub Vec<u8>);

/// A 64-bit number, encoded as text.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(try_from = "String", into = "String")]
pub struct Long(pub i64);

/// Header of every answer.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
#[serde(default)]
pub struct Header {
    /// Revision of the store at the time of the answer.
    pub revision: Long,
}

/// Body of an error answer.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct Status {
    /// The gRPC status code.
    #[serde(default)]
    pub code: u32,
    /// Message of the error.
    pub message: String,
}

/// One key and its value.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
#[serde(default)]
pub struct KeyValue {
    /// The key.
    pub key: Blob,
    /// The lease that the key is attached to, or 0.
    pub lease: Long,
    /// Revision of its last change.
    pub mod_revision: Long,
    /// The value.
    pub value: Blob,
    /// Number of writes since the key was created, including the first.
    pub version: Long,
}

/// Body of `/v3/kv/range`; also the range of a deletion.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
#[serde(default)]
pub struct Range {
    /// The first key.
    pub key: Blob,
    /// Whether values are left out of the answer.
    #[serde(skip_serializing_if = "std::ops::Not::not")]
    pub keys_only: bool,
    /// The first key after the range; if empty, the range is `key` alone.
    pub range_end: Blob,
}

/// Answer of `/v3/kv/range`.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
#[serde(default)]
pub struct RangeAnswer {
    /// Header of the answer.
    pub header: Header,
    /// The keys found, in order.
    pub kvs: Vec<KeyValue>,
}

/// Body of `/v3/kv/txn`.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
#[serde(default)]
pub struct Txn {
    /// Conditions that must all hold.
    pub compare: Vec<Compare>,
    /// Operations that are applied if they do.
    pub success: Vec<Request>,
}

/// A condition of a transaction: the key's `target` equals the one operand that is set.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
#[serde(default)]
pub struct Compare {
    /// The key.
    pub key: Blob,
    /// Operand for target `MOD`.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub mod_revision: Option<Long>,
    /// The comparison; always `EQUAL`.
    pub result: String,
    /// The property compared: `MOD`, `VALUE` or `VERSION`.
    pub target: String,
    /// Operand for target `VALUE`.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub value: Option<Blob>,
    /// Operand for target `VERSION`.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub version: Option<Long>,
}

/// One operation of a transaction: exactly one field is set.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
#[serde(default)]
pub struct Request {
    /// Deletes a range.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub request_delete_range: Option<Range>,
    /// Writes a key.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub request_put: Option<Put>,
}

/// Writes a key.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
#[serde(default)]
pub struct Put {
    /// The key.
    pub key: Blob,
    /// The lease that the key is attached to, or 0.
    pub lease: Long,
    /// The value.
    pub value: Blob,
}

/// Answer of `/v3/kv/txn`.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
#[serde(default)]
pub struct TxnAnswer {
    /// Header of the answer.
    pub header: Header,
    /// Whether the conditions held.
    pub succeeded: bool,
}

/// Body and answer of `/v3/lease/grant`, `/v3/lease/keepalive` and `/v3/lease/revoke`.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
#[serde(default)]
pub struct Lease {
    /// Id of the lease; 0 in a grant lets the service choose it.
    #[serde(rename = "ID")]
    pub id: Long,
    /// Time to live, in seconds; 0 in an answer if the lease has ended.
    #[serde(rename = "TTL")]
    pub ttl: Long,
}

/// One message of a streamed answer.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct Streamed<T> {
    /// The message.
    pub result: T,
}

/// Body of `/v3/watch`.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
#[serde(default)]
pub struct WatchRequest {
    /// Starts a watch.
    pub create_request: WatchCreate,
}

/// Starts a watch.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
#[serde(default)]
pub struct WatchCreate {
    /// The first key.
    pub key: Blob,
    /// Whether the service sends empty messages while nothing changes.
    pub progress_notify: bool,
    /// The first key after the range.
    pub range_end: Blob,
    /// The first revision to report; 0 for the next one.
    pub start_revision: Long,
}

/// One message of a watch.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
#[serde(default)]
pub struct WatchAnswer {
    /// Whether the service has cancelled the watch.
    pub canceled: bool,
    /// The oldest revision that can be watched, if `start_revision` lies before it.
    pub compact_revision: Long,
    /// Changes, in the order of their revisions.
    pub events: Vec<WatchEvent>,
    /// Header of the message.
    pub header: Header,
}

/// One change of one key.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
#[serde(default)]
pub struct WatchEvent {
    /// The key after the change; without a value if it was deleted.
    pub kv: KeyValue,
    /// `PUT` or `DELETE`.
    #[serde(rename = "type")]
    pub kind: EventKind,
}

/// Kind of a change.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "UPPERCASE")]
pub enum EventKind {
    /// The key was deleted.
    Delete,
    /// The key was written.
    #[default]
    Put,
}

impl Range {
    /// Returns the range of one key.
    pub fn key(key: &str) -> Self {
        Self { key: key.into(), ..Self::default() }
    }

    /// Returns the range of every key that starts with `prefix`.
    pub fn prefix(prefix: &str) -> Self {
        Self { key: prefix.into(), range_end: prefix_end(prefix), ..Self::default() }
    }
}

impl From<&str> for Blob {
    fn from(text: &str) -> Self {
        Self(text.as_bytes().into())
    }
}

impl TryFrom<String> for Blob {
    type Error = base64::DecodeError;

    fn try_from(text: String) -> Result<Self, base64::DecodeError> {
        BASE64_STANDARD.decode(text).map(Self)
    }
}

impl From<Blob> for String {
    fn from(blob: Blob) -> Self {
        BASE64_STANDARD.encode(blob.0)
    }
}

impl TryFrom<String> for Long {
    type Error = std::num::ParseIntError;

    fn try_from(text: String) -> Result<Self, std::num::ParseIntError> {
        text.parse().map(Self)
    }
}

impl From<Long> for String {
    fn from(long: Long) -> Self {
        long.0.to_string()
    }
}

/// Returns the first key after every key that starts with `prefix`.
fn prefix_end(prefix: &str) -> Blob {
    let mut bytes = prefix.as_bytes().to_vec();
    while let Some(last) = bytes.pop() {
        if last < u8::MAX {
            bytes.push(last + 1);
            return Blob(bytes);
        }
    }
    Blob(vec![0])
}
