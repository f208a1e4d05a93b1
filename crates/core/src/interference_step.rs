//! Throttling steps.

use super::*;

/// The share of its processors that a run may use.
#[derive(Clone, Copy, Debug, Default, Eq, Ord, PartialEq, PartialOrd)]
pub(super) enum Step {
    /// All the processors that the run was started with.
    #[default]
    Full,
    /// Half of them.
    Half,
    /// A quarter.
    Quarter,
    /// The smallest share that keeps a run alive.
    Minimum,
}

impl Step {
    /// Returns the next step down, or `None` at the minimum.
    pub(super) fn down(self) -> Option<Self> {
        match self {
            Self::Full => Some(Self::Half),
            Self::Half => Some(Self::Quarter),
            Self::Quarter => Some(Self::Minimum),
            Self::Minimum => None,
        }
    }

    /// Returns the next step up, or `None` at the full share.
    pub(super) fn up(self) -> Option<Self> {
        match self {
            Self::Full => None,
            Self::Half => Some(Self::Full),
            Self::Quarter => Some(Self::Half),
            Self::Minimum => Some(Self::Quarter),
        }
    }

    /// Returns the share in thousandths.
    pub(super) fn share_milli(self) -> u32 {
        match self {
            Self::Full => 1_000,
            Self::Half => 500,
            Self::Quarter => 250,
            Self::Minimum => 50,
        }
    }

    /// Returns the share, 0 to 1.
    pub(super) fn share(self) -> f64 {
        f64::from(self.share_milli()) / 1_000.0
    }

    /// Returns the advice that brings `run` to this step.
    pub(super) fn advice(self, run: task_worker::Run) -> Advice {
        match self {
            Self::Full => Advice::Release { run },
            _ => Advice::Throttle { run, share_milli: self.share_milli() },
        }
    }
}
