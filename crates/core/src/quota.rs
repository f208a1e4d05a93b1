//! Fair sharing of batch capacity: the order of teams, and what each may still use of its quota.

use super::*;

/// Fixed-point scale of quota shares, which are ordered without floats.
const SHARE_SCALE: u64 = 1_000_000;

/// Why a task can't be charged to its team now.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Refusal {
    /// The team's running tasks leave too little of its quota; the task has to wait for them.
    Full {
        /// Resources left of the quota.
        left: Resources,
        /// The team.
        team: Name,
    },
    /// The task alone is larger than the team's quota.
    NeverFits {
        /// Resources that the team may use at once.
        quota: Resources,
        /// The team.
        team: Name,
    },
    /// The team is not in the configuration.
    Unknown {
        /// The team.
        team: Name,
    },
}

/// The quotas and use of all teams, ordered by dominant share: the largest share of the quota in
/// use in any dimension.
#[derive(Clone, Debug, Default)]
pub struct Table {
    /// Teams with waiting tasks, lowest dominant share first.
    order: BTreeSet<(u64, Name)>,
    teams: BTreeMap<Name, Team>,
}

#[derive(Clone, Debug, Default)]
struct Team {
    quota: Resources,
    used: Resources,
    /// Number of waiting tasks.
    waiting: u64,
}

impl Table {
    /// Replaces the quotas. A removed team keeps its use, with a quota of zero.
    pub fn apply(&mut self, teams: &[config::Team]) {
        self.teams.values_mut().for_each(|team| team.quota = Resources::default());
        for team in teams {
            self.teams.entry(team.name.clone()).or_default().quota = team.quota;
        }
        self.order = self
            .teams
            .iter()
            .filter(|(_, team)| team.waiting > 0)
            .map(|(name, team)| (team.dominant_share(), name.clone()))
            .collect();
    }

    /// Charges a task that starts to its team.
    ///
    /// # Errors
    ///
    /// `Full` until other tasks of the team end, `NeverFits` and `Unknown` until the configuration
    /// changes.
    pub fn charge(&mut self, team: &Name, amount: &Resources) -> Result<(), Refusal> {
        let account =
            self.teams.get(team).ok_or_else(|| Refusal::Unknown { team: team.clone() })?;
        if !amount.fits(&account.quota) {
            return Err(Refusal::NeverFits { quota: account.quota, team: team.clone() });
        }
        let left = account.quota.saturating_sub(&account.used);
        if !amount.fits(&left) {
            return Err(Refusal::Full { left, team: team.clone() });
        }
        self.update(team, |team| team.used = team.used + *amount);
        Ok(())
    }

    /// Charges a task that already runs, as after a takeover, even above the quota.
    pub fn book(&mut self, team: &Name, amount: &Resources) {
        self.update(team, |team| team.used = team.used + *amount);
    }

    /// Returns resources charged by `charge` or `book`.
    pub fn refund(&mut self, team: &Name, amount: &Resources) {
        self.update(team, |team| team.used = team.used.saturating_sub(amount));
    }

    /// Adds waiting tasks to a team.
    pub fn enqueue(&mut self, team: &Name, tasks: u64) {
        self.update(team, |team| team.waiting += tasks);
    }

    /// Removes waiting tasks from a team: started, cancelled or over.
    pub fn dequeue(&mut self, team: &Name, tasks: u64) {
        self.update(team, |team| team.waiting = team.waiting.saturating_sub(tasks));
    }

    /// Returns teams with waiting tasks, lowest dominant share first.
    pub fn order(&self) -> impl Iterator<Item = &Name> {
        self.order.iter().map(|(_, team)| team)
    }

    /// Returns the resources that the running tasks of a team use.
    pub fn used(&self, team: &Name) -> Resources {
        self.teams.get(team).map(|team| team.used).unwrap_or_default()
    }

    /// Updates a team, and its position in the order.
    fn update(&mut self, name: &Name, update: impl FnOnce(&mut Team)) {
        let team = self.teams.entry(name.clone()).or_default();
        self.order.remove(&(team.dominant_share(), name.clone()));
        update(team);
        if team.waiting > 0 {
            self.order.insert((team.dominant_share(), name.clone()));
        }
    }
}

impl Team {
    /// Returns the largest share of the quota in use, in millionths.
    fn dominant_share(&self) -> u64 {
        let share = |used: u64, quota: u64| match (used, quota) {
            (0, _) => 0,
            (_, 0) => u64::MAX,
            _ => used.saturating_mul(SHARE_SCALE) / quota,
        };
        let (used, quota) = (&self.used, &self.quota);
        share(used.processors_milli, quota.processors_milli)
            .max(share(used.memory_mib, quota.memory_mib))
            .max(share(used.accelerators.into(), quota.accelerators.into()))
    }
}

impl Display for Refusal {
    fn fmt(&self, f: &mut Formatter) -> fmt::Result {
        match self {
            Self::Full { left, team } => {
                write!(f, "team `{team}` has only `{left}` of its quota left: its tasks wait")
            }
            Self::NeverFits { quota, team } => write!(
                f,
                "the task is larger than the quota `{quota}` of team `{team}`: declare smaller \
                 tasks, or raise the quota"
            ),
            Self::Unknown { team } => {
                write!(f, "team `{team}` is not declared: add it to the configuration's `teams`")
            }
        }
    }
}

impl std::error::Error for Refusal {}
