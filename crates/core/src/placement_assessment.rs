//! A caller's assessment of one worker as a place for one task.

use super::*;

/// Whether a worker with enough free resources may run a task, and at what cost.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
pub enum Assessment {
    /// Acceptable at this cost, which is added to the placer's own; the lowest sum wins.
    Cost(f64),
    /// Not acceptable at present.
    Refuse,
}
