//! A connection of a client, and what is held for it.

use super::*;

/// A connection of a client. Dropping it gives back what it holds.
#[derive(Debug)]
pub struct Connection {
    closer: CancellationToken,
    id: u64,
    intake: Intake,
}

impl Connection {
    pub(crate) fn new(intake: Intake, id: u64, closer: CancellationToken) -> Self {
        Self { closer, id, intake }
    }

    /// Waits until the connection has to be closed.
    pub async fn closed(&self) {
        self.closer.cancelled().await;
    }

    /// Returns a token that is cancelled when the connection has to be closed.
    pub fn closer(&self) -> CancellationToken {
        self.closer.clone()
    }

    /// Lets the connection hold more bytes, like [`Reservation::grow`].
    pub(crate) fn grow(&self, bytes: usize) -> Result<(), Error> {
        self.intake.grow(self.id, bytes)
    }

    /// Gives bytes back.
    pub(crate) fn shrink(&self, bytes: usize) {
        self.intake.shrink(self.id, bytes);
    }

    /// Returns whether the connection has to end after the answer that is being prepared.
    pub fn is_last(&self) -> bool {
        self.intake.is_last(self.id)
    }

    /// Records what the connection now waits for.
    pub fn enter(&self, phase: Phase) {
        self.intake.enter(self.id, phase);
    }

    /// Records that bytes of its client arrived.
    pub(crate) fn received(&self) {
        match self.intake.phase(self.id) {
            Some(Phase::Idle | Phase::Receiving) => self.enter(Phase::Receiving),
            Some(Phase::Sending | Phase::Working) | None => {}
        }
    }

    /// Records whether an answer waits for its client.
    pub(crate) fn sent(&self, blocked: bool) {
        match (self.intake.phase(self.id), blocked) {
            (Some(Phase::Idle), true) => self.enter(Phase::Sending),
            (Some(Phase::Sending), false) => self.enter(Phase::Idle),
            _ => {}
        }
    }
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.intake.close(self.id);
    }
}
