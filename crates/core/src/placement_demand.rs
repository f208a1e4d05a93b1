//! What is to be placed.

use super::*;

/// A task that needs room.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Demand {
    /// The batch class.
    pub class: Name,
    /// What the task may use while it runs.
    pub resources: Resources,
    /// The task.
    pub task: task::Id,
    /// The team that it counts against.
    pub team: Name,
}
