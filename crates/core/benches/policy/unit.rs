//! A batch task as the fake keeps it.

use super::*;

/// A batch task as the fake keeps it.
#[derive(Clone, Debug)]
pub(crate) struct Unit {
    pub(crate) attempt: u32,
    pub(crate) class: usize,
    pub(crate) demand: placement::Demand,
    /// Work done that will not be repeated, in seconds at the full share.
    pub(crate) done: f64,
    /// Runs that failed.
    pub(crate) failures: u32,
    /// Changes whenever the end of the run moves.
    pub(crate) generation: u32,
    /// Whether it fails wherever it runs.
    pub(crate) impossible: bool,
    /// Work in all, in seconds at the full share.
    pub(crate) length: f64,
    /// Not placed again before this.
    pub(crate) rests_until: Instant,
    pub(crate) run: Option<Run>,
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
            rests_until: Instant::default(),
            run: None,
        }
    }

    /// Returns its processors, in whole cores.
    pub(crate) fn cores(&self) -> f64 {
        self.demand.resources.processors_milli as f64 / 1_000.0
    }

    /// Returns the run's name.
    pub(crate) fn run_name(&self) -> worker::Run {
        worker::Run { attempt: task::Attempt(self.attempt), task: self.demand.task.clone() }
    }
}

/// Returns a name that is known to be valid.
pub(crate) fn name(text: &str) -> Name {
    Name::try_from(text).expect("a literal name")
}
