//! The body of an urgent request: held whole when short, else streamed once.

use super::*;
use refusal::{Reason, Refusal};

/// A body up to this length is held, so that it can be sent again.
pub(crate) const HELD_BYTES: usize = 64 << 10;
/// The most that is read of a refused body.
const DISCARDED_BYTES: usize = 256 << 10;
/// The longest time that a refused body is read for.
const DISCARD_LIMIT: Duration = Duration::from_millis(500);
/// The longest pause between two parts of a body.
pub(crate) const STALL_LIMIT: Duration = Duration::from_secs(10);

/// The body of an urgent request.
pub(crate) enum Body {
    /// Held whole; can be sent any number of times.
    Held(Bytes),
    /// Sent already, in parts that are gone.
    Sent,
    /// Held up to a point; can be sent once.
    Streamed {
        /// The part held.
        head: Bytes,
        /// The length that the caller declared.
        length: Option<u64>,
        /// Bytes that may still follow `head`.
        left: u64,
        /// What follows `head`.
        rest: ReqBody,
    },
}

impl Body {
    /// Reads the first `hold` bytes of `body`, of which the service allows `limit`.
    pub(crate) async fn read(
        mut body: ReqBody,
        length: Option<u64>,
        limit: u64,
        hold: usize,
    ) -> Result<Self, Refusal> {
        if length.is_some_and(|length| length > limit) {
            return Err(above(limit));
        }
        let mut held = BytesMut::new();
        while held.len() <= hold {
            match next(&mut body).await? {
                None => return Ok(Self::Held(held.freeze())),
                Some(part) => held.extend_from_slice(&part),
            }
            if held.len() as u64 > limit {
                discard(&mut body).await;
                return Err(above(limit));
            }
        }
        let left = limit - held.len() as u64;
        Ok(Self::Streamed { head: held.freeze(), length, left, rest: body })
    }

    /// Returns whether it can be sent again.
    pub(crate) fn is_held(&self) -> bool {
        matches!(self, Self::Held(_))
    }

    /// Returns the body to send and its length, if known; `None` when it was sent already.
    pub(crate) fn send(&mut self) -> Option<(reqwest::Body, Option<u64>)> {
        match std::mem::replace(self, Self::Sent) {
            Self::Held(bytes) => {
                *self = Self::Held(bytes.clone());
                let length = (!bytes.is_empty()).then_some(bytes.len() as u64);
                Some((bytes.into(), length))
            }
            Self::Sent => None,
            Self::Streamed { head, length, left, rest } => {
                let parts = futures_util::stream::once(future::ok(head)).chain(bounded(rest, left));
                Some((reqwest::Body::wrap_stream(parts), length))
            }
        }
    }
}

/// Tells a caller that its body did not arrive whole.
pub(crate) fn stalled(cause: &str) -> Refusal {
    let text = format!("the body did not arrive: {cause}; send it again");
    Refusal::never(StatusCode::REQUEST_TIMEOUT, Reason::BodyStalled, text)
}

/// Reads what follows of a body that is refused: closing a connection with unread bytes resets it,
/// and the reset can overtake the answer.
async fn discard(body: &mut ReqBody) {
    let reading = async {
        let mut left = DISCARDED_BYTES;
        while left > 0 {
            let Ok(Some(part)) = next(body).await else { return };
            left = left.saturating_sub(part.len());
        }
    };
    // A caller that is slower gets its answer all the same, or the reset.
    let _ = tokio::time::timeout(DISCARD_LIMIT, reading).await;
}

fn above(limit: u64) -> Refusal {
    let text = format!("the body is above the service's limit of {limit} bytes: send less");
    Refusal::never(StatusCode::PAYLOAD_TOO_LARGE, Reason::BodyLimit, text)
}

/// Returns the parts of `body`; fails after `left` bytes.
fn bounded(body: ReqBody, left: u64) -> impl Stream<Item = io::Result<Bytes>> + Send {
    body.try_filter_map(|frame| future::ok(frame.into_data().ok())).scan(left, |left, part| {
        let part = part.and_then(|part| {
            let length = part.len() as u64;
            *left = left.checked_sub(length).ok_or_else(|| io::Error::other("body too long"))?;
            Ok(part)
        });
        future::ready(Some(part))
    })
}

async fn next(body: &mut ReqBody) -> Result<Option<Bytes>, Refusal> {
    loop {
        match tokio::time::timeout(STALL_LIMIT, body.next()).await {
            Err(_) => return Err(stalled(&format!("nothing came for {STALL_LIMIT:?}"))),
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
