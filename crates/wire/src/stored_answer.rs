//! Answers of keyed requests, stored to answer repeats of the same request.

use super::*;
use oleanderstage_core::{
    key,
    key_record::{self, Grant},
    request,
};

/// The largest body that is stored, in bytes. A larger answer is not stored.
pub const MAX_BODY_BYTES: usize = 1 << 20;

/// A whole answer of an endpoint.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct StoredAnswer {
    /// Its body, at most `MAX_BODY_BYTES`.
    pub body: bytes::Bytes,
    /// Its headers, in order.
    pub headers: Vec<Header>,
    /// Id of the request that it answers.
    pub request: request::Id,
    /// Its HTTP status.
    pub status: u16,
}

/// An HTTP header.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Header {
    /// Its name, in lower case.
    pub name: String,
    /// Its value.
    pub value: Vec<u8>,
}

/// End of the run of a keyed request, with its answer.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct End {
    /// Answer of the run, if that is stored.
    pub answer: Option<StoredAnswer>,
    /// How the run ended.
    pub end: key_record::End,
    /// The permission that the run had.
    pub grant: Grant,
    /// Key of the request.
    pub id: key::Id,
}
