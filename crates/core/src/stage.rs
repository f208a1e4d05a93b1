//! Stages of a task's life, as `charts/task.jsonc` connects them.

use super::*;

/// Where a task stands.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Stage {
    /// Cancelled with its job, and proven not to run.
    Cancelled,
    /// Its job is cancelled; the run is not yet proven over.
    Cancelling,
    /// Told to write a checkpoint and stop.
    Evicting,
    /// Failed, or given up with its job.
    Failed,
    /// Did all its work.
    Finished,
    /// Waits for room, a quota or the end of its back-off.
    Queued,
    /// Reported by its worker.
    Running,
    /// An earlier run turned out to have done all the work; the run is not yet proven over.
    Settling,
    /// Its start is durable; whether the worker has taken it is not known.
    Starting,
    /// Its job has failed; the run is not yet proven over.
    Stopping,
}

/// What happens to a task.
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
    /// Its worker is wanted for a service.
    Evict,
    /// Its run failed once more than is allowed.
    Exhaust,
    /// Its run failed.
    Fail,
    /// Its run did all its work.
    Finish,
    /// Its run is proven over, without a word on how.
    Lapse,
    /// An earlier run, counted as over without a word, turns out to have done all its work.
    Overtake,
    /// Its worker did not start it.
    Refuse,
    /// A worker was chosen for it.
    Start,
    /// Its run stopped as told.
    Stop,
}

/// What a step means for the room of a task.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Action {
    /// Stop its run.
    Halt,
    /// Take room for it.
    Hold,
    /// Nothing.
    Keep,
    /// Give its room back.
    Release,
    /// Give its room back and let it wait for room again.
    Requeue,
    /// Let it wait for room no longer.
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
    /// Reads the chart of a task's life.
    ///
    /// # Errors
    ///
    /// Names the first fault of the chart.
    pub fn life() -> Result<Life, chart::Error> {
        Chart::read(include_str!("../charts/task.jsonc"), &Event::ALL)
    }

    /// Returns whether nothing follows.
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
