//! Scenarios: load, batch work and faults during a trial.

use super::*;

/// End of the warm-up; figures are measured from here on.
pub(crate) const WARM_UP: Instant = Instant::from_millis(120_000);
/// End of a trial.
pub(crate) const END: Instant = Instant::from_millis(600_000);
/// Start of the fault, which lasts until the end.
pub(crate) const FAULT: Instant = Instant::from_millis(240_000);
/// Start of the peak load, or of the wave of noisy batch work.
const PEAK: Instant = Instant::from_millis(240_000);
/// End of the peak load, or of the wave.
const PEAK_END: Instant = Instant::from_millis(420_000);
/// Time in which the load rises to the peak and falls from it.
const RISE: Duration = Duration::from_secs(30);
/// Load in overload, as a multiple of the capacity.
const OVERLOAD: f64 = 2.0;
/// Ordinary batch work offered, as a share of the processors not reserved for services.
const BATCH_LOAD: f64 = 0.9;
/// Batch work of the noisy classes that a wave adds, as a share of the same processors.
const WAVE: f64 = 0.6;
/// Share of the workers that fail.
const FAILING_SHARE: f64 = 0.1;

/// Load, batch work and fault of a trial.
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

    /// Returns how many workers fail every request and task once the fault has begun.
    pub(crate) fn failing(self, deployment: &Deployment) -> usize {
        match self {
            Self::FailingWorkers => (deployment.workers as f64 * FAILING_SHARE).round() as usize,
            _ => 0,
        }
    }

    /// Returns the load of urgent requests at `now`, as a share of the capacity.
    pub(crate) fn load(self, deployment: &Deployment, now: Instant) -> f64 {
        let (base, peak) = (deployment.base_load, deployment.peak_load);
        match self {
            Self::Overload => base + (OVERLOAD - base) * peak_level(now),
            Self::TopOfTheHour => base + (peak - base) * peak_level(now),
            _ => base,
        }
    }

    /// Returns the name printed and matched by `BENCH_ONLY`.
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

    /// Returns the ordinary batch work offered, as a share of the processors not reserved.
    pub(crate) fn batch_load(self) -> f64 {
        BATCH_LOAD
    }

    /// Returns the batch work of the noisy classes offered in addition, as the same share.
    pub(crate) fn wave(self, now: Instant) -> f64 {
        let in_wave = self == Self::NoisyWave && (PEAK..PEAK_END).contains(&now);
        if in_wave { WAVE } else { 0.0 }
    }

    /// Returns whether the load has fully risen.
    pub(crate) fn at_peak(now: Instant) -> bool {
        peak_level(now) >= 1.0
    }

    /// Returns how long the load is fully risen, in seconds.
    pub(crate) fn peak_seconds() -> f64 {
        PEAK_END.since(PEAK + RISE + RISE).as_secs_f64()
    }
}

/// Returns the load between base, 0, and peak, 1.
fn peak_level(now: Instant) -> f64 {
    let rise = RISE.as_secs_f64();
    let risen = now.since(PEAK).as_secs_f64() / rise;
    let left = PEAK_END.since(now).as_secs_f64() / rise;
    risen.min(left).clamp(0.0, 1.0)
}
