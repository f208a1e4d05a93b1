//! Batch jobs, as submitted by teams, and their status.

use super::*;

/// Maximum number of tasks of a job.
pub const MAX_TASKS: u32 = 10_000;
/// Longest payload, in bytes.
pub const MAX_PAYLOAD_BYTES: usize = 4 << 10;

/// Identifies a job as `ZONE.INDEX.SERIAL`; any entry can derive from it the cell that holds the
/// job.
#[derive(Clone, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(try_from = "String", into = "String")]
pub struct Id {
    /// The cell that accepted the job.
    pub cell: cell::Id,
    /// Unique within the cell; derived from the caller's idempotency key where one was given.
    pub serial: u128,
}

/// A job as submitted: tasks with the same resources and batch class.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Spec {
    /// The batch class; interference with services is estimated per class.
    pub class: Name,
    /// Opaque text passed to each task, at most 4 KiB.
    #[serde(default)]
    pub payload: String,
    /// Declared resource needs of one task.
    pub resources: Resources,
    /// Declared run time of one task, in milliseconds.
    pub run_ms: u64,
    /// Number of tasks, at least 1.
    pub tasks: u32,
    /// The team whose quota the tasks are charged to.
    pub team: Name,
}

/// The state of a job.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum State {
    /// Cancelled by its team; no task of it starts again.
    Cancelled,
    /// Ended without success, for the reason given.
    Failed {
        /// Why the job failed, and what to change.
        reason: String,
    },
    /// Every task finished.
    Finished,
    /// Accepted and not over.
    Open,
}

/// The status of a job, as returned to callers.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Status {
    /// Number of evictions; a task evicted twice counts twice.
    pub evictions: u64,
    /// Tasks that completed.
    pub finished: u32,
    /// The job.
    pub id: Id,
    /// Tasks that are neither running nor over.
    pub queued: u32,
    /// Tasks that run, or may still run.
    pub running: u32,
    /// The state of the job.
    pub state: State,
    /// Total number of tasks.
    pub tasks: u32,
}

/// An invalid job or task identifier.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Error {
    text: String,
}

impl Spec {
    /// Checks the job against a configuration.
    ///
    /// # Errors
    ///
    /// A message that names what to change, if the job can never run as submitted.
    pub fn check(&self, config: &Config) -> Result<(), String> {
        let team = config.teams.iter().find(|team| team.name == self.team);
        let team = team.ok_or_else(|| format!("team `{}` is not configured", self.team))?;
        if !config.classes.iter().any(|class| class.name == self.class) {
            return Err(format!("batch class `{}` is not configured", self.class));
        }
        if !(1..=MAX_TASKS).contains(&self.tasks) {
            return Err(format!("`tasks` is {}: give 1 to {MAX_TASKS}", self.tasks));
        }
        if self.payload.len() > MAX_PAYLOAD_BYTES {
            let bytes = self.payload.len();
            return Err(format!("`payload` has {bytes} bytes: give at most {MAX_PAYLOAD_BYTES}"));
        }
        if self.resources.processors_milli == 0 || self.resources.memory_mib == 0 {
            return Err(format!(
                "`resources` are `{}`: give processors and memory",
                self.resources
            ));
        }
        if !self.resources.fits(&team.quota) {
            let (needs, team) = (self.resources, &self.team);
            return Err(format!("a task of `{needs}` is above the quota of team `{team}`"));
        }
        Ok(())
    }
}

impl TryFrom<String> for Id {
    type Error = Error;

    fn try_from(text: String) -> Result<Self, Error> {
        text.parse()
    }
}

impl FromStr for Id {
    type Err = Error;

    fn from_str(text: &str) -> Result<Self, Error> {
        let error = || Error { text: text.into() };
        let (cell, serial) = text.rsplit_once('.').ok_or_else(error)?;
        let cell = cell.parse().map_err(|_| error())?;
        let serial = u128::from_str_radix(serial, 16).map_err(|_| error())?;
        Ok(Self { cell, serial })
    }
}

impl From<Id> for String {
    fn from(id: Id) -> Self {
        id.to_string()
    }
}

impl Display for Id {
    fn fmt(&self, f: &mut Formatter) -> fmt::Result {
        write!(f, "{}.{:032x}", self.cell, self.serial)
    }
}

impl Display for Error {
    fn fmt(&self, f: &mut Formatter) -> fmt::Result {
        write!(
            f,
            "`{}` is not a job: write `ZONE.INDEX.SERIAL` as `POST /jobs` answered",
            self.text
        )
    }
}

impl std::error::Error for Error {}
