//! A change of a cell's records that is made whole or not at all.

use {super::*, pressure::Pressure};

/// A change of the store, under the condition that the cell's head is still at `head_revision`.
#[derive(Clone, Debug, PartialEq)]
pub struct Commit {
    /// Revisions that tickets must still have.
    pub expected: Vec<(job::Id, u64)>,
    /// The new head.
    pub head: Head,
    /// The revision that the head must still have.
    pub head_revision: u64,
    /// What is known of images that press each other, when it is to be written.
    pub pressure: Option<Pressure>,
    /// Records of jobs to write, each under its cell.
    pub records: Vec<(job::Id, u32, Arc<job::Record>)>,
    /// Progress to write.
    pub progress: Vec<(job::Id, Progress)>,
    /// Jobs whose record, progress and cancellation mark go.
    pub removed: Vec<job::Id>,
    /// Tickets to write.
    pub tickets: Vec<(job::Id, Ticket)>,
}

impl Commit {
    /// Returns how many entries of a transaction this takes.
    pub fn entries(&self) -> usize {
        2 + usize::from(self.pressure.is_some())
            + self.expected.len()
            + self.records.len()
            + self.progress.len()
            + self.tickets.len()
            + REMOVED_ENTRIES * self.removed.len()
    }
}

/// Keys that a removed job gives up: its record, its progress and its cancellation mark.
pub const REMOVED_ENTRIES: usize = 3;
