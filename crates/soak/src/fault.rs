//! Kinds of faults, injected from outside the processes.

/// A kind of fault.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum Fault {
    /// Closes a VM's connections to the store, and new ones, for a while.
    Cut,
    /// Delays the bytes between a VM and the store for a while.
    Delay,
    /// The store compacts its history, so that watches have to read again.
    Forget,
    /// Sends SIGHUP to a VM, which asks it to reload its settings.
    Hangup,
    /// Kills all VMs at once.
    Herd,
    /// Kills a VM with SIGKILL.
    Kill,
    /// The store applies writes and does not answer them.
    Mute,
    /// Pauses a VM with SIGSTOP for a while.
    Pause,
    /// The store ends all leases at once.
    Revoke,
    /// A VM's open connections to the store carry nothing any more, but are not closed.
    Silence,
    /// The store refuses every call.
    StoreBusy,
    /// Stops a VM with SIGTERM.
    Stop,
    /// A worker loses its state and restarts under the same ID.
    WorkerCrash,
    /// Closes a worker's connections, and new ones, for a while; its tasks run on.
    WorkerCut,
    /// For a while, every run that reaches its end on a worker fails.
    WorkerFail,
    /// A worker's open connections carry nothing any more, but are not closed.
    WorkerSilence,
}

impl Fault {
    /// All kinds. Which faults a seed injects depends on their order.
    pub const ALL: [Self; 16] = [
        Self::Cut,
        Self::Delay,
        Self::Forget,
        Self::Hangup,
        Self::Herd,
        Self::Kill,
        Self::Mute,
        Self::Pause,
        Self::Revoke,
        Self::Silence,
        Self::StoreBusy,
        Self::Stop,
        Self::WorkerCrash,
        Self::WorkerCut,
        Self::WorkerFail,
        Self::WorkerSilence,
    ];

    /// Returns the name that the report counts it under.
    pub fn name(self) -> &'static str {
        match self {
            Self::Cut => "cut",
            Self::Delay => "delay",
            Self::Forget => "forget",
            Self::Hangup => "hangup",
            Self::Herd => "herd",
            Self::Kill => "kill",
            Self::Mute => "mute",
            Self::Pause => "pause",
            Self::Revoke => "revoke",
            Self::Silence => "silence",
            Self::StoreBusy => "store-busy",
            Self::Stop => "stop",
            Self::WorkerCrash => "worker-crash",
            Self::WorkerCut => "worker-cut",
            Self::WorkerFail => "worker-fail",
            Self::WorkerSilence => "worker-silence",
        }
    }
}
