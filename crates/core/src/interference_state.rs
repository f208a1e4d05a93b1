//! State of one worker in the interference model.

use super::*;

/// Maximum number of past class shares that are kept to match delayed reports.
const MAX_HISTORY: usize = 16;
/// Measurements no further apart than this are the same, reported twice.
const DUPLICATE_TOLERANCE: Duration = Duration::from_millis(200);
/// Weight of a new residual in the worker's mean.
const RESIDUAL_GAIN: f64 = 0.05;

/// A worker with its runs, their throttles and the loads of its services.
#[derive(Clone, Debug)]
pub(super) struct State {
    /// Time of the last throttle or eviction.
    pub(super) last_change: Option<Instant>,
    /// Runs whose eviction was advised.
    pub(super) evicting: BTreeSet<task_worker::Run>,
    /// Share of the processors of each class, by class number, each with its start time; oldest
    /// first.
    history: Vec<(Instant, Vec<f64>)>,
    /// Load of each service, by service number.
    pub(super) loads: BTreeMap<usize, Load>,
    /// Time of the newest measurement.
    last_measured: Option<Instant>,
    /// Mean relative residual of the worker's services.
    pub(super) residual: f64,
    /// Runs in progress, in the order given.
    pub(super) runs: Vec<Running>,
    /// Steps of the throttled runs.
    pub(super) steps: BTreeMap<task_worker::Run, Step>,
    pub(super) worker: Worker,
}

impl State {
    pub(super) fn new(worker: &Worker) -> Self {
        Self {
            last_change: None,
            evicting: BTreeSet::new(),
            history: Vec::new(),
            loads: BTreeMap::new(),
            last_measured: None,
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

    /// Returns whether a measurement is newer than the last, and if so records its time.
    pub(super) fn accept_measurement(&mut self, measured: Instant) -> bool {
        if self.last_measured.is_some_and(|last| measured <= last + DUPLICATE_TOLERANCE) {
            return false;
        }
        self.last_measured = Some(measured);
        true
    }

    /// Returns the largest forecast share of the slots in use of any service.
    pub(super) fn forecast_load(&self) -> f64 {
        self.loads.values().map(Load::forecast).fold(0.0, f64::max)
    }

    /// Returns the shares of the classes at `then`, or `None` if the history does not reach back.
    pub(super) fn shares_at(&self, then: Instant) -> Option<&[f64]> {
        let after = self.history.partition_point(|(since, _)| *since <= then);
        let (_, shares) = self.history.get(after.checked_sub(1)?)?;
        Some(shares)
    }

    /// Records the shares of the classes from `now` on.
    pub(super) fn record_shares(&mut self, now: Instant, shares: Vec<f64>) {
        if self.history.last().is_some_and(|(_, last)| *last == shares) {
            return;
        }
        if self.history.len() == MAX_HISTORY {
            self.history.remove(0);
        }
        self.history.push((now, shares));
    }

    /// Updates the mean residual with that of a report, as a share of the time without batch work.
    pub(super) fn update_residual(&mut self, residual: f64) {
        self.residual += (residual.clamp(-0.5, 0.5) - self.residual) * RESIDUAL_GAIN;
    }

    /// Replaces the runs in progress, and drops the steps and evictions of runs that are over.
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
