//! What a connection waits for.

/// What a connection waits for.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Phase {
    /// The next request, of which nothing has arrived.
    Idle,
    /// The rest of a request.
    Receiving,
    /// Its client to read an answer.
    Sending,
    /// This process: the request has been read whole.
    Working,
}
