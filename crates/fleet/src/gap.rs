//! What the workers of a cell can't hold of a job.

use super::*;

/// The number of a job's steps that no worker of a cell can hold; the least one is the best.
#[derive(Clone, Copy, Debug, Default, Eq, Ord, PartialEq, PartialOrd)]
pub struct Gap {
    /// Among the steps that may start now.
    pub ready: usize,
    /// Among all steps that have tasks left.
    pub all: usize,
}

impl Gap {
    /// Returns what an inventory lacks for a job; nothing if the inventory is not known.
    pub(crate) fn new(inventory: Option<&Inventory>, demand: &admission::Demand<'_>) -> Self {
        let Some(inventory) = inventory else { return Self::default() };
        let unheld = |step: &&admission::Remainder<'_>| !inventory.holds(demand.service, step.step);
        let unheld = demand.steps.iter().filter(unheld);
        unheld.fold(Self::default(), |gap, step| Self {
            ready: gap.ready + usize::from(step.ready),
            all: gap.all + 1,
        })
    }
}
