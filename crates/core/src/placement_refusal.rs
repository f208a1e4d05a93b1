//! Why a task was not placed.

use super::*;

/// Why a task was not placed.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Refusal {
    /// No worker could hold the task even if no other task ran.
    NeverFits {
        /// Resources that the task needs.
        needs: Resources,
        /// Largest offered amount of each resource, not necessarily all on the same worker.
        offered: Resources,
    },
    /// Some worker could hold the task, but no acceptable one has enough free resources now.
    NoRoom,
}

impl Display for Refusal {
    fn fmt(&self, f: &mut Formatter) -> fmt::Result {
        match self {
            Self::NeverFits { needs, offered } => write!(
                f,
                "a task of `{needs}` fits no worker, which offer at most `{offered}`: declare \
                 smaller tasks, or add larger workers"
            ),
            Self::NoRoom => f.write_str("no worker has room now: the task stays queued"),
        }
    }
}

impl std::error::Error for Refusal {}
