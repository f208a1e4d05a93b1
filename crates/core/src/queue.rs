//! The order in which tasks are placed: by the teams' dominant shares of their quotas, then by
//! acceptance. Batch classes queue separately, so that a class without room does not block others.

use super::*;

/// Waiting tasks, with the quotas of their teams.
#[derive(Clone, Debug, Default)]
pub struct Queue {
    /// Quotas and use of the teams.
    pub quotas: quota::Table,
    /// Tasks in back-off, each with its end.
    delayed: BTreeSet<(Instant, Entry)>,
    /// Tasks ready for placement, by team and batch class. `quotas` counts the same tasks; no lane
    /// is empty.
    lanes: BTreeMap<Name, BTreeMap<Name, BTreeSet<Entry>>>,
}

/// A waiting task, ordered by the acceptance of its job.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct Entry {
    /// Position of its job in the order of acceptance.
    pub order: u64,
    /// Its batch class.
    pub class: Name,
    /// The task.
    pub key: Key,
    /// Its team.
    pub team: Name,
}

impl Entry {
    /// Returns the entry of a task of `job`.
    pub fn new(key: Key, job: &ledger::Job) -> Self {
        let (class, team) = (job.spec.class.clone(), job.spec.team.clone());
        Self { order: job.order, class, key, team }
    }
}

/// Teams, and batch classes of teams, that are passed over for the rest of one placement pass.
#[derive(Clone, Debug, Default)]
pub struct Exclusions {
    classes: BTreeMap<Name, BTreeSet<Name>>,
    teams: BTreeSet<Name>,
}

impl Exclusions {
    /// Excludes the entry's batch class of its team.
    pub fn exclude_class(&mut self, entry: &Entry) {
        self.classes.entry(entry.team.clone()).or_default().insert(entry.class.clone());
    }

    /// Excludes the entry's team.
    pub fn exclude_team(&mut self, entry: &Entry) {
        self.teams.insert(entry.team.clone());
    }

    fn contains(&self, team: &Name, class: &Name) -> bool {
        self.classes.get(team).is_some_and(|classes| classes.contains(class))
    }
}

impl Queue {
    /// Adds a task in back-off until `ready`.
    pub fn delay(&mut self, ready: Instant, entry: Entry) {
        self.delayed.insert((ready, entry));
    }

    /// Returns the first task that is not excluded, of the team with the lowest dominant share that
    /// has one.
    pub fn first(&self, excluded: &Exclusions) -> Option<&Entry> {
        self.quotas.order().find_map(|team| self.first_of_team(team, excluded))
    }

    /// Makes the tasks whose back-off is over ready for placement.
    pub fn release_delayed(&mut self, now: Instant) {
        while self.delayed.first().is_some_and(|(ready, _)| *ready <= now) {
            let Some((_, entry)) = self.delayed.pop_first() else { return };
            self.push(entry);
        }
    }

    /// Adds a task that is ready for placement.
    pub fn push(&mut self, entry: Entry) {
        let team = entry.team.clone();
        let lanes = self.lanes.entry(team.clone()).or_default();
        if lanes.entry(entry.class.clone()).or_default().insert(entry) {
            self.quotas.enqueue(&team, 1);
        }
    }

    /// Removes a task that was ready for placement.
    pub fn remove(&mut self, entry: &Entry) {
        let Some(lanes) = self.lanes.get_mut(&entry.team) else { return };
        let Some(lane) = lanes.get_mut(&entry.class) else { return };
        if lane.remove(entry) {
            self.quotas.dequeue(&entry.team, 1);
        }
        if lane.is_empty() {
            lanes.remove(&entry.class);
        }
    }

    fn first_of_team(&self, team: &Name, excluded: &Exclusions) -> Option<&Entry> {
        if excluded.teams.contains(team) {
            return None;
        }
        let lanes = self.lanes.get(team)?.iter();
        lanes
            .filter(|(class, _)| !excluded.contains(team, class))
            .filter_map(|(_, lane)| lane.first())
            .min()
    }
}
