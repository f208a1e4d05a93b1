//! The order in which tasks get room: by the teams' share of their quotas, then by acceptance within
//! each batch class, so that a class without room holds no other up.

use super::*;

/// Tasks that wait, by team. Teams take turns by the largest share of their quota in use.
#[derive(Clone, Debug, Default)]
pub struct Queue {
    /// Tasks that wait for the end of a back-off.
    delayed: BTreeSet<(Instant, Waiting)>,
    teams: BTreeMap<Name, Team>,
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

#[derive(Clone, Debug, Default)]
struct Team {
    /// Tasks that wait for room, by batch class; no lane is empty.
    lanes: BTreeMap<Name, BTreeSet<Waiting>>,
    quota: Resources,
    used: Resources,
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
    /// Replaces the quotas.
    pub fn apply(&mut self, teams: &[config::Team]) {
        for team in self.teams.values_mut() {
            team.quota = Resources::default();
        }
        for team in teams {
            self.teams.entry(team.name.clone()).or_default().quota = team.quota;
        }
    }

    /// Lets a task wait until `ready`.
    pub fn delay(&mut self, ready: Instant, waiting: Waiting) {
        self.delayed.insert((ready, waiting));
    }

    /// Lets a task wait for room.
    pub fn push(&mut self, waiting: Waiting) {
        let team = self.teams.entry(waiting.team.clone()).or_default();
        team.lanes.entry(waiting.class.clone()).or_default().insert(waiting);
    }

    /// Returns the first task of the team that has the least of its quota, but for those skipped.
    pub fn first(&self, skipped: &Skipped) -> Option<&Waiting> {
        let teams = self.teams.iter().filter(|(name, _)| !skipped.teams.contains(*name));
        let heads = teams.filter_map(|(name, team)| {
            let lanes = team.lanes.iter().filter(|(class, _)| !skipped.contains(name, class));
            let head = lanes.filter_map(|(_, lane)| lane.first()).min()?;
            Some((team.share(), head))
        });
        heads.min_by(|a, b| a.0.total_cmp(&b.0).then_with(|| a.1.cmp(b.1))).map(|(_, head)| head)
    }

    /// Returns whether the team's quota has room for `resources`.
    pub fn has_quota(&self, team: &Name, resources: &Resources) -> bool {
        self.teams.get(team).is_some_and(|team| (team.used + *resources).fits(&team.quota))
    }

    /// Moves the tasks whose back-off is over.
    pub fn mature(&mut self, now: Instant) {
        while self.delayed.first().is_some_and(|(ready, _)| *ready <= now) {
            let Some((_, waiting)) = self.delayed.pop_first() else { return };
            self.push(waiting);
        }
    }

    /// Takes a task that waits for room out.
    pub fn remove(&mut self, waiting: &Waiting) {
        let Some(team) = self.teams.get_mut(&waiting.team) else { return };
        let Some(lane) = team.lanes.get_mut(&waiting.class) else { return };
        lane.remove(waiting);
        if lane.is_empty() {
            team.lanes.remove(&waiting.class);
        }
    }

    /// Counts resources as in use by the team.
    pub fn take(&mut self, team: &Name, resources: &Resources) {
        let team = self.teams.entry(team.clone()).or_default();
        team.used = team.used + *resources;
    }

    /// Counts resources as no longer in use by the team.
    pub fn give_back(&mut self, team: &Name, resources: &Resources) {
        let team = self.teams.entry(team.clone()).or_default();
        team.used = team.used.saturating_sub(resources);
    }
}

impl Team {
    /// Returns the largest share of the quota in use, over the dimensions.
    fn share(&self) -> f64 {
        let share = |used: u64, quota: u64| used as f64 / quota.max(1) as f64;
        share(self.used.processors_milli, self.quota.processors_milli)
            .max(share(self.used.memory_mib, self.quota.memory_mib))
            .max(share(self.used.accelerators.into(), self.quota.accelerators.into()))
    }
}
