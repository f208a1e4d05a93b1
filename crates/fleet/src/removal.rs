//! The removal of a job from the records of a cell.

/// The removal of a job from the records of a cell.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Removal {
    /// The store's revision at which it was made.
    pub revision: u64,
    /// Whether another cell has the job since; else it is over.
    pub moved: bool,
}
