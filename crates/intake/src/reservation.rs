//! Bytes that are held for a client for some time.

use super::*;

/// Bytes that are held for a client. Dropping it gives them back.
#[derive(Debug)]
pub struct Reservation {
    bytes: usize,
    connection: Arc<Connection>,
}

impl Reservation {
    /// Returns an empty reservation of a connection.
    pub fn new(connection: Arc<Connection>) -> Self {
        Self { bytes: 0, connection }
    }

    /// Adds bytes, for which other connections may be closed.
    ///
    /// # Errors
    ///
    /// The bytes can't be held, or the connection has to be closed itself.
    pub fn grow(&mut self, bytes: usize) -> Result<(), Error> {
        self.connection.grow(bytes)?;
        self.bytes += bytes;
        Ok(())
    }
}

impl Drop for Reservation {
    fn drop(&mut self) {
        self.connection.shrink(self.bytes);
    }
}
