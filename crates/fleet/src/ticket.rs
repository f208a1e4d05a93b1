//! The short record of a job under its ID, which decides whether the ID is taken.

use super::*;

/// What the store holds under a job's ID.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Ticket {
    /// The cell that runs the job.
    pub cell: u32,
    /// The name of its queue.
    pub queue: String,
    /// Its state when the record was written.
    pub state: State,
}
