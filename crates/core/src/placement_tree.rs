//! A max segment tree over the resources of workers, which usually finds a worker that fits in
//! logarithmic time. The maxima of a node may come from different workers, so a search can descend
//! in vain; it stops after `MAX_VISITS` nodes.

use super::*;

/// Maximum number of nodes that one search visits.
pub(super) const MAX_VISITS: u32 = 512;

/// A binary tree whose leaves hold the resources of workers, by position, and whose inner nodes
/// hold the largest amount among their descendants in each dimension.
#[derive(Clone, Debug, Default)]
pub(super) struct Tree {
    /// Number of leaves: a power of two, or 0 if the tree is empty.
    leaves: usize,
    /// Node 1 is the root; the children of node n are 2n and 2n + 1.
    nodes: Vec<Resources>,
}

/// A search for the first fitting position at or after `start`, with the nodes visited so far.
struct Search<'a> {
    start: usize,
    needs: &'a Resources,
    visits: u32,
}

impl Tree {
    /// Builds a tree whose leaves are `amounts`.
    pub(super) fn new(amounts: &[Resources]) -> Self {
        if amounts.is_empty() {
            return Self::default();
        }
        let leaves = amounts.len().next_power_of_two();
        let mut nodes = vec![Resources::default(); 2 * leaves];
        nodes[leaves..leaves + amounts.len()].copy_from_slice(amounts);
        let mut tree = Self { leaves, nodes };
        (1..leaves).rev().for_each(|node| tree.refresh(node));
        tree
    }

    /// Finds the first position at or after `start`, wrapping around, with at least `needs`, and
    /// returns it with the number of nodes visited. Finds none once it has visited `MAX_VISITS`.
    pub(super) fn find(&self, needs: &Resources, start: usize) -> (Option<usize>, u32) {
        if self.leaves == 0 {
            return (None, 0);
        }
        let mut search = Search { start, needs, visits: 0 };
        let found = self.descend(&mut search, 1, 0, self.leaves);
        if found.is_some() || start == 0 {
            return (found, search.visits);
        }
        search.start = 0;
        let found = self.descend(&mut search, 1, 0, self.leaves);
        (found, search.visits)
    }

    /// Returns the largest amount in each dimension.
    pub(super) fn largest(&self) -> Resources {
        self.nodes.get(1).copied().unwrap_or_default()
    }

    /// Sets the amount at `position`, and updates its ancestors.
    pub(super) fn set(&mut self, position: usize, amount: Resources) {
        let mut node = self.leaves + position;
        self.nodes[node] = amount;
        while node > 1 {
            node /= 2;
            self.refresh(node);
        }
    }

    fn descend(&self, search: &mut Search, node: usize, low: usize, width: usize) -> Option<usize> {
        let before_start = low + width <= search.start;
        if before_start || search.visits >= MAX_VISITS {
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
