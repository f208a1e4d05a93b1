//! What a worker says of itself.

use super::*;

/// A worker's entry in the store.
#[derive(Clone, Debug, PartialEq)]
pub struct Registration {
    /// Where it takes orders.
    pub address: String,
    /// When this life began, in milliseconds since 1970.
    pub born: Option<u64>,
    /// What it can hold.
    pub capacity: Resources,
    /// It leaves soon and takes no new work.
    pub draining: bool,
    /// Its kind and its rack.
    pub labels: Vec<String>,
    /// While it drains: at least this many milliseconds are left.
    pub remaining_ms: Option<u64>,
    /// The service that it belongs to.
    pub service: String,
    /// Its availability zone.
    pub zone: String,
}
