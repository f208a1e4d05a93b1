//! Tasks, their names and their status.

use super::*;

/// The name of a task, written as `JOB.OCCURRENCE.STEP.INDEX`.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(try_from = "String", into = "String")]
pub struct Name {
    /// Its job.
    pub job: job::Id,
    /// The occurrence, from 0.
    pub occurrence: u32,
    /// The step, from 0.
    pub step: u16,
    /// The task within the step, from 0.
    pub index: u16,
}

/// The error of parsing a text that is not the name of a task.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Error {
    text: String,
}

/// The status of a task.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub enum Status {
    /// A run is ordered at a worker; it stays in that worker's `runs` until it is known to be over.
    Active {
        /// The worker's ID.
        worker: Arc<str>,
        /// The run's number.
        run: u32,
    },
    /// Done.
    Done,
    /// Another cell runs it.
    Elsewhere,
    /// Waits to be started.
    #[default]
    Waiting,
}

/// A task of a job.
#[derive(Clone, Debug, Default)]
pub struct Task {
    /// The newest checkpoint; empty when there is none.
    pub checkpoint: String,
    /// The numbers of failed runs.
    pub failed_runs: Vec<u32>,
    /// The worker of the last run that failed.
    pub last_failed_worker: Option<Arc<str>>,
    /// The highest run number used.
    pub last_run: u32,
    /// Crashes of workers that the task may have caused.
    pub suspicion: Suspicion,
    /// Whether it may have run in another cell or under an earlier owner, by the records in the store.
    pub ran_before: bool,
    /// Where its newest run was ordered, if that has to be recorded.
    pub trace: Option<Trace>,
    /// Since when a lasting task that is suspect has been ready to start, in milliseconds.
    pub ready_since: Option<u64>,
    /// The status of the task.
    pub status: Status,
}

impl Task {
    /// Returns whether it may have run, here or elsewhere.
    pub fn has_run(&self) -> bool {
        self.ran_before || self.last_run > 0
    }
}

impl Name {
    /// Returns the names that tasks of a job may have.
    pub fn all_of(job: job::Id) -> RangeInclusive<Self> {
        let first = Self { job, occurrence: 0, step: 0, index: 0 };
        let last = Self { job, occurrence: u32::MAX, step: u16::MAX, index: u16::MAX };
        first..=last
    }
}

impl FromStr for Name {
    type Err = Error;

    fn from_str(text: &str) -> Result<Self, Error> {
        let error = || Error { text: text.into() };
        let mut parts = text.split('.');
        let mut next = || parts.next().ok_or_else(error);
        let name = Self {
            job: next()?.parse().map_err(|_| error())?,
            occurrence: next()?.parse().map_err(|_| error())?,
            step: next()?.parse().map_err(|_| error())?,
            index: next()?.parse().map_err(|_| error())?,
        };
        if parts.next().is_some() {
            return Err(error());
        }
        Ok(name)
    }
}

impl TryFrom<String> for Name {
    type Error = Error;

    fn try_from(text: String) -> Result<Self, Error> {
        text.parse()
    }
}

impl From<Name> for String {
    fn from(name: Name) -> Self {
        name.to_string()
    }
}

impl Display for Name {
    fn fmt(&self, f: &mut Formatter) -> fmt::Result {
        write!(f, "{}.{}.{}.{}", self.job, self.occurrence, self.step, self.index)
    }
}

impl Display for Error {
    fn fmt(&self, f: &mut Formatter) -> fmt::Result {
        write!(f, "`{}` is not the name of a task", self.text)
    }
}
