//! A caller's view of one worker as a place for one task.

use super::*;

/// What a caller thinks of a worker that has room.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
pub enum Judgement {
    /// Acceptable, at this cost; the lowest sum of costs is taken.
    Cost(f64),
    /// Not acceptable now.
    Refuse,
}
