//! Tasks that wait, in lanes by team and class so that no class holds another up.

use super::*;

/// Tasks that wait, in lanes by team and class.
#[derive(Clone, Debug, Default)]
pub(crate) struct Queue {
    lanes: BTreeMap<(Name, usize), VecDeque<usize>>,
}

impl Queue {
    /// Returns the heads of a team's lanes, oldest unit first.
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
    pub(crate) fn push(&mut self, at: usize, unit: &Unit) {
        self.lane(unit).push_back(at);
    }

    /// Adds a unit at the head of its lane.
    pub(crate) fn push_front(&mut self, at: usize, unit: &Unit) {
        self.lane(unit).push_front(at);
    }

    fn lane(&mut self, unit: &Unit) -> &mut VecDeque<usize> {
        self.lanes.entry((unit.demand.team.clone(), unit.class)).or_default()
    }
}
