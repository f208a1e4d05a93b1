//! Queue of waiting tasks, with a lane for each team and class so that no class blocks another.

use super::*;

/// Waiting tasks by team and class.
#[derive(Clone, Debug, Default)]
pub(crate) struct Queue {
    lanes: BTreeMap<(Name, usize), VecDeque<usize>>,
}

impl Queue {
    /// Returns the heads of a team's lanes, the unit submitted first in front.
    pub(crate) fn heads(&self, team: &Name) -> Vec<usize> {
        let range = (team.clone(), 0)..=(team.clone(), usize::MAX);
        let mut heads: Vec<usize> =
            self.lanes.range(range).filter_map(|(_, lane)| lane.front().copied()).collect();
        heads.sort_unstable();
        heads
    }

    /// Removes the head of a lane.
    pub(crate) fn pop(&mut self, team: &Name, class: usize) {
        if let Some(lane) = self.lanes.get_mut(&(team.clone(), class)) {
            lane.pop_front();
        }
    }

    /// Adds a unit at the end of its lane.
    pub(crate) fn push(&mut self, index: usize, unit: &Unit) {
        self.lane(unit).push_back(index);
    }

    /// Adds a unit at the head of its lane.
    pub(crate) fn push_front(&mut self, index: usize, unit: &Unit) {
        self.lane(unit).push_front(index);
    }

    fn lane(&mut self, unit: &Unit) -> &mut VecDeque<usize> {
        self.lanes.entry((unit.demand.team.clone(), unit.class)).or_default()
    }
}
