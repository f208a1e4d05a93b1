//! The order in which tasks get room: by the teams' share of their quotas, then by acceptance.

use super::*;

/// Tasks that wait, by team, with the accounts of the teams.
#[derive(Clone, Debug, Default)]
pub struct Queue {
    /// What each team uses of its quota.
    pub quotas: quota::Table,
    /// Tasks that wait for the end of a back-off.
    delayed: BTreeSet<(Instant, Waiting)>,
    /// Tasks that wait for room, by team; as many as `quotas` counts.
    ready: BTreeMap<Name, BTreeSet<Waiting>>,
}

/// A task that waits.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct Waiting {
    /// Position of its job in the order of acceptance.
    pub order: u64,
    /// The task.
    pub key: Key,
    /// Its team.
    pub team: Name,
}

impl Queue {
    /// Lets a task wait until `ready`.
    pub fn delay(&mut self, ready: Instant, waiting: Waiting) {
        self.delayed.insert((ready, waiting));
    }

    /// Returns the first task of the team that uses least of its quota, among teams not in
    /// `skipped`.
    pub fn first(&self, skipped: &BTreeSet<Name>) -> Option<&Waiting> {
        let mut teams = self.quotas.order().filter(|team| !skipped.contains(*team));
        teams.find_map(|team| self.ready.get(team)?.first())
    }

    /// Moves the tasks whose back-off is over.
    pub fn mature(&mut self, now: Instant) {
        while self.delayed.first().is_some_and(|(ready, _)| *ready <= now) {
            let Some((_, waiting)) = self.delayed.pop_first() else { return };
            self.push(waiting);
        }
    }

    /// Lets a task wait for room.
    pub fn push(&mut self, waiting: Waiting) {
        let team = waiting.team.clone();
        if self.ready.entry(team.clone()).or_default().insert(waiting) {
            self.quotas.enqueue(&team, 1);
        }
    }

    /// Takes a task that waits for room out.
    pub fn remove(&mut self, waiting: &Waiting) {
        if self.ready.get_mut(&waiting.team).is_some_and(|ready| ready.remove(waiting)) {
            self.quotas.dequeue(&waiting.team, 1);
        }
    }
}
