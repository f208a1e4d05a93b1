//! Faults, injected from outside the processes.

/// A kind of fault.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum Fault {
    /// A VM's way to the store is closed.
    Cut,
    /// A VM's way to the store is slow.
    Delay,
    /// The store forgets its history.
    Forget,
    /// A VM is told that its settings changed.
    Hangup,
    /// All VMs are killed.
    Herd,
    /// A VM is killed.
    Kill,
    /// The store makes writes and does not answer.
    Mute,
    /// A VM stands still.
    Pause,
    /// The store takes all leases away.
    Revoke,
    /// A VM's open connections to the store go silent.
    Silence,
    /// The store refuses every call.
    StoreBusy,
    /// A VM is told to stop.
    Stop,
    /// A worker loses everything and begins anew.
    WorkerCrash,
    /// A worker is cut off and runs on.
    WorkerCut,
    /// A worker fails what it runs.
    WorkerFail,
    /// A worker's open connections go silent.
    WorkerSilence,
}

impl Fault {
    /// Every kind.
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

    /// Returns its name.
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
