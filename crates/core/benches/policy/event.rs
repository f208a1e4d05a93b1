//! Events of the simulation.

use super::*;

/// A scheduled event of the simulation.
#[derive(Clone, Debug, PartialEq)]
pub(crate) enum Event {
    /// A request arrives at the entry of a zone.
    Arrival { zone: usize },
    /// The VM list shows the VMs lost by the fault.
    VmListUpdate,
    /// A worker's report arrives.
    Report { age: Duration, usage: worker::Usage, vm: usize },
    /// An attempt of a request ends.
    RequestEnd { end: route::End, id: usize },
    /// A request is tried again.
    RequestRetry { id: usize },
    /// A run ends, unless the unit's generation has changed since.
    RunEnd { generation: u32, unit: usize },
    /// The fault of the scenario begins.
    Fault,
    /// The lease of a run on a lost VM expires.
    LeaseEnd { unit: usize },
    /// Batch work arrives and is placed.
    Tick,
    /// A worker ends its measurement window and sends a report.
    WindowEnd { vm: usize },
}
