//! Submissions of jobs and their validation.

use super::*;

/// Maximum number of tasks of a job over all occurrences.
pub const MAX_TASKS: u64 = 20_000;

/// The memory that a waiting task takes in the indices of tasks, in bytes.
const WAITING_BYTES: usize = 32;

/// A job as its caller submits it. [`Submission::check`] requires that every step has tasks and
/// depends only on earlier steps.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Submission {
    /// Interval between the due times of occurrences, in milliseconds.
    #[serde(default)]
    pub interval_ms: u64,
    /// The number of occurrences; 0 for a job that runs once, without a due time.
    #[serde(default)]
    pub occurrences: u32,
    /// Opaque specification, sent to the worker with each start.
    pub spec: String,
    /// When the first occurrence is due, in milliseconds since 1970.
    #[serde(default)]
    pub start_at_ms: u64,
    /// The steps, at least one.
    pub steps: Vec<Step>,
}

/// The reason why a submission is invalid.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Error {
    /// A step depends on itself, on a later step or on one that does not exist.
    After {
        /// The step's number.
        step: usize,
        /// The step that it depends on.
        after: u16,
    },
    /// A step has no tasks.
    Empty {
        /// The step's number.
        step: usize,
    },
    /// The job has no steps.
    NoSteps,
    /// The job has more than [`MAX_TASKS`] tasks.
    TooMany {
        /// The number of tasks.
        tasks: u64,
    },
}

/// Returns the critical path through steps, each with the time that it takes, in milliseconds.
pub(crate) fn critical_path_ms<'a>(steps: impl Iterator<Item = (&'a Step, u64)>) -> u64 {
    let mut ends: Vec<u64> = Vec::new();
    for (step, own_ms) in steps {
        let before = step.after.iter().filter_map(|&step| ends.get(usize::from(step)));
        ends.push(before.max().copied().unwrap_or(0).saturating_add(own_ms));
    }
    ends.into_iter().max().unwrap_or(0)
}

impl Submission {
    /// Checks the rules that the types do not enforce.
    pub fn check(&self) -> Result<(), Error> {
        if self.steps.is_empty() {
            return Err(Error::NoSteps);
        }
        for (number, step) in self.steps.iter().enumerate() {
            if step.count == 0 {
                return Err(Error::Empty { step: number });
            }
            if let Some(&after) = step.after.iter().find(|&&after| usize::from(after) >= number) {
                return Err(Error::After { step: number, after });
            }
        }
        let tasks = self.steps.iter().map(|step| u64::from(step.count)).sum::<u64>()
            * u64::from(self.occurrences.max(1));
        if tasks > MAX_TASKS {
            return Err(Error::TooMany { tasks });
        }
        Ok(())
    }

    /// Returns the memory that it takes, in bytes.
    pub fn footprint_bytes(&self) -> usize {
        let steps: usize = self.steps.iter().map(Step::footprint_bytes).sum();
        size_of::<Self>() + self.spec.capacity() + steps
    }

    /// Returns the memory that its job takes at the owner of its cell, in bytes: the submission, its steps once
    /// more, and the stages and tasks of each occurrence.
    pub fn job_footprint_bytes(&self) -> usize {
        let stage = |step: &Step| {
            let task = size_of::<task::Task>() + WAITING_BYTES;
            size_of::<job::Stage>() + usize::from(step.count) * task
        };
        let stages: usize = self.steps.iter().map(stage).sum();
        let occurrence = size_of::<job::Occurrence>() + stages;
        let occurrences = self.occurrences.max(1) as usize;
        size_of::<Job>() + 2 * self.footprint_bytes() + occurrences.saturating_mul(occurrence)
    }

    /// Returns whether occurrences have due times.
    pub fn is_timed(&self) -> bool {
        self.occurrences > 0
    }
}

impl Display for Error {
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
