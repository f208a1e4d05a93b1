//! Paces filling tasks beside serving ones. Answers serving tasks whose tail nears its target
//! because of what fills their worker, seen only in rough figures half a second old.

use {
    super::*,
    pressure::{Pressure, Served},
    run::Phase,
};

/// The contention that a serving task may see. Tails are over their target at 0.78; the rest is for
/// noise and for load that rises until the next poll.
const AIM: f64 = 0.72;
/// What a serving task's own load rises to within seconds: a filling task that starts must fit
/// beside that too.
const LOAD_PEAK: f64 = 0.63;
/// Contention below this is not worth an order: half of the noise of one figure.
const HARMLESS: f64 = 0.03;
/// How much of a newer figure is believed: figures are noisy by a tenth, load moves by as much in a
/// second.
const LOAD_BELIEVED: f64 = 0.7;
/// The time that a figure spans, in milliseconds.
const SPAN_MS: u64 = 500;
/// Between observations of one worker, in milliseconds: figures span half a second.
const LEARN_MS: u64 = 250;
/// A tail over its target for this long halts everything that fills beside it, in milliseconds:
/// well before the time after which it counts as harm.
const HALT_MS: u64 = 1_200;

impl Worker {
    /// Learns from the worker's newest figures and returns the worst tail, as a share of its
    /// target.
    pub(crate) fn observe_tails(
        &mut self,
        now: u64,
        pressure: &Pressure,
        learned: &mut Pressure,
    ) -> f64 {
        let learns = now >= self.learned_at + LEARN_MS;
        let uses = if learns { self.uses(now) } else { Vec::new() };
        let uses: Vec<(&str, f64)> = uses.iter().map(|(i, c)| (i.as_str(), *c)).collect();
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
                let pressed: f64 =
                    uses.iter().map(|(i, share)| pressure.pair(&run.step.image, i) * share).sum();
                let load = pressure::contention(tail / target) - pressed;
                run.load += (load.clamp(0.0, pressure::LOAD_RANGE.1) - run.load) * LOAD_BELIEVED;
                let served = Served { image: &run.step.image, target_ms: run.step.target_ms };
                learned.observe(served, tail, &uses);
            }
        }
        if learns {
            self.learned_at = now;
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
        self.paces_of(now, pressure, &cores, 0.0)
    }

    /// Returns the pace that one more task of the step would have, in percent.
    pub fn pace_with(&self, now: u64, pressure: &Pressure, step: &Step) -> u32 {
        let mut cores: BTreeMap<&str, f64> = BTreeMap::new();
        for run in self.runs.values().filter(|run| run.step.fills) {
            *cores.entry(&run.step.image).or_default() += run.step.cores();
        }
        *cores.entry(&step.image).or_default() += step.cores();
        self.paces_of(now, pressure, &cores, LOAD_PEAK)
            .get(step.image.as_str())
            .copied()
            .unwrap_or(100)
    }

    fn paces_of<'a>(
        &self,
        now: u64,
        pressure: &Pressure,
        cores: &BTreeMap<&'a str, f64>,
        least_load: f64,
    ) -> BTreeMap<&'a str, u32> {
        let mut paces: BTreeMap<&str, u32> = cores.keys().map(|image| (*image, 100)).collect();
        for (image, load) in self.served(now) {
            let mut budget = (AIM - load.max(least_load)).max(0.0);
            let mut pairs: Vec<(f64, &str, f64)> = cores
                .iter()
                .map(|(filling, cores)| (pressure.pair(image, filling), *filling, *cores))
                .collect();
            // The least harmful first: the same bound on the tail then lets the most work through.
            pairs.sort_by(|a, b| a.0.total_cmp(&b.0));
            for (pair, filling, cores) in pairs {
                let pressed = pair * cores / self.cores();
                if pressed < HARMLESS && load.is_finite() {
                    continue;
                }
                let percent = match pressed > budget {
                    true => (budget / pressed * 100.0) as u32,
                    false => 100,
                };
                budget = (budget - pressed).max(0.0);
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

    /// Returns the serving images here, each with the highest load of its tasks; infinite when one
    /// has been over its target for too long.
    fn served(&self, now: u64) -> BTreeMap<&str, f64> {
        let mut served: BTreeMap<&str, f64> = BTreeMap::new();
        for run in self.runs.values().filter(|run| run.step.serves()) {
            let halted = run.over_since.is_some_and(|since| now >= since + HALT_MS);
            let load = if halted { f64::INFINITY } else { run.load };
            let highest = served.entry(run.step.image.as_str()).or_default();
            *highest = highest.max(load);
        }
        served
    }
}
