//! The entries by which workers register.

use super::*;

/// A worker's entry in the store.
#[derive(Clone, Debug, PartialEq)]
pub struct Registration {
    /// The address at which it accepts orders.
    pub address: String,
    /// When the worker last started, in milliseconds since 1970.
    pub born: Option<u64>,
    /// Its total resources.
    pub capacity: Resources,
    /// Whether it is about to leave and accepts no new work.
    pub draining: bool,
    /// Its kind and its rack.
    pub labels: Vec<String>,
    /// The minimum time left while it drains, in milliseconds.
    pub remaining_ms: Option<u64>,
    /// The service that it belongs to.
    pub service: String,
    /// Its availability zone.
    pub zone: String,
}
