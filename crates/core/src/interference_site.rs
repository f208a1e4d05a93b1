//! What is known of one worker.

use super::*;

/// Sets of running classes that are remembered for late reports.
const HISTORY_MAX: usize = 16;
/// Measurements no further apart are the same, told twice.
const SAME_MEASUREMENT: Duration = Duration::from_millis(200);
/// Weight of a new residual in the worker's own mean.
const RESIDUAL_GAIN: f64 = 0.05;

/// A worker with its runs and what its services showed.
#[derive(Clone, Debug)]
pub(super) struct Site {
    /// When a throttle last changed.
    pub(super) changed: Option<Instant>,
    /// Runs that were told to leave.
    pub(super) evicting: BTreeSet<task_worker::Run>,
    /// Share of the processors of each class, by class number, with when it began; oldest first.
    history: Vec<(Instant, Vec<f64>)>,
    /// Load of each service, by service number.
    pub(super) loads: BTreeMap<usize, Occupancy>,
    /// When the newest measurement was made.
    measured: Option<Instant>,
    /// Mean relative residual of the worker's services.
    pub(super) residual: f64,
    /// Runs in progress, in the order given.
    pub(super) runs: Vec<Running>,
    /// Steps of the throttled runs.
    pub(super) steps: BTreeMap<task_worker::Run, Step>,
    pub(super) worker: Worker,
}

impl Site {
    pub(super) fn new(worker: &Worker) -> Self {
        Self {
            changed: None,
            evicting: BTreeSet::new(),
            history: Vec::new(),
            loads: BTreeMap::new(),
            measured: None,
            residual: 0.0,
            runs: Vec::new(),
            steps: BTreeMap::new(),
            worker: worker.clone(),
        }
    }

    /// Adds a run that starts now.
    pub(super) fn add_run(&mut self, running: &Running, step: Step) {
        self.runs.push(running.clone());
        if step != Step::Full {
            self.steps.insert(running.run.clone(), step);
        }
    }

    /// Takes note of a measurement, and returns whether it is newer than all before.
    pub(super) fn is_news(&mut self, measured: Instant) -> bool {
        if self.measured.is_some_and(|last| measured <= last + SAME_MEASUREMENT) {
            return false;
        }
        self.measured = Some(measured);
        true
    }

    /// Returns the largest share of the slots of any service that is expected soon.
    pub(super) fn load_ahead(&self) -> f64 {
        self.loads.values().map(Occupancy::ahead).fold(0.0, f64::max)
    }

    /// Returns the shares of the classes that ran at `then`.
    pub(super) fn past(&self, then: Instant) -> Option<&[f64]> {
        let after = self.history.partition_point(|(since, _)| *since <= then);
        let (_, shares) = self.history.get(after.checked_sub(1)?)?;
        Some(shares)
    }

    /// Remembers the shares of the classes from `now` on.
    pub(super) fn remember(&mut self, now: Instant, shares: Vec<f64>) {
        if self.history.last().is_some_and(|(_, last)| *last == shares) {
            return;
        }
        if self.history.len() == HISTORY_MAX {
            self.history.remove(0);
        }
        self.history.push((now, shares));
    }

    /// Takes in how far a report was off the estimate, as a share of the estimate.
    pub(super) fn learn(&mut self, residual: f64) {
        self.residual += (residual.clamp(-0.5, 0.5) - self.residual) * RESIDUAL_GAIN;
    }

    /// Replaces the runs in progress.
    pub(super) fn set_runs(&mut self, runs: &[Running]) {
        let present: BTreeSet<&task_worker::Run> =
            runs.iter().map(|running| &running.run).collect();
        self.evicting.retain(|run| present.contains(run));
        self.steps.retain(|run, _| present.contains(run));
        self.runs = runs.to_vec();
    }

    /// Returns the share of the worker's processors that a run may use at `step`.
    pub(super) fn share(&self, running: &Running, step: Step) -> f64 {
        let full = running.processors_milli as f64 / self.worker.processors_milli as f64;
        full * step.share()
    }

    /// Returns the step of a run.
    pub(super) fn step(&self, run: &task_worker::Run) -> Step {
        self.steps.get(run).copied().unwrap_or_default()
    }
}
