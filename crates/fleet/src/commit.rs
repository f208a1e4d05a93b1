//! An atomic change of a cell's records in the store.

use {super::*, pressure::Pressure};

/// A transaction that applies only if the cell's head is still at `head_revision` and the tickets
/// in `expected` are unchanged.
#[derive(Clone, Debug, PartialEq)]
pub struct Commit {
    /// Jobs and the revisions that their tickets must still have.
    pub expected: Vec<(job::Id, u64)>,
    /// Jobs to end in other cells that run tasks of them: job and cell.
    pub cancelled: Vec<(job::Id, u32)>,
    /// The new head.
    pub head: Head,
    /// The revision that the head must still have.
    pub head_revision: u64,
    /// The measured contention between images, when it is due to be written.
    pub pressure: Option<Pressure>,
    /// Job records to write: job, the cell to write it under, and record.
    pub records: Vec<(job::Id, u32, Arc<job::Record>)>,
    /// Progress to write.
    pub progress: Vec<(job::Id, Progress)>,
    /// Jobs whose record, progress and cancellation mark are deleted.
    pub removed: Vec<job::Id>,
    /// Tickets to write.
    pub tickets: Vec<(job::Id, Ticket)>,
}

impl Commit {
    /// Returns the number of transaction entries that this needs. The head and each ticket in
    /// `expected` count once as a condition and once as a write.
    pub fn entries(&self) -> usize {
        2 + usize::from(self.pressure.is_some())
            + self.cancelled.len()
            + self.expected.len()
            + self.records.len()
            + self.progress.len()
            + self.tickets.len()
            + REMOVED_ENTRIES * self.removed.len()
    }
}

/// Keys deleted for a removed job: its record, its progress and its cancellation mark.
pub const REMOVED_ENTRIES: usize = 3;
