//! A tree over the room of workers that finds one that fits in logarithmic time.

use super::*;

/// The most nodes that one search visits.
pub(super) const VISITS_MAX: u32 = 512;

/// A binary tree whose leaves hold the room of workers, by position, and whose inner nodes hold the
/// largest amount below in each dimension.
#[derive(Clone, Debug, Default)]
pub(super) struct Tree {
    /// A power of two, or 0 when empty.
    leaves: usize,
    /// Node 1 is the root; the children of node n are 2n and 2n + 1.
    nodes: Vec<Resources>,
}

/// Where a search looks, and what it has cost.
struct Search<'a> {
    from: usize,
    needs: &'a Resources,
    visits: u32,
}

impl Tree {
    /// Builds a tree for `rooms`.
    pub(super) fn new(rooms: &[Resources]) -> Self {
        if rooms.is_empty() {
            return Self::default();
        }
        let leaves = rooms.len().next_power_of_two();
        let mut nodes = vec![Resources::default(); 2 * leaves];
        nodes[leaves..leaves + rooms.len()].copy_from_slice(rooms);
        let mut tree = Self { leaves, nodes };
        (1..leaves).rev().for_each(|node| tree.refresh(node));
        tree
    }

    /// Finds the first position at or after `from`, wrapping round, whose room holds `needs`.
    /// Returns it with the number of nodes visited.
    pub(super) fn find(&self, needs: &Resources, from: usize) -> (Option<usize>, u32) {
        if self.leaves == 0 {
            return (None, 0);
        }
        let mut search = Search { from, needs, visits: 0 };
        let found = self.descend(&mut search, 1, 0, self.leaves);
        if found.is_some() || from == 0 {
            return (found, search.visits);
        }
        search.from = 0;
        let found = self.descend(&mut search, 1, 0, self.leaves);
        (found, search.visits)
    }

    /// Returns the largest amount in each dimension.
    pub(super) fn largest(&self) -> Resources {
        self.nodes.get(1).copied().unwrap_or_default()
    }

    /// Sets the room at `position`.
    pub(super) fn set(&mut self, position: usize, room: Resources) {
        let mut node = self.leaves + position;
        self.nodes[node] = room;
        while node > 1 {
            node /= 2;
            self.refresh(node);
        }
    }

    fn descend(&self, search: &mut Search, node: usize, low: usize, width: usize) -> Option<usize> {
        let beyond = low + width <= search.from;
        if beyond || search.visits >= VISITS_MAX {
            return None;
        }
        search.visits += 1;
        if !search.needs.fits(&self.nodes[node]) {
            return None;
        }
        if width == 1 {
            return Some(low);
        }
        let half = width / 2;
        self.descend(search, 2 * node, low, half)
            .or_else(|| self.descend(search, 2 * node + 1, low + half, half))
    }

    fn refresh(&mut self, node: usize) {
        let (left, right) = (self.nodes[2 * node], self.nodes[2 * node + 1]);
        self.nodes[node] = Resources {
            accelerators: left.accelerators.max(right.accelerators),
            memory_mib: left.memory_mib.max(right.memory_mib),
            processors_milli: left.processors_milli.max(right.processors_milli),
        };
    }
}
