//! Tasks, the units of batch work that workers run under leases.

use super::*;

/// Identifies a task by its job and its position in the job.
#[derive(Clone, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(try_from = "String", into = "String")]
pub struct Id {
    /// Position in the job, from 0.
    pub index: u32,
    /// The job.
    pub job: job::Id,
}

/// Number of a start of a task; each start increments it.
#[derive(
    Clone, Copy, Debug, Default, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize,
)]
#[serde(transparent)]
pub struct Attempt(pub u32);

impl TryFrom<String> for Id {
    type Error = job::Error;

    fn try_from(text: String) -> Result<Self, job::Error> {
        text.parse()
    }
}

impl FromStr for Id {
    type Err = job::Error;

    fn from_str(text: &str) -> Result<Self, job::Error> {
        let (job, index) = text.rsplit_once('/').unwrap_or((text, ""));
        let job = job.parse()?;
        let index = index.parse().unwrap_or(0);
        Ok(Self { index, job })
    }
}

impl From<Id> for String {
    fn from(id: Id) -> Self {
        id.to_string()
    }
}

impl Display for Id {
    fn fmt(&self, f: &mut Formatter) -> fmt::Result {
        write!(f, "{}/{}", self.job, self.index)
    }
}
