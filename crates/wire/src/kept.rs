//! Answers of keyed requests, kept for their repetitions.

use super::*;
use oleanderstage_core::{
    key,
    key_record::{self, Grant},
    request,
};

/// The largest body that is kept, in bytes.
pub const MAX_BODY_BYTES: usize = 1 << 20;

/// The whole answer of an endpoint.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Kept {
    /// Its body, at most `MAX_BODY_BYTES`.
    pub body: bytes::Bytes,
    /// Its headers, in order.
    pub headers: Vec<Header>,
    /// The request that it answers.
    pub request: request::Id,
    /// Its status.
    pub status: u16,
}

/// One header.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Header {
    /// Its name, in lower case.
    pub name: String,
    /// Its value.
    pub value: Vec<u8>,
}

/// How the run of a keyed request ended.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct End {
    /// Its answer, if that is kept.
    pub answer: Option<Kept>,
    /// How.
    pub end: key_record::End,
    /// The permission that it ran under.
    pub grant: Grant,
    /// The key.
    pub id: key::Id,
}
