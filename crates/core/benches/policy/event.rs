//! What happens at a point in time.

use super::*;

/// What happens at a point in time.
#[derive(Clone, Debug, PartialEq)]
pub(crate) enum Event {
    /// A request arrives at the entry of a zone.
    Arrival { zone: usize },
    /// The VM list shows what the fault did.
    Listed,
    /// A worker's report arrives.
    Report { age: Duration, usage: worker::Usage, vm: usize },
    /// An attempt of a request ends.
    RequestEnd { end: route::End, id: usize },
    /// A request is tried again.
    RequestRetry { id: usize },
    /// A run ends, unless its generation has passed.
    RunEnd { generation: u32, unit: usize },
    /// The fault of the scenario begins.
    Fault,
    /// The lease of a run on a lost VM has run out.
    Lapse { unit: usize },
    /// Batch work arrives and is placed.
    Tick,
    /// A worker measures.
    Window { vm: usize },
}
