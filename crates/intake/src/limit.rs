//! What a process may hold for its clients.

/// What a process may hold for its clients.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Limit {
    /// Bytes of all connections together.
    pub bytes: usize,
    /// The most connections of each listener, by its number.
    pub connections: Vec<usize>,
    /// How long a request may take to arrive whole, in milliseconds.
    pub request_ms: u64,
    /// How long a client may take for its next bytes, or to read more of an answer, in milliseconds.
    pub stall_ms: u64,
}

/// The memory of a VM whose settings don't tell it, in bytes.
const DEFAULT_MEMORY_BYTES: usize = 256 << 20;
/// The descriptors of a VM whose settings don't tell them.
const DEFAULT_DESCRIPTORS: usize = 4_096;
/// Descriptors that are not available for connections.
const FILE_DESCRIPTORS: usize = 200;
/// The share of the memory that clients may fill, in percent.
const MEMORY_PERCENT: usize = 25;
/// The share of the descriptors for connections that clients may take, in percent. The others are for the
/// store, workers and other VMs.
const CONNECTIONS_PERCENT: usize = 50;
/// How many times longer than the longest time limit of callers a request may take to arrive.
const REQUEST_TIMEOUTS: u64 = 10;
/// How many times longer than it the next bytes may take.
const STALL_TIMEOUTS: u64 = 4;

impl Limit {
    /// Returns a limit that nothing reaches, for a number of listeners.
    pub fn none(listeners: usize) -> Self {
        let connections = vec![usize::MAX; listeners];
        Self {
            bytes: usize::MAX / 2,
            connections,
            request_ms: u64::MAX / 2,
            stall_ms: u64::MAX / 2,
        }
    }

    /// Returns the limit for a VM. `shares` are those of its listeners, in percent of the connections;
    /// `timeout_ms` is the time limit of callers. 0 bytes or descriptors stand for a default.
    pub fn new(memory_bytes: usize, descriptors: usize, shares: &[usize], timeout_ms: u64) -> Self {
        let or = |value, default| if value == 0 { default } else { value };
        let memory_bytes = or(memory_bytes, DEFAULT_MEMORY_BYTES);
        let descriptors = or(descriptors, DEFAULT_DESCRIPTORS).saturating_sub(FILE_DESCRIPTORS);
        let connections = descriptors.saturating_mul(CONNECTIONS_PERCENT) / 100;
        Self {
            bytes: memory_bytes / 100 * MEMORY_PERCENT,
            connections: shares
                .iter()
                .map(|share| (connections.saturating_mul(*share) / 100).max(1))
                .collect(),
            request_ms: timeout_ms * REQUEST_TIMEOUTS,
            stall_ms: timeout_ms * STALL_TIMEOUTS,
        }
    }
}
