//! A simulated batch task, named unit to distinguish it from `task` of the core.

use super::*;

/// A simulated batch task.
#[derive(Clone, Debug)]
pub(crate) struct Unit {
    pub(crate) attempt: u32,
    pub(crate) class: usize,
    pub(crate) demand: placement::Demand,
    /// Work done that is not repeated, in seconds at the full share of processors.
    pub(crate) done: f64,
    /// Number of failed runs.
    pub(crate) failures: u32,
    /// Number of changes of its scheduled end; an `Event::RunEnd` of another generation is stale.
    pub(crate) generation: u32,
    /// Whether it fails wherever it runs.
    pub(crate) impossible: bool,
    /// Total work, in seconds at the full share of processors.
    pub(crate) length: f64,
    /// Earliest time of its next start.
    pub(crate) not_before: Instant,
    pub(crate) run: Option<Run>,
    /// Whether it finished or was abandoned.
    pub(crate) over: bool,
}

impl Unit {
    pub(crate) fn new(
        demand: placement::Demand,
        class: usize,
        impossible: bool,
        length: f64,
    ) -> Self {
        Self {
            attempt: 0,
            class,
            demand,
            done: 0.0,
            failures: 0,
            generation: 0,
            impossible,
            length,
            over: false,
            not_before: Instant::default(),
            run: None,
        }
    }

    /// Returns its processors, in cores.
    pub(crate) fn cores(&self) -> f64 {
        self.demand.resources.processors_milli as f64 / 1_000.0
    }

    /// Returns the id of its latest run.
    pub(crate) fn latest_run(&self) -> worker::Run {
        worker::Run { attempt: task::Attempt(self.attempt), task: self.demand.task.clone() }
    }
}

/// Converts a literal that is a valid name.
pub(crate) fn name(text: &str) -> Name {
    Name::try_from(text).expect("a literal name")
}
