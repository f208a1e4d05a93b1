//! Which cell has which tasks of a job that is split among cells.

use super::*;

/// The cells of the tasks of a job's first occurrence. Each task has exactly one.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Division {
    /// The number of additions of the ticket that it belongs to. It says nothing of one with another number.
    pub additions: u32,
    /// The first task of each range of tasks, as step and index, and the range's cell; in order.
    ranges: Vec<(u16, u16, u32)>,
}

impl Division {
    /// Returns the division by which each of `tasks`, given in order as step and index, has the cell that
    /// `cell_of` returns.
    pub fn new(
        additions: u32,
        tasks: &BTreeSet<(u16, u16)>,
        cell_of: impl Fn(&(u16, u16)) -> u32,
    ) -> Self {
        let mut ranges: Vec<(u16, u16, u32)> = Vec::new();
        for task in tasks {
            let cell = cell_of(task);
            if ranges.last().is_none_or(|&(_, _, last)| last != cell) {
                ranges.push((task.0, task.1, cell));
            }
        }
        Self { additions, ranges }
    }

    /// Returns which of `tasks` a cell has.
    pub fn tasks_of(&self, cell: u32, tasks: &BTreeSet<(u16, u16)>) -> BTreeSet<(u16, u16)> {
        tasks.iter().filter(|task| self.cell_of(task) == Some(cell)).copied().collect()
    }

    /// Returns the cell of a task, as step and index.
    pub fn cell_of(&self, task: &(u16, u16)) -> Option<u32> {
        let after = self.ranges.partition_point(|&(step, index, _)| (step, index) <= *task);
        let &(_, _, cell) = self.ranges.get(after.checked_sub(1)?)?;
        Some(cell)
    }
}
