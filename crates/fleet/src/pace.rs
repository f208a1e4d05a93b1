//! Paces filling tasks beside serving ones. Answers serving tasks whose tail nears its target
//! because of what fills their worker, seen only in rough figures half a second old.

use {
    super::*,
    pressure::{Pressure, Served},
    run::Phase,
};

/// How a worker's filling tasks are paced.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Pace {
    /// The share of the model's budget that is used: falls when tails show the model wrong.
    guard: f64,
    /// When the model last learned from this worker, in milliseconds.
    learned_at: u64,
}

/// The time that a figure spans, in milliseconds.
const SPAN_MS: u64 = 500;
/// Between observations of one worker, in milliseconds: figures span half a second.
const LEARN_MS: u64 = 250;
/// A tail above its target multiplies the budget by this.
const GUARD_CUT: f64 = 0.5;
/// The least share of the budget that is used.
const GUARD_LEAST: f64 = 0.05;
/// What a calm poll gives the guard back.
const GUARD_RISE: f64 = 0.15;
/// Every tail below this share of its target counts as calm.
const CALM: f64 = 0.75;
/// A tail over its target for this long halts everything that fills beside it, in milliseconds:
/// well before the time after which it counts as harm.
const HALT_MS: u64 = 1_200;
/// Logarithms below this do no harm that pacing could undo.
const HARMLESS: f64 = 0.03;

impl Default for Pace {
    fn default() -> Self {
        Self { guard: 1.0, learned_at: 0 }
    }
}

impl Worker {
    /// Learns from the worker's newest figures and returns the worst tail, as a share of its
    /// target.
    pub(crate) fn observe_tails(&mut self, now: u64, pressure: &mut Pressure) -> f64 {
        let uses = self.uses(now);
        let learns = now >= self.pace.learned_at + LEARN_MS;
        let mut worst: f64 = 0.0;
        for run in self.runs.values_mut() {
            let (Some(tail), true) = (run.figure, run.step.serves()) else { continue };
            if tail <= 0.0 {
                continue;
            }
            let target = run.step.target_ms as f64;
            worst = worst.max(tail / target);
            if tail <= target {
                run.over_since = None;
            } else {
                run.over_since.get_or_insert(now);
            }
            if learns {
                let uses: Vec<(&str, f64)> = uses.iter().map(|(i, c)| (i.as_str(), *c)).collect();
                let served = Served { image: &run.step.image, target_ms: run.step.target_ms };
                pressure.observe(served, tail, &uses);
            }
        }
        if learns {
            self.pace.learned_at = now;
            if worst > 1.0 {
                self.pace.guard = (self.pace.guard * GUARD_CUT).max(GUARD_LEAST);
            } else if worst < CALM {
                self.pace.guard = (self.pace.guard + GUARD_RISE).min(1.0);
            }
        }
        worst
    }

    /// Returns the share of the processors in use by image of filling tasks, over the time that
    /// figures span.
    fn uses(&mut self, now: u64) -> Vec<(String, f64)> {
        self.ended.retain(|(at, ..)| now < at + SPAN_MS);
        let total = self.cores();
        let mut uses: BTreeMap<&str, f64> = BTreeMap::new();
        for (at, image, cores) in &self.ended {
            let part = (at + SPAN_MS - now) as f64 / SPAN_MS as f64;
            *uses.entry(image).or_default() += cores * part;
        }
        for run in self.runs.values().filter(|run| run.step.fills) {
            let cores = run.figure.unwrap_or(0.0) / 1_000.0;
            if cores > 0.0 {
                *uses.entry(&run.step.image).or_default() += cores;
            }
        }
        uses.into_iter().map(|(image, cores)| (image.into(), cores / total)).collect()
    }

    /// Returns the pace that each image of filling tasks may have, in percent.
    pub fn paces(&self, now: u64, pressure: &Pressure) -> BTreeMap<&str, u32> {
        let mut cores: BTreeMap<&str, f64> = BTreeMap::new();
        for run in self.runs.values() {
            if run.step.fills && !matches!(run.phase, Phase::Stopping { .. }) {
                *cores.entry(&run.step.image).or_default() += run.step.cores();
            }
        }
        self.paces_of(now, pressure, &cores)
    }

    /// Returns the pace that one more task of the step would have, in percent.
    pub fn pace_with(&self, now: u64, pressure: &Pressure, step: &Step) -> u32 {
        let mut cores: BTreeMap<&str, f64> = BTreeMap::new();
        for run in self.runs.values().filter(|run| run.step.fills) {
            *cores.entry(&run.step.image).or_default() += run.step.cores();
        }
        *cores.entry(&step.image).or_default() += step.cores();
        self.paces_of(now, pressure, &cores).get(step.image.as_str()).copied().unwrap_or(100)
    }

    fn paces_of<'a>(
        &self,
        now: u64,
        pressure: &Pressure,
        cores: &BTreeMap<&'a str, f64>,
    ) -> BTreeMap<&'a str, u32> {
        let mut paces: BTreeMap<&str, u32> = cores.keys().map(|image| (*image, 100)).collect();
        let total: f64 = cores.values().sum();
        let unused = placement::unused_milli(self).max(0) as f64 / 1_000.0;
        // Tasks that want more than is unused share it, and press that much less.
        let share = if total > unused { unused / total } else { 1.0 };
        let budget = Pressure::budget() * self.pace.guard;
        let served: BTreeMap<&str, bool> = self.served(now);
        for (image, halted) in served {
            let pressed = |filling: &str, cores: f64| {
                pressure.pair(image, filling) * cores * share / self.cores()
            };
            let sum: f64 = cores
                .iter()
                .map(|(filling, cores)| pressed(filling, *cores))
                .filter(|pressed| *pressed > HARMLESS)
                .sum();
            if !halted && sum <= budget {
                continue;
            }
            let percent = if halted { 0 } else { (budget / sum * 100.0) as u32 };
            for (filling, cores) in cores {
                if !halted && pressed(filling, *cores) <= HARMLESS {
                    continue;
                }
                if let Some(pace) = paces.get_mut(filling) {
                    *pace = (*pace).min(percent);
                }
            }
        }
        paces
    }

    /// Returns the worker's cores.
    pub fn cores(&self) -> f64 {
        (self.capacity().processors_milli as f64 / 1_000.0).max(1.0)
    }

    /// Returns the serving images here, and whether one's tail has been over for too long.
    fn served(&self, now: u64) -> BTreeMap<&str, bool> {
        let mut served = BTreeMap::new();
        for run in self.runs.values().filter(|run| run.step.serves()) {
            let halted = run.over_since.is_some_and(|since| now >= since + HALT_MS);
            *served.entry(run.step.image.as_str()).or_default() |= halted;
        }
        served
    }
}
