//! Errors of a call to the platform, with the step, the peer and what is known of its effect.

use super::*;

/// Why a call to the platform failed.
#[derive(Clone, Debug)]
pub struct Error {
    /// The library's or the peer's words.
    pub cause: String,
    /// What is known of the call's effect.
    pub kind: Kind,
    /// Base address of the peer.
    pub peer: String,
    /// What was being done.
    pub step: Step,
}

/// What is known of the effect of a failed call.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Kind {
    /// The answer can't be read. A read is refused; a write may have taken effect.
    Damaged,
    /// No answer came: a write may have taken effect.
    Doubt,
    /// The lease, or the revision asked for, is gone; nothing was done.
    Lapsed,
    /// The peer refused, by its rate or its limits; nothing was done.
    Refused,
    /// The peer was not reached, or the call only reads; nothing was done.
    Unsent,
}

/// A step of a call to the platform.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Step {
    /// Comparing and writing keys in one transaction.
    Commit,
    /// Asking for a lease.
    Grant,
    /// Renewing a lease.
    KeepAlive,
    /// Listing VMs.
    ListVms,
    /// Reading keys.
    Range,
    /// Fetching a worker's report.
    Report,
    /// Ending a lease.
    Revoke,
    /// Sending commands to a worker.
    SendCommands,
    /// Building the client.
    Start,
    /// Waiting for changes of keys.
    Watch,
}

impl Error {
    pub(crate) fn new(step: Step, peer: &str, kind: Kind, cause: impl Display) -> Self {
        Self { cause: cause.to_string(), kind, peer: peer.into(), step }
    }

    /// Returns whether a write may have taken effect: read back before doing anything else.
    pub fn in_doubt(&self) -> bool {
        self.step.writes() && matches!(self.kind, Kind::Damaged | Kind::Doubt)
    }

    pub(crate) fn transport(step: Step, peer: &str, error: &reqwest::Error) -> Self {
        let kind = match error.is_connect() || !step.writes() {
            true => Kind::Unsent,
            false => Kind::Doubt,
        };
        Self::new(step, peer, kind, Chain(error))
    }
}

impl Step {
    /// Returns whether the step may change anything at the peer.
    pub fn writes(self) -> bool {
        match self {
            Self::Commit | Self::Grant | Self::KeepAlive | Self::Revoke | Self::SendCommands => {
                true
            }
            Self::ListVms | Self::Range | Self::Report | Self::Start | Self::Watch => false,
        }
    }
}

impl Display for Error {
    fn fmt(&self, f: &mut Formatter) -> fmt::Result {
        let step = match self.step {
            Step::Commit => "commit a transaction",
            Step::Grant => "get a lease",
            Step::KeepAlive => "renew a lease",
            Step::ListVms => "list VMs",
            Step::Range => "read keys",
            Step::Report => "fetch a report",
            Step::Revoke => "end a lease",
            Step::SendCommands => "send commands",
            Step::Start => "start a client",
            Step::Watch => "watch keys",
        };
        let mend = match self.kind {
            Kind::Damaged => "check which software answers there",
            Kind::Doubt => "read back before trying again",
            Kind::Lapsed => "start afresh",
            Kind::Refused => "try again later, with less",
            Kind::Unsent => "check the address in the settings, or try again later",
        };
        write!(f, "cannot {step} at `{}`: {}; {mend}", self.peer, self.cause)
    }
}

impl std::error::Error for Error {}

/// Writes an error with its sources.
struct Chain<'a>(&'a dyn std::error::Error);

impl Display for Chain<'_> {
    fn fmt(&self, f: &mut Formatter) -> fmt::Result {
        write!(f, "{}", self.0)?;
        let mut source = self.0.source();
        while let Some(error) = source {
            write!(f, ": {error}")?;
            source = error.source();
        }
        Ok(())
    }
}
