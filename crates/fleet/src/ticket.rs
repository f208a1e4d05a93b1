//! The short record of a job under its ID, which decides whether the ID is taken.

use super::*;

/// What the store holds under a job's ID.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Ticket {
    /// Other cells that run tasks of the job which found no room in its own.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub also: Vec<u32>,
    /// The cell that runs the job.
    pub cell: u32,
    /// The name of its queue.
    pub queue: String,
    /// Its state when the record was written.
    pub state: State,
}
