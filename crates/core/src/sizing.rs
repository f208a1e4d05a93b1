//! Corrects declared sizes and run times by what runs of the same team and class were measured at.

use super::*;

/// Runs that must have been measured before a declaration is corrected.
pub const RUNS_MIN: usize = 8;
/// Ratios kept for each team and class, the newest.
const RATIOS_MAX: usize = 32;
/// What is added to the largest ratio seen, in percent.
const MARGIN_PERCENT: u64 = 20;
/// The least and most that a declaration is scaled by, in thousandths.
const SCALE_MILLI: std::ops::RangeInclusive<u64> = 50..=8_000;

/// Measured sizes and run times as ratios of the declared ones.
#[derive(Clone, Debug, Default)]
pub struct Table {
    ratios: BTreeMap<(Name, Name), Ratios>,
}

/// Ratios of measured to declared, in thousandths, newest last.
#[derive(Clone, Debug, Default)]
struct Ratios {
    memory: Vec<u64>,
    processors: Vec<u64>,
    run: Vec<u64>,
}

/// A run that is over, as declared and as measured.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Sample {
    /// What it was declared to need.
    pub declared: Resources,
    /// How long it was declared to run.
    pub declared_run: Duration,
    /// The most that it used.
    pub measured: Resources,
    /// How long it ran at its full share.
    pub measured_run: Duration,
}

impl Table {
    /// Returns what a task of `team` and `class` is to be given.
    pub fn resources(&self, team: &Name, class: &Name, declared: &Resources) -> Resources {
        let Some(ratios) = self.get(team, class) else { return *declared };
        Resources {
            accelerators: declared.accelerators,
            memory_mib: scale(declared.memory_mib, &ratios.memory),
            processors_milli: scale(declared.processors_milli, &ratios.processors),
        }
    }

    /// Returns how long a task of `team` and `class` is expected to run.
    pub fn run(&self, team: &Name, class: &Name, declared: Duration) -> Duration {
        let Some(ratios) = self.get(team, class) else { return declared };
        let mut sorted = ratios.run.clone();
        sorted.sort_unstable();
        declared * sorted[sorted.len() / 2] as u32 / 1_000
    }

    /// Takes in a run that is over.
    pub fn learn(&mut self, team: &Name, class: &Name, sample: &Sample) {
        let ratios = self.ratios.entry((team.clone(), class.clone())).or_default();
        let (declared, measured) = (&sample.declared, &sample.measured);
        push(&mut ratios.memory, measured.memory_mib, declared.memory_mib);
        push(&mut ratios.processors, measured.processors_milli, declared.processors_milli);
        let millis = |duration: Duration| duration.as_millis() as u64;
        push(&mut ratios.run, millis(sample.measured_run), millis(sample.declared_run));
    }

    fn get(&self, team: &Name, class: &Name) -> Option<&Ratios> {
        let ratios = self.ratios.get(&(team.clone(), class.clone()))?;
        (ratios.run.len() >= RUNS_MIN).then_some(ratios)
    }
}

fn push(ratios: &mut Vec<u64>, measured: u64, declared: u64) {
    if ratios.len() == RATIOS_MAX {
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
