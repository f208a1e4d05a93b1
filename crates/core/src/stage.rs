//! Stages of a task's life cycle, with the transitions in `charts/task.jsonc`.

use super::*;

/// The stage of a task in its life cycle.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Stage {
    /// Cancelled with its job, and proven not to run.
    Cancelled,
    /// Its job is cancelled; the run is not yet proven over.
    Cancelling,
    /// Ordered to write a checkpoint and stop.
    Evicting,
    /// Failed, or abandoned because its job failed.
    Failed,
    /// Completed.
    Finished,
    /// Waits for free resources, its team's quota or the end of its back-off.
    Queued,
    /// Reported by its worker.
    Running,
    /// An earlier run turned out to have completed the task; the current run is not yet proven
    /// over.
    Settling,
    /// Its start is recorded; whether the worker has started it is not known.
    Starting,
    /// Its job has failed; the run is not yet proven over.
    Stopping,
}

/// An event in the life cycle of a task.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Event {
    /// Its job failed.
    Abandon,
    /// Its job was cancelled.
    Cancel,
    /// Its run stopped after writing a checkpoint.
    Checkpoint,
    /// Its worker reports the run.
    Confirm,
    /// Its run has to leave its worker, for a service or because the VM is leaving.
    Evict,
    /// Its run failed, and no further attempt is allowed.
    Exhaust,
    /// Its run failed.
    Fail,
    /// Its run completed the task.
    Finish,
    /// Its run is proven over, with an unknown outcome.
    Lapse,
    /// An earlier run, counted as over with an unknown outcome, turns out to have completed the
    /// task.
    Overtake,
    /// Its worker did not start it.
    Refuse,
    /// A worker was chosen for it.
    Start,
    /// Its run stopped on command.
    Stop,
}

/// The effect of a transition on the task's run and resources.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Action {
    /// Stop its run.
    Halt,
    /// Book resources for it.
    Hold,
    /// Nothing.
    Keep,
    /// Release its resources.
    Release,
    /// Release its resources and queue it again.
    Requeue,
    /// Remove it from the queue.
    Withdraw,
}

/// The life cycle of a task.
pub type Life = Chart<Stage, Event, Action>;

impl Event {
    /// Every event.
    pub const ALL: [Self; 13] = [
        Self::Abandon,
        Self::Cancel,
        Self::Checkpoint,
        Self::Confirm,
        Self::Evict,
        Self::Exhaust,
        Self::Fail,
        Self::Finish,
        Self::Lapse,
        Self::Overtake,
        Self::Refuse,
        Self::Start,
        Self::Stop,
    ];
}

impl Stage {
    /// Reads the chart of the life cycle.
    ///
    /// # Errors
    ///
    /// Names the first fault of the chart.
    pub fn life() -> Result<Life, chart::Error> {
        Chart::read(include_str!("../charts/task.jsonc"), &Event::ALL)
    }

    /// Returns whether the stage is final.
    pub fn is_final(self) -> bool {
        matches!(self, Self::Cancelled | Self::Failed | Self::Finished)
    }

    /// Returns whether a run of the task may exist.
    pub fn may_run(self) -> bool {
        match self {
            Self::Cancelling
            | Self::Evicting
            | Self::Running
            | Self::Settling
            | Self::Starting
            | Self::Stopping => true,
            Self::Cancelled | Self::Failed | Self::Finished | Self::Queued => false,
        }
    }
}
