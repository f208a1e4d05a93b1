//! A task to be placed, with its resource needs.

use super::*;

/// A task to be placed.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Demand {
    /// The batch class.
    pub class: Name,
    /// Resources that the task may use while it runs.
    pub resources: Resources,
    /// The task.
    pub task: task::Id,
    /// The team whose quota it is charged to.
    pub team: Name,
}
