//! The body of an urgent request: buffered whole if short, otherwise streamed once.

use super::*;
use {
    oleanderstage_intake::Reservation,
    refusal::{Reason, Refusal},
};

/// Maximum length of a body that is buffered whole, so that it can be sent again.
pub(crate) const MAX_BUFFERED_BYTES: usize = 64 << 10;
/// Maximum bytes that are read and discarded of a refused body.
const MAX_DISCARDED_BYTES: usize = 256 << 10;
/// Longest time spent on reading a refused body.
const DISCARD_TIMEOUT: Duration = Duration::from_millis(500);
/// Longest pause between two parts of a body.
pub(crate) const STALL_TIMEOUT: Duration = Duration::from_secs(10);

/// The body of an urgent request.
pub(crate) enum Body {
    /// Buffered whole; can be sent any number of times.
    Buffered(Bytes),
    /// Streamed already and not buffered; can't be sent again.
    Sent,
    /// Buffered in part; can be sent once.
    Streamed {
        /// The buffered part.
        prefix: Bytes,
        /// The length that the caller declared.
        length: Option<u64>,
        /// Maximum bytes after `prefix`.
        remaining_bytes: u64,
        /// The rest of the body, which is read while it is sent.
        rest: ReqBody,
    },
}

impl Body {
    /// Buffers `body`, at least its first `buffer_limit` bytes if it is longer. Refuses a body of more
    /// than `limit` bytes; `length` is the declared length. `held` grows with the buffer.
    pub(crate) async fn read(
        mut body: ReqBody,
        length: Option<u64>,
        limit: u64,
        buffer_limit: usize,
        held: &mut Option<Reservation>,
    ) -> Result<Self, Refusal> {
        if length.is_some_and(|length| length > limit) {
            return Err(too_long(limit));
        }
        let mut buffered = BytesMut::new();
        while buffered.len() <= buffer_limit {
            match next_part(&mut body).await? {
                None => return Ok(Self::Buffered(buffered.freeze())),
                Some(part) => {
                    // The buffer grows by doubling.
                    let grown = held.as_mut().map(|held| held.grow(2 * part.len()));
                    if let Some(Err(error)) = grown {
                        return Err(stalled(&error.to_string()));
                    }
                    buffered.extend_from_slice(&part);
                }
            }
            if buffered.len() as u64 > limit {
                discard(&mut body).await;
                return Err(too_long(limit));
            }
        }
        let remaining_bytes = limit - buffered.len() as u64;
        Ok(Self::Streamed { prefix: buffered.freeze(), length, remaining_bytes, rest: body })
    }

    /// Returns whether the body can be sent again.
    pub(crate) fn is_buffered(&self) -> bool {
        matches!(self, Self::Buffered(_))
    }

    /// Returns the body to send and its length, if known; `None` if it can't be sent again.
    pub(crate) fn send(&mut self) -> Option<(reqwest::Body, Option<u64>)> {
        match std::mem::replace(self, Self::Sent) {
            Self::Buffered(bytes) => {
                *self = Self::Buffered(bytes.clone());
                let length = (!bytes.is_empty()).then_some(bytes.len() as u64);
                Some((bytes.into(), length))
            }
            Self::Sent => None,
            Self::Streamed { prefix, length, remaining_bytes, rest } => {
                let parts = futures_util::stream::once(future::ok(prefix))
                    .chain(bounded(rest, remaining_bytes));
                Some((reqwest::Body::wrap_stream(parts), length))
            }
        }
    }
}

/// Returns the refusal of a request whose body did not arrive completely.
pub(crate) fn stalled(cause: &str) -> Refusal {
    let text = format!("the body did not arrive: {cause}; send it again");
    Refusal::permanent(StatusCode::REQUEST_TIMEOUT, Reason::BodyStalled, text)
}

/// Reads the rest of a refused body, within limits: closing a connection with unread bytes resets
/// it, and the caller may see the reset instead of the response.
async fn discard(body: &mut ReqBody) {
    let reading = async {
        let mut remaining_bytes = MAX_DISCARDED_BYTES;
        while remaining_bytes > 0 {
            let Ok(Some(part)) = next_part(body).await else { return };
            remaining_bytes = remaining_bytes.saturating_sub(part.len());
        }
    };
    // After the timeout the response is sent anyway; a slower caller may see the reset.
    let _ = tokio::time::timeout(DISCARD_TIMEOUT, reading).await;
}

fn too_long(limit: u64) -> Refusal {
    let text = format!("the body is above the service's limit of {limit} bytes: send less");
    Refusal::permanent(StatusCode::PAYLOAD_TOO_LARGE, Reason::BodyLimit, text)
}

/// Returns the parts of `body` as a stream that fails if they exceed `remaining_bytes` bytes.
fn bounded(body: ReqBody, remaining_bytes: u64) -> impl Stream<Item = io::Result<Bytes>> + Send {
    body.try_filter_map(|frame| future::ok(frame.into_data().ok())).scan(
        remaining_bytes,
        |remaining_bytes, part| {
            let part = part.and_then(|part| {
                let length = part.len() as u64;
                *remaining_bytes = remaining_bytes.checked_sub(length).ok_or_else(|| {
                    io::Error::other("the request body is longer than the service's limit")
                })?;
                Ok(part)
            });
            future::ready(Some(part))
        },
    )
}

/// Returns the next part of `body`, or `None` at its end.
async fn next_part(body: &mut ReqBody) -> Result<Option<Bytes>, Refusal> {
    loop {
        match tokio::time::timeout(STALL_TIMEOUT, body.next()).await {
            Err(_) => return Err(stalled(&format!("nothing came for {STALL_TIMEOUT:?}"))),
            Ok(None) => return Ok(None),
            Ok(Some(Err(cause))) => return Err(stalled(&cause.to_string())),
            Ok(Some(Ok(frame))) => {
                if let Ok(part) = frame.into_data() {
                    return Ok(Some(part));
                }
            }
        }
    }
}
