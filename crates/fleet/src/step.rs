//! A step of a job: tasks with the same requirements.

use super::*;

fn is_default<T: Default + PartialEq>(value: &T) -> bool {
    *value == T::default()
}

/// A step of a job. Its tasks have the same requirements and may start when the steps in `after`
/// are done.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(default)]
pub struct Step {
    /// Steps whose tasks must all be done first; each has a lower number than this step.
    #[serde(skip_serializing_if = "is_default")]
    pub after: Vec<u16>,
    /// Tasks write checkpoints and can resume from them.
    #[serde(skip_serializing_if = "is_default")]
    pub checkpoints: bool,
    /// The number of tasks, at least one.
    #[serde(skip_serializing_if = "is_default")]
    pub count: u16,
    /// Estimated duration of a task, in milliseconds; 0 when not given.
    #[serde(skip_serializing_if = "is_default")]
    pub estimate_ms: u64,
    /// Tasks reserve no processors and use those that other tasks leave unused ("filling" tasks).
    #[serde(skip_serializing_if = "is_default")]
    pub fills: bool,
    /// The tasks must all run at the same time.
    #[serde(skip_serializing_if = "is_default")]
    pub gang: bool,
    /// The image that a task runs.
    #[serde(skip_serializing_if = "is_default")]
    pub image: String,
    /// Tasks run until the job is cancelled.
    #[serde(skip_serializing_if = "is_default")]
    pub lasting: bool,
    /// A label that the worker must carry.
    #[serde(skip_serializing_if = "is_default")]
    pub label: Option<String>,
    /// How many tasks the scheduler may take down at the same time.
    #[serde(skip_serializing_if = "is_default")]
    pub may_miss: u16,
    /// Most tasks of the step on one worker; 0 for no limit.
    #[serde(skip_serializing_if = "is_default")]
    pub per_worker: u16,
    /// The rack that holds the data of the tasks.
    #[serde(skip_serializing_if = "is_default")]
    pub rack: Option<String>,
    /// Resources that a task needs; see [`Step::reserved`].
    #[serde(skip_serializing_if = "is_default")]
    pub resources: Resources,
    /// Tasks slow down when they are spread over racks.
    #[serde(skip_serializing_if = "is_default")]
    pub same_rack: bool,
    /// Copies of a task may run in parallel.
    #[serde(skip_serializing_if = "is_default")]
    pub speculative: bool,
    /// Target for the tail latency of a serving task, in milliseconds; 0 for other tasks.
    #[serde(skip_serializing_if = "is_default")]
    pub target_ms: u64,
}

impl Step {
    /// Returns whether its tasks answer requests under a latency target ("serving" tasks).
    pub fn serves(&self) -> bool {
        self.lasting && self.target_ms > 0
    }

    /// Returns the work of a number of tasks that take `task_ms` each, in core-milliseconds.
    pub fn work(&self, tasks: u64, task_ms: u64) -> u64 {
        let milli = self.resources.processors_milli;
        tasks.saturating_mul(task_ms).saturating_mul(milli) / 1_000
    }

    /// Returns the memory that it takes, in bytes.
    pub fn footprint_bytes(&self) -> usize {
        let texts = [Some(&self.image), self.label.as_ref(), self.rack.as_ref()];
        let texts: usize = texts.into_iter().flatten().map(|text| text.capacity()).sum();
        size_of::<Self>() + self.after.capacity() * size_of::<u16>() + texts
    }

    /// Returns the cores that a task asks for.
    pub fn cores(&self) -> f64 {
        self.resources.processors_milli as f64 / 1_000.0
    }

    /// Returns the resources that a task reserves on its worker; a filling task reserves no
    /// processors.
    pub fn reserved(&self) -> Resources {
        let processors_milli = if self.fills { 0 } else { self.resources.processors_milli };
        Resources { processors_milli, ..self.resources }
    }
}
