//! What happens during a trial.

use super::*;

/// Virtual time before figures are taken.
pub(crate) const WARM_UP: Instant = Instant::from_millis(120_000);
/// End of a trial.
pub(crate) const END: Instant = Instant::from_millis(600_000);
/// When a fault begins; it lasts to the end.
pub(crate) const FAULT: Instant = Instant::from_millis(240_000);
/// When a wave or a peak begins, rising for `RISE`.
const PEAK: Instant = Instant::from_millis(240_000);
/// When it ends.
const PEAK_END: Instant = Instant::from_millis(420_000);
/// How long the load takes to rise and to fall.
const RISE: Duration = Duration::from_secs(30);
/// Load offered in overload, as a multiple of the capacity.
const OVERLOAD: f64 = 2.0;
/// Batch work offered, as a share of what all workers could hold.
const DEMAND: f64 = 0.9;
/// Batch work of the noisy classes added by a wave, as a share of what all workers could hold.
const WAVE: f64 = 0.6;
/// Share of the workers that fail.
const FAILING_SHARE: f64 = 0.1;

/// What happens during a trial.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Scenario {
    Calm,
    FailingWorkers,
    NoisyWave,
    Overload,
    RackLoss,
    ShiftedInterference,
    TopOfTheHour,
    ZoneLoss,
}

impl Scenario {
    /// Every scenario.
    pub(crate) const ALL: [Self; 8] = [
        Self::Calm,
        Self::TopOfTheHour,
        Self::NoisyWave,
        Self::ShiftedInterference,
        Self::FailingWorkers,
        Self::RackLoss,
        Self::ZoneLoss,
        Self::Overload,
    ];

    /// Returns how many workers start to fail everything.
    pub(crate) fn failing(self, deployment: &Deployment) -> usize {
        match self {
            Self::FailingWorkers => (deployment.workers as f64 * FAILING_SHARE).round() as usize,
            _ => 0,
        }
    }

    /// Returns the load at `now`, as a share of the capacity.
    pub(crate) fn load(self, deployment: &Deployment, now: Instant) -> f64 {
        let (base, peak) = (deployment.base_load, deployment.peak_load);
        match self {
            Self::Overload => base + (OVERLOAD - base) * height(now),
            Self::TopOfTheHour => base + (peak - base) * height(now),
            _ => base,
        }
    }

    /// Returns the name in print.
    pub(crate) fn name(self) -> &'static str {
        match self {
            Self::Calm => "calm",
            Self::FailingWorkers => "failing-workers",
            Self::NoisyWave => "noisy-wave",
            Self::Overload => "overload",
            Self::RackLoss => "rack-loss",
            Self::ShiftedInterference => "shifted-interference",
            Self::TopOfTheHour => "top-of-the-hour",
            Self::ZoneLoss => "zone-loss",
        }
    }

    /// Returns ordinary batch work offered, as a share of what all workers could hold.
    pub(crate) fn demand(self) -> f64 {
        DEMAND
    }

    /// Returns noisy batch work offered beside it.
    pub(crate) fn wave(self, now: Instant) -> f64 {
        let rebuilds = self == Self::NoisyWave && (PEAK..PEAK_END).contains(&now);
        if rebuilds { WAVE } else { 0.0 }
    }

    /// Returns whether the load is at its full height.
    pub(crate) fn at_full_height(now: Instant) -> bool {
        height(now) >= 1.0
    }

    /// Returns how long the load is at its full height, in seconds.
    pub(crate) fn full_height_seconds() -> f64 {
        PEAK_END.since(PEAK + RISE + RISE).as_secs_f64()
    }
}

/// Returns how far the peak has risen, 0 to 1.
fn height(now: Instant) -> f64 {
    let rise = RISE.as_secs_f64();
    let risen = now.since(PEAK).as_secs_f64() / rise;
    let left = PEAK_END.since(now).as_secs_f64() / rise;
    risen.min(left).clamp(0.0, 1.0)
}
