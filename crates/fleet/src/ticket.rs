//! The ticket of a job: a short entry under the job's ID that shows whether the ID is in use.

use super::*;

/// The entry under a job's ID in the store.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Ticket {
    /// Other cells, which run tasks of the job that did not fit in `cell`.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub also: Vec<u32>,
    /// How often tasks were added to those of another cell. A cell whose own record tells a lower number
    /// has not seen yet which tasks were added to its own.
    #[serde(default, skip_serializing_if = "is_zero")]
    pub additions: u32,
    /// The cell that runs the job.
    pub cell: u32,
    /// Which cell has which tasks, if the job was split among cells; see [`Ticket::known_division`].
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub division: Option<Division>,
    /// The name of its queue.
    pub queue: String,
    /// The state of the job when the ticket was written.
    pub state: State,
}

impl Ticket {
    /// Returns which cell has which tasks; `None` if the process that wrote the ticket did not know.
    pub fn known_division(&self) -> Option<&Division> {
        self.division.as_ref().filter(|division| division.additions == self.additions)
    }
}

pub(crate) fn is_zero(number: &u32) -> bool {
    *number == 0
}
