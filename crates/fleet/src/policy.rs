//! Which mechanisms of a cell are on. Switching one off shows what it is worth for a load.

use super::*;

/// The mechanisms of a cell, all on by default.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Policy {
    /// Jobs that would be late are rejected.
    pub admission: bool,
    /// Serving tasks that suffer from the same filling images share workers.
    pub affinity: bool,
    /// Large tasks that fit nowhere reserve room, and small ones fill the time before.
    pub backfill: bool,
    /// The share that lasting jobs may hold follows what short work needs.
    pub headroom: bool,
    /// What clients make a process hold has a bound.
    pub intake: bool,
    /// Steps that no worker of the cell can hold are set aside.
    pub inventory: bool,
    /// Jobs that can still be in time go before those that can't.
    pub lateness: bool,
    /// Jobs for which owners would have no memory are rejected.
    pub memory: bool,
    /// Jobs that have not begun move to cells that serve them sooner.
    pub moves: bool,
    /// The contention between images is learned by pairs.
    pub pressure: bool,
    /// While the store is silent, owners extend leases only as long as they hear most workers, so that new
    /// owners that hear most of them wait less.
    pub quorum: bool,
    /// Filling tasks at a very low pace move to other workers.
    pub relocation: bool,
    /// Lasting tasks without room move to other cells.
    pub splits: bool,
    /// Tasks that may crash workers are kept apart.
    pub suspicion: bool,
    /// Filling tasks that have waited for long in a cell with spare capacity start at a low pace.
    pub waits: bool,
    /// No lasting task starts for the first time before those of older jobs.
    pub turns: bool,
    /// The loads of serving jobs are forecast as waves.
    pub waves: bool,
}

/// The error of naming a mechanism that does not exist.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Error {
    name: String,
}

impl Default for Policy {
    fn default() -> Self {
        Self {
            admission: true,
            affinity: true,
            backfill: true,
            headroom: true,
            intake: true,
            inventory: true,
            lateness: true,
            memory: true,
            moves: true,
            pressure: true,
            quorum: true,
            relocation: true,
            splits: true,
            suspicion: true,
            turns: true,
            waits: true,
            waves: true,
        }
    }
}

impl Policy {
    /// Returns the policy with the mechanisms of these names switched off.
    pub fn without<'a>(names: impl IntoIterator<Item = &'a str>) -> Result<Self, Error> {
        let mut policy = Self::default();
        for name in names {
            *policy.mechanism(name).ok_or_else(|| Error { name: name.into() })? = false;
        }
        Ok(policy)
    }

    fn mechanism(&mut self, name: &str) -> Option<&mut bool> {
        Some(match name {
            "admission" => &mut self.admission,
            "affinity" => &mut self.affinity,
            "backfill" => &mut self.backfill,
            "headroom" => &mut self.headroom,
            "intake" => &mut self.intake,
            "inventory" => &mut self.inventory,
            "lateness" => &mut self.lateness,
            "memory" => &mut self.memory,
            "moves" => &mut self.moves,
            "pressure" => &mut self.pressure,
            "quorum" => &mut self.quorum,
            "relocation" => &mut self.relocation,
            "splits" => &mut self.splits,
            "suspicion" => &mut self.suspicion,
            "turns" => &mut self.turns,
            "waits" => &mut self.waits,
            "waves" => &mut self.waves,
            _ => return None,
        })
    }
}

impl FromStr for Policy {
    type Err = Error;

    /// Parses the names, separated by commas, of the mechanisms to switch off.
    fn from_str(names: &str) -> Result<Self, Error> {
        Self::without(names.split(',').map(str::trim).filter(|name| !name.is_empty()))
    }
}

impl Display for Error {
    fn fmt(&self, f: &mut Formatter) -> fmt::Result {
        write!(f, "no mechanism is called `{}`", self.name)
    }
}
