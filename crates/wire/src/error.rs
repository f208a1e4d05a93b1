//! Errors of calls, with the step that failed and the peer.

use super::*;

/// An error of a call, or of setting up the local end.
#[derive(Debug)]
pub struct Error {
    /// Message of the underlying error.
    pub cause: String,
    /// The peer; this process itself for `Step::Keys` and `Step::Listen`.
    pub peer: Name,
    /// The step that failed.
    pub step: Step,
}

/// A step of a call.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Step {
    /// Opening a connection or a stream: nothing was sent.
    Connect,
    /// Encoding or decoding a frame.
    Codec,
    /// Loading the TLS keys.
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
            Step::Codec => "encode or decode a frame of",
            Step::Connect => "connect to",
            Step::Keys => "load the TLS keys of",
            Step::Listen => "listen as",
            Step::Receive => "receive a frame from",
            Step::Send => "send a frame to",
        };
        write!(f, "cannot {step} `{}`: {}", self.peer, self.cause)
    }
}

impl std::error::Error for Error {}
