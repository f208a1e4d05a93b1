//! Corrects declared resources and run times by measurements of runs of the same team and class.

use super::*;

/// Minimum number of measured runs before a declaration is corrected.
pub const MIN_RUNS: usize = 8;
/// Number of newest ratios kept for each team and class.
const MAX_RATIOS: usize = 32;
/// Margin added to the amount scaled by the largest ratio, in percent.
const MARGIN_PERCENT: u64 = 20;
/// Range of the factors by which a declaration is scaled, in thousandths.
const SCALE_MILLI: std::ops::RangeInclusive<u64> = 50..=8_000;

/// Ratios of measured to declared resources and run times, by team and batch class.
#[derive(Clone, Debug, Default)]
pub struct Table {
    ratios: BTreeMap<(Name, Name), Ratios>,
}

/// Ratios of measured to declared values, in thousandths, newest last.
#[derive(Clone, Debug, Default)]
struct Ratios {
    memory: Vec<u64>,
    processors: Vec<u64>,
    run_time: Vec<u64>,
}

/// Declared and measured values of a run that is over.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Sample {
    /// Declared resources.
    pub declared: Resources,
    /// Declared run time.
    pub declared_run: Duration,
    /// Peak use.
    pub measured: Resources,
    /// Measured run time at its full share of processors.
    pub measured_run: Duration,
}

impl Table {
    /// Returns the resources to allocate to a task of `team` and `class`.
    pub fn resources(&self, team: &Name, class: &Name, declared: &Resources) -> Resources {
        let Some(ratios) = self.get(team, class) else { return *declared };
        Resources {
            accelerators: declared.accelerators,
            memory_mib: scale(declared.memory_mib, &ratios.memory),
            processors_milli: scale(declared.processors_milli, &ratios.processors),
        }
    }

    /// Returns the expected run time of a task of `team` and `class`: the median ratio times the
    /// declaration.
    pub fn run_time(&self, team: &Name, class: &Name, declared: Duration) -> Duration {
        let Some(ratios) = self.get(team, class) else { return declared };
        let mut sorted = ratios.run_time.clone();
        sorted.sort_unstable();
        declared * sorted[sorted.len() / 2] as u32 / 1_000
    }

    /// Records a run that is over.
    pub fn record(&mut self, team: &Name, class: &Name, sample: &Sample) {
        let ratios = self.ratios.entry((team.clone(), class.clone())).or_default();
        let (declared, measured) = (&sample.declared, &sample.measured);
        push_ratio(&mut ratios.memory, measured.memory_mib, declared.memory_mib);
        push_ratio(&mut ratios.processors, measured.processors_milli, declared.processors_milli);
        let millis = |duration: Duration| duration.as_millis() as u64;
        push_ratio(&mut ratios.run_time, millis(sample.measured_run), millis(sample.declared_run));
    }

    fn get(&self, team: &Name, class: &Name) -> Option<&Ratios> {
        let ratios = self.ratios.get(&(team.clone(), class.clone()))?;
        (ratios.run_time.len() >= MIN_RUNS).then_some(ratios)
    }
}

fn push_ratio(ratios: &mut Vec<u64>, measured: u64, declared: u64) {
    if ratios.len() == MAX_RATIOS {
        ratios.remove(0);
    }
    let ratio = measured.saturating_mul(1_000) / declared.max(1);
    ratios.push(ratio.clamp(*SCALE_MILLI.start(), *SCALE_MILLI.end()));
}

fn scale(declared: u64, ratios: &[u64]) -> u64 {
    let largest = ratios.iter().copied().max().unwrap_or(1_000);
    let scaled = declared.saturating_mul(largest) / 1_000;
    scaled + scaled * MARGIN_PERCENT / 100
}
