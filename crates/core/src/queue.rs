//! The order in which tasks get room: by the teams' share of their quotas, then by acceptance.

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
    /// The task.
    pub key: Key,
    /// Its team.
    pub team: Name,
}

#[derive(Clone, Debug, Default)]
struct Team {
    quota: Resources,
    ready: BTreeSet<Waiting>,
    used: Resources,
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
        self.teams.entry(waiting.team.clone()).or_default().ready.insert(waiting);
    }

    /// Returns the first task of the team that has the least of its quota, among teams not in
    /// `skipped`.
    pub fn first(&self, skipped: &BTreeSet<Name>) -> Option<&Waiting> {
        let waiting = self.teams.iter().filter(|(name, _)| !skipped.contains(*name));
        let heads = waiting.filter_map(|(_, team)| Some((team.share(), team.ready.first()?)));
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
        if let Some(team) = self.teams.get_mut(&waiting.team) {
            team.ready.remove(waiting);
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
