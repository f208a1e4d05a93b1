//! What a run disturbs the system with.

/// What a run disturbs the system with.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Disruption {
    /// Tasks that crash their workers, and workers whose capacity changes.
    Crashes,
    /// Workers that beat are cut off from the VMs, the store or both, while workers leave and restart and VMs
    /// are killed, stopped and paused.
    Cuts,
    /// Random faults, which overlap.
    Faults,
    /// Workers that restart in series beside late orders, and callers that cancel jobs whose acceptance is late.
    Lives,
    /// Planned work: workers leave and VMs restart, each in a series of its own.
    Maintenance,
    /// Outages of the store, beside lasting jobs, kills of all VMs and workers that leave or crash.
    Outages,
    /// VMs and workers are cut off together from the store and from other machines, while workers restart and
    /// VMs are killed, stopped and paused.
    Partitions,
}
