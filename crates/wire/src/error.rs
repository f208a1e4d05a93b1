//! Errors of a call, with the step and the peer.

use super::*;

/// Why a call got no reply.
#[derive(Debug)]
pub struct Error {
    /// The library's words.
    pub cause: String,
    /// The peer.
    pub peer: Name,
    /// What was being done.
    pub step: Step,
}

/// A step of a call.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Step {
    /// Opening a connection: nothing was sent.
    Connect,
    /// Coding or decoding a frame.
    Code,
    /// Reading keys.
    Keys,
    /// Binding the local address.
    Listen,
    /// Reading the frame.
    Receive,
    /// Writing the frame.
    Send,
}

impl Error {
    pub(crate) fn new(step: Step, peer: &Name, cause: impl Display) -> Self {
        Self { cause: cause.to_string(), peer: peer.clone(), step }
    }
}

impl Display for Error {
    fn fmt(&self, f: &mut Formatter) -> fmt::Result {
        let step = match self.step {
            Step::Code => "code a frame for",
            Step::Connect => "connect to",
            Step::Keys => "read the keys of",
            Step::Listen => "listen as",
            Step::Receive => "receive a frame from",
            Step::Send => "send a frame to",
        };
        write!(f, "cannot {step} `{}`: {}", self.peer, self.cause)
    }
}

impl std::error::Error for Error {}
