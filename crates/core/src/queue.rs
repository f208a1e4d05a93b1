//! The order in which tasks get room: by the teams' share of their quotas, then by acceptance within
//! each batch class, so that a class without room holds no other up.

use super::*;

/// Tasks that wait, by team, with the accounts of the teams.
#[derive(Clone, Debug, Default)]
pub struct Queue {
    /// What each team uses of its quota.
    pub quotas: quota::Table,
    /// Tasks that wait for the end of a back-off.
    delayed: BTreeSet<(Instant, Waiting)>,
    /// Tasks that wait for room, by team and batch class, as many as `quotas` counts; no lane is
    /// empty.
    lanes: BTreeMap<Name, BTreeMap<Name, BTreeSet<Waiting>>>,
}

/// A task that waits.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct Waiting {
    /// Position of its job in the order of acceptance.
    pub order: u64,
    /// Its batch class.
    pub class: Name,
    /// The task.
    pub key: Key,
    /// Its team.
    pub team: Name,
}

impl Waiting {
    /// Returns a task of `job` as one that waits.
    pub fn new(key: Key, job: &ledger::Job) -> Self {
        let (class, team) = (job.spec.class.clone(), job.spec.team.clone());
        Self { order: job.order, class, key, team }
    }
}

/// What waits longer in one pass: whole teams, and batch classes of teams.
#[derive(Clone, Debug, Default)]
pub struct Skipped {
    classes: BTreeMap<Name, BTreeSet<Name>>,
    teams: BTreeSet<Name>,
}

impl Skipped {
    /// Skips the tasks of this one's team and batch class.
    pub fn insert_class(&mut self, waiting: &Waiting) {
        self.classes.entry(waiting.team.clone()).or_default().insert(waiting.class.clone());
    }

    /// Skips the tasks of this one's team.
    pub fn insert_team(&mut self, waiting: &Waiting) {
        self.teams.insert(waiting.team.clone());
    }

    fn contains(&self, team: &Name, class: &Name) -> bool {
        self.classes.get(team).is_some_and(|classes| classes.contains(class))
    }
}

impl Queue {
    /// Lets a task wait until `ready`.
    pub fn delay(&mut self, ready: Instant, waiting: Waiting) {
        self.delayed.insert((ready, waiting));
    }

    /// Returns the first task of the team that has the least of its quota in use, but for those
    /// skipped.
    pub fn first(&self, skipped: &Skipped) -> Option<&Waiting> {
        self.quotas.order().find_map(|team| self.head(team, skipped))
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
        let lanes = self.lanes.entry(team.clone()).or_default();
        if lanes.entry(waiting.class.clone()).or_default().insert(waiting) {
            self.quotas.enqueue(&team, 1);
        }
    }

    /// Takes a task that waits for room out.
    pub fn remove(&mut self, waiting: &Waiting) {
        let Some(lanes) = self.lanes.get_mut(&waiting.team) else { return };
        let Some(lane) = lanes.get_mut(&waiting.class) else { return };
        if lane.remove(waiting) {
            self.quotas.dequeue(&waiting.team, 1);
        }
        if lane.is_empty() {
            lanes.remove(&waiting.class);
        }
    }

    fn head(&self, team: &Name, skipped: &Skipped) -> Option<&Waiting> {
        if skipped.teams.contains(team) {
            return None;
        }
        let lanes = self.lanes.get(team)?.iter();
        lanes
            .filter(|(class, _)| !skipped.contains(team, class))
            .filter_map(|(_, lane)| lane.first())
            .min()
    }
}
