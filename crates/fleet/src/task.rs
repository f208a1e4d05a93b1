//! Tasks, by name and by what became of them.

use super::*;

/// The name of a task.
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

/// Why a text names no task.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Error {
    text: String,
}

/// Where a task stands.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub enum Standing {
    /// Ordered at a worker; the run is in that worker's table until it is proven over.
    Active {
        /// The worker's id.
        worker: Arc<str>,
        /// The run's number.
        run: u32,
    },
    /// Ended as done.
    Done,
    /// Another cell runs it.
    Elsewhere,
    /// Not running anywhere.
    #[default]
    Waiting,
}

/// A task of a job.
#[derive(Clone, Debug, Default)]
pub struct Task {
    /// The newest saved progress; empty when there is none.
    pub checkpoint: String,
    /// Runs that ended as failed.
    pub failed: Vec<u32>,
    /// The worker of the last run that failed.
    pub failed_at: Option<Arc<str>>,
    /// The highest run number used.
    pub last_run: u32,
    /// Where the task stands.
    pub standing: Standing,
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
