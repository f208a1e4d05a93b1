//! Watches of the key-value service.

use super::*;

/// A watch ends after receiving nothing for this long, not even the message that nothing changed.
pub const IDLE_TIMEOUT: Duration = Duration::from_secs(30);

/// A change of a key.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Event {
    /// The key was deleted, or its lease ended.
    Delete {
        /// The key.
        key: String,
        /// Revision of the change.
        revision: i64,
    },
    /// The key was written.
    Put(value::Value),
}

/// A stream of changes of keys, in the order of their revisions.
pub struct Watch {
    buffer: BytesMut,
    chunks: Pin<Box<dyn Stream<Item = reqwest::Result<bytes::Bytes>> + Send>>,
    events: std::vec::IntoIter<gateway::WatchEvent>,
    last_received: Instant,
    peer: String,
}

impl Watch {
    pub(crate) fn new(peer: &str, response: reqwest::Response) -> Self {
        Self {
            buffer: BytesMut::new(),
            chunks: Box::pin(response.bytes_stream()),
            events: Vec::new().into_iter(),
            last_received: Instant::now(),
            peer: peer.into(),
        }
    }

    /// Waits for the next change. Returns `None` when the service has ended the watch or sent
    /// nothing for `IDLE_TIMEOUT`; the caller then starts a new watch from the revision after the
    /// last change. Cancel safe: no change is lost.
    pub async fn next(&mut self) -> Result<Option<Event>, Error> {
        loop {
            if let Some(event) = self.events.next() {
                return Ok(Some(event.into()));
            }
            if let Some(line) = self.next_line() {
                self.events = self.decode(&line)?.into_iter();
                continue;
            }
            let deadline = self.last_received + IDLE_TIMEOUT;
            let Ok(Some(chunk)) = tokio::time::timeout_at(deadline, self.chunks.next()).await
            else {
                return Ok(None);
            };
            let chunk = chunk.map_err(|e| Error::transport(error::Step::Watch, &self.peer, &e))?;
            self.buffer.extend_from_slice(&chunk);
            self.last_received = Instant::now();
        }
    }

    fn decode(&self, line: &[u8]) -> Result<Vec<gateway::WatchEvent>, Error> {
        let fail = |kind, cause: String| Error::new(error::Step::Watch, &self.peer, kind, cause);
        let message: gateway::Streamed<gateway::WatchAnswer> = serde_json::from_slice(line)
            .map_err(|cause| fail(error::Kind::Damaged, cause.to_string()))?;
        let answer = message.result;
        if answer.canceled {
            let cause = format!("compacted up to revision {}", answer.compact_revision.0);
            return Err(fail(error::Kind::Lapsed, cause));
        }
        Ok(answer.events)
    }

    /// Removes the next complete line from the buffer and returns it.
    fn next_line(&mut self) -> Option<BytesMut> {
        let end = self.buffer.iter().position(|&byte| byte == b'\n')?;
        Some(self.buffer.split_to(end + 1))
    }
}

impl Debug for Watch {
    fn fmt(&self, f: &mut Formatter) -> fmt::Result {
        f.debug_struct("Watch").field("peer", &self.peer).finish_non_exhaustive()
    }
}

impl From<gateway::WatchEvent> for Event {
    fn from(event: gateway::WatchEvent) -> Self {
        let value = value::Value::from(event.kv);
        match event.kind {
            gateway::EventKind::Delete => Self::Delete { key: value.key, revision: value.modified },
            gateway::EventKind::Put => Self::Put(value),
        }
    }
}
