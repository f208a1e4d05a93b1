//! The body of a request while it arrives.

use super::*;

/// The part of a body that has arrived, in segments, so that a long one is neither moved while it grows nor
/// takes memory ahead of what was sent. Dropping it gives the memory back.
#[derive(Debug)]
pub struct Body {
    held: Reservation,
    length: usize,
    segments: Vec<Vec<u8>>,
}

/// The length of a full segment, in bytes.
const SEGMENT_BYTES: usize = 8 << 10;

impl Body {
    /// Returns an empty body.
    pub fn new(connection: Arc<Connection>) -> Self {
        Self { held: Reservation::new(connection), length: 0, segments: Vec::new() }
    }

    /// Returns the number of bytes that have arrived.
    pub fn len(&self) -> usize {
        self.length
    }

    /// Returns whether nothing has arrived.
    pub fn is_empty(&self) -> bool {
        self.length == 0
    }

    /// Appends bytes.
    ///
    /// # Errors
    ///
    /// They can't be held.
    pub fn push(&mut self, mut bytes: &[u8]) -> Result<(), Error> {
        while !bytes.is_empty() {
            if self.segments.last().is_none_or(|last| last.len() == SEGMENT_BYTES) {
                self.held.grow(SEGMENT_BYTES)?;
                self.segments.push(Vec::new());
            }
            let Some(last) = self.segments.last_mut() else { return Err(Error) };
            let (now, later) = bytes.split_at(bytes.len().min(SEGMENT_BYTES - last.len()));
            let needed = last.len() + now.len();
            if needed > last.capacity() {
                let capacity = needed.max(2 * last.capacity()).min(SEGMENT_BYTES);
                last.reserve_exact(capacity - last.len());
            }
            last.extend_from_slice(now);
            self.length += now.len();
            bytes = later;
        }
        Ok(())
    }

    /// Returns all bytes in one piece.
    pub fn concat(&self) -> Vec<u8> {
        self.segments.concat()
    }
}
