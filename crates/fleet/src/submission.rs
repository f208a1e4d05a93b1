//! A job as its caller submits it, checked.

use super::*;

/// The most tasks of one job over all occurrences.
pub const MAX_TASKS: u64 = 20_000;

/// A job as submitted. Every step has tasks, and waits only for earlier ones.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Submission {
    /// Milliseconds between due times of occurrences.
    #[serde(default)]
    pub interval_ms: u64,
    /// Occurrences; 0 for a job that is due at once, and once.
    #[serde(default)]
    pub occurrences: u32,
    /// Handed to the worker with each start.
    pub spec: String,
    /// When the first occurrence is due, in milliseconds since 1970.
    #[serde(default)]
    pub start_at_ms: u64,
    /// The steps, at least one.
    pub steps: Vec<Step>,
}

/// What is wrong with a submission.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Fault {
    /// A step waits for itself, a later one or one that does not exist.
    After {
        /// The step's number.
        step: usize,
        /// The step that it waits for.
        after: u16,
    },
    /// A step has no task.
    Empty {
        /// The step's number.
        step: usize,
    },
    /// A job has no step.
    NoSteps,
    /// More tasks than a job may have.
    TooMany {
        /// The tasks asked for.
        tasks: u64,
    },
}

impl Submission {
    /// Checks what types cannot hold.
    pub fn check(&self) -> Result<(), Fault> {
        if self.steps.is_empty() {
            return Err(Fault::NoSteps);
        }
        for (number, step) in self.steps.iter().enumerate() {
            if step.count == 0 {
                return Err(Fault::Empty { step: number });
            }
            if let Some(&after) = step.after.iter().find(|&&after| usize::from(after) >= number) {
                return Err(Fault::After { step: number, after });
            }
        }
        let tasks = self.steps.iter().map(|step| u64::from(step.count)).sum::<u64>()
            * u64::from(self.occurrences.max(1));
        if tasks > MAX_TASKS {
            return Err(Fault::TooMany { tasks });
        }
        Ok(())
    }

    /// Returns whether occurrences have due times.
    pub fn is_timed(&self) -> bool {
        self.occurrences > 0
    }
}

impl Display for Fault {
    fn fmt(&self, f: &mut Formatter) -> fmt::Result {
        match self {
            Self::After { step, after } => {
                write!(f, "step {step} waits for step {after}; name only earlier steps")
            }
            Self::Empty { step } => {
                write!(f, "step {step} has no tasks; give a count of 1 or more")
            }
            Self::NoSteps => write!(f, "the job has no steps; give at least one"),
            Self::TooMany { tasks } => {
                write!(f, "the job has {tasks} tasks; split it into jobs of at most {MAX_TASKS}")
            }
        }
    }
}
