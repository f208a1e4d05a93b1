//! Graceful shutdown of the entry.

use super::*;
use oleanderstage_core::drain::{self, Action as DrainAction, Event as DrainEvent, State};

/// The entry's graceful shutdown, shared by its tasks.
#[derive(Debug)]
pub(crate) struct Drain {
    leave: CancellationToken,
    machine: Mutex<drain::Machine>,
}

impl Drain {
    /// Returns a shutdown that starts when `leave` is cancelled.
    pub(crate) fn new(leave: CancellationToken) -> Self {
        Self { leave, machine: Mutex::default() }
    }

    /// Waits until the entry must stop accepting requests: `drain::GRACE` after the start.
    pub(crate) async fn wait_for_close(&self) {
        self.leave.cancelled().await;
        self.apply(DrainEvent::Told);
        tokio::time::sleep(drain::GRACE).await;
        self.apply(DrainEvent::GraceOver);
    }

    /// Records that no request is in progress.
    pub(crate) fn set_idle(&self) {
        self.apply(DrainEvent::Idle);
    }

    pub(crate) fn state(&self) -> State {
        lock(&self.machine).state()
    }

    /// Starts the shutdown.
    pub(crate) fn start(&self) {
        self.apply(DrainEvent::Told);
        self.leave.cancel();
    }

    /// Waits until the shutdown starts.
    pub(crate) async fn wait_for_start(&self) {
        self.leave.cancelled().await;
    }

    fn apply(&self, event: DrainEvent) {
        match lock(&self.machine).handle(event) {
            None => {}
            Some(DrainAction::Announce) => log::info!("drain_announced"),
            Some(DrainAction::Close) => log::info!("drain_closed"),
            Some(DrainAction::Exit) => log::info!("drain_over"),
        }
    }
}
