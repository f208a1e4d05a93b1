//! The entry's own way out, shared by its parts.

use super::*;
use oleanderstage_core::drain::{self, Action as Step, Event as Change, State};

/// The entry's own way out, shared by its parts.
#[derive(Debug)]
pub(crate) struct Drain {
    leave: CancellationToken,
    machine: Mutex<drain::Machine>,
}

impl Drain {
    /// Drains once `leave` is cancelled.
    pub(crate) fn new(leave: CancellationToken) -> Self {
        Self { leave, machine: Mutex::default() }
    }

    /// Waits until the entry is to take nothing new.
    pub(crate) async fn closing(&self) {
        self.leave.cancelled().await;
        self.take(Change::Told);
        tokio::time::sleep(drain::GRACE).await;
        self.take(Change::GraceOver);
    }

    /// Notes that nothing is in progress.
    pub(crate) fn idle(&self) {
        self.take(Change::Idle);
    }

    pub(crate) fn state(&self) -> State {
        lock(&self.machine).state()
    }

    /// Tells the entry to leave.
    pub(crate) fn tell(&self) {
        self.take(Change::Told);
        self.leave.cancel();
    }

    /// Waits until the entry is told to leave.
    pub(crate) async fn told(&self) {
        self.leave.cancelled().await;
    }

    fn take(&self, event: Change) {
        match lock(&self.machine).handle(event) {
            None => {}
            Some(Step::Announce) => log::info!("drain_announced"),
            Some(Step::Close) => log::info!("drain_closed"),
            Some(Step::Exit) => log::info!("drain_over"),
        }
    }
}
