//! A step of a job: tasks of one shape.

use super::*;

/// Tasks of one shape that may start when earlier steps are done.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(default)]
pub struct Step {
    /// Earlier steps whose tasks must all be done first; each lower than this step's number.
    pub after: Vec<u16>,
    /// Tasks save their progress and can resume from it.
    pub checkpoints: bool,
    /// Tasks, at least one.
    pub count: u16,
    /// Rough duration of a task, in milliseconds; 0 when not given.
    pub estimate_ms: u64,
    /// The processors are not reserved: tasks take what others leave unused.
    pub fills: bool,
    /// The tasks only work together.
    pub gang: bool,
    /// What a task runs.
    pub image: String,
    /// Tasks run until the job is cancelled.
    pub lasting: bool,
    /// A label that the worker must carry.
    pub label: Option<String>,
    /// Tasks that may be away at once by this system's orders.
    pub may_miss: u16,
    /// Most tasks of the step on one worker; 0 for no limit.
    pub per_worker: u16,
    /// The rack that holds the data.
    pub rack: Option<String>,
    /// What a task reserves.
    pub resources: Resources,
    /// Tasks slow down when they are spread over racks.
    pub same_rack: bool,
    /// Copies of a task may run in parallel.
    pub speculative: bool,
    /// Bound on the tail latency of a serving task, in milliseconds; 0 when it serves nobody.
    pub target_ms: u64,
}

impl Step {
    /// Returns whether its tasks serve users of their own.
    pub fn serves(&self) -> bool {
        self.lasting && self.target_ms > 0
    }

    /// Returns the cores that a task asks for.
    pub fn cores(&self) -> f64 {
        self.resources.processors_milli as f64 / 1_000.0
    }

    /// Returns what a task takes from its worker's reservable room.
    pub fn reserved(&self) -> Resources {
        let processors_milli = if self.fills { 0 } else { self.resources.processors_milli };
        Resources { processors_milli, ..self.resources }
    }
}
