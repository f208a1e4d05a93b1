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
    /// Whether the ID was cancelled before a job was accepted under it, so that none is: always with
    /// [`State::Refused`].
    #[serde(default, skip_serializing_if = "std::ops::Not::not")]
    pub withdrawn: bool,
}

impl Ticket {
    /// Returns the ticket of a job that one cell has.
    pub fn new(queue: String, cell: u32, state: State) -> Self {
        Self {
            also: Vec::new(),
            additions: 0,
            cell,
            division: None,
            queue,
            state,
            withdrawn: false,
        }
    }

    /// Returns the ticket of a job that is refused.
    pub fn refused(queue: String) -> Self {
        Self::new(queue, 0, State::Refused)
    }

    /// Returns the ticket of an ID under which no job is accepted any more.
    pub fn withdrawn(queue: String) -> Self {
        Self { withdrawn: true, ..Self::refused(queue) }
    }

    /// Returns which cell has which tasks; `None` if the process that wrote the ticket did not know.
    pub fn known_division(&self) -> Option<&Division> {
        self.division.as_ref().filter(|division| division.additions == self.additions)
    }
}

pub(crate) fn is_zero(number: &u32) -> bool {
    *number == 0
}
