//! Limits the pace of filling tasks so that serving tasks on the same worker meet their latency
//! target. The only input is rough measurements that are half a second old.

use {
    super::*,
    pressure::{Pressure, ServingImage},
    run::Phase,
};

/// Highest contention allowed for a serving task. Tails exceed their target at 0.78; the margin is
/// for noise and for load that rises until the next poll.
const MAX_CONTENTION: f64 = 0.72;
/// Peak of the contention by a serving task's own load, reached within seconds: a new filling task
/// must be harmless at this load too.
const PEAK_LOAD: f64 = 0.63;
/// Contention below which a filling image is not paced, except in a halt: half of the noise of one
/// measurement.
const NEGLIGIBLE_CONTENTION: f64 = 0.03;
/// Weight of the newest measurement in the load estimate: measurements have a noise of a tenth, and
/// load changes by as much in a second.
const LOAD_WEIGHT: f64 = 0.7;
/// Period covered by a measurement, in milliseconds.
const MEASUREMENT_MS: u64 = 500;
/// Minimum interval between observations of one worker, in milliseconds: measurements cover half a
/// second.
const OBSERVE_INTERVAL_MS: u64 = 250;
/// How long an order on pace shows in measurements, in milliseconds: until it takes effect, and the
/// period of a measurement.
const PACE_EFFECT_MS: u64 = 700;
/// The longest time between two measurements whose difference counts, in milliseconds: a serving
/// task's own load changes in seconds.
const MAX_CHANGE_INTERVAL_MS: u64 = 1_200;
/// The smallest change of an image's share of a worker that counts.
const MIN_SHARE_CHANGE: f64 = 0.03;
/// How long a smoothed tail may exceed its target before all filling tasks on the worker are halted,
/// in milliseconds: well below the four seconds after which it counts as harm.
const HALT_AFTER_MS: u64 = 1_200;
/// Weight of the newest measurement in the smoothed tail: noise around the target must neither start
/// nor end the time over it.
const TAIL_WEIGHT: f64 = 0.5;

impl Run {
    /// Smooths the contention that a serving task's tail latency shows, and tracks since when it has
    /// been over its target.
    fn observe_contention(&mut self, now: u64, contention: f64) {
        let smoothed = self.contention.get_or_insert(contention);
        *smoothed += (contention - *smoothed) * TAIL_WEIGHT;
        if *smoothed <= pressure::TARGET_CONTENTION {
            self.over_target_since = None;
        } else {
            self.over_target_since.get_or_insert(now);
        }
    }
}

impl Worker {
    /// Updates the loads of serving tasks and `own_pressure` from the worker's newest measurements,
    /// and returns the highest tail latency relative to its target. `pressure` holds the estimates
    /// of all owners.
    pub(crate) fn observe_tails(
        &mut self,
        now: u64,
        pressure: &Pressure,
        own_pressure: &mut Pressure,
    ) -> f64 {
        let due = now >= self.observed_at + OBSERVE_INTERVAL_MS;
        let usage_shares = if due { self.usage_shares(now) } else { Vec::new() };
        let share_changes = if due { self.share_changes(now, &usage_shares) } else { Vec::new() };
        let share_changes: Vec<(&str, f64)> = borrowed(&share_changes);
        if due {
            self.observed_shares = usage_shares.iter().cloned().collect();
        }
        let usage_shares: Vec<(&str, f64)> = borrowed(&usage_shares);
        let mut worst_ratio: f64 = 0.0;
        for run in self.runs.values_mut() {
            let (Some(tail), true) = (run.measurement, run.step.serves()) else { continue };
            if tail <= 0.0 {
                continue;
            }
            let target = run.step.target_ms as f64;
            worst_ratio = worst_ratio.max(tail / target);
            let contention = pressure::contention(tail / target);
            if due {
                run.observe_contention(now, contention);
                let added: f64 = usage_shares
                    .iter()
                    .map(|(image, share)| pressure.level(&run.step.image, image) * share)
                    .sum();
                let load = contention - added;
                run.load += (load.clamp(0.0, pressure::LOAD_RANGE.1) - run.load) * LOAD_WEIGHT;
                let serving =
                    ServingImage { image: &run.step.image, target_ms: run.step.target_ms };
                own_pressure.observe(serving, tail, &usage_shares);
                let last = run.last_contention.replace(contention);
                let measurable = contention < pressure::SATURATION && !share_changes.is_empty();
                if let Some(last) = last.filter(|last| measurable && *last < pressure::SATURATION) {
                    let change = contention - last;
                    own_pressure.observe_change(&run.step.image, change, &share_changes);
                }
            }
        }
        if due {
            self.observed_at = now;
        }
        worst_ratio
    }

    /// Returns the share of the worker's processors that each filling image used over the period of
    /// a measurement, including recently ended runs.
    fn usage_shares(&mut self, now: u64) -> Vec<(String, f64)> {
        self.ended_filling.retain(|(at, ..)| now < at + MEASUREMENT_MS);
        let total = self.cores();
        let mut usage_shares: BTreeMap<&str, f64> = BTreeMap::new();
        for (at, image, cores) in &self.ended_filling {
            let weight = (at + MEASUREMENT_MS - now) as f64 / MEASUREMENT_MS as f64;
            *usage_shares.entry(image).or_default() += cores * weight;
        }
        for run in self.runs.values().filter(|run| run.step.fills) {
            let cores = run.measurement.unwrap_or(0.0) / 1_000.0;
            if cores > 0.0 {
                *usage_shares.entry(&run.step.image).or_default() += cores;
            }
        }
        usage_shares.into_iter().map(|(image, cores)| (image.into(), cores / total)).collect()
    }

    /// Returns by how much the filling images' shares have changed since the last observation, if
    /// only because runs began or ended. Empty if it was too long ago, after an order on pace, or if
    /// no share has changed much.
    fn share_changes(&self, now: u64, shares: &[(String, f64)]) -> Vec<(String, f64)> {
        let paced = self.paced_at + PACE_EFFECT_MS > self.observed_at;
        if paced || now > self.observed_at + MAX_CHANGE_INTERVAL_MS {
            return Vec::new();
        }
        let mut changes: BTreeMap<&str, f64> =
            self.observed_shares.iter().map(|(image, share)| (image.as_str(), -share)).collect();
        for (image, share) in shares {
            *changes.entry(image).or_default() += share;
        }
        if changes.values().all(|change| change.abs() < MIN_SHARE_CHANGE) {
            return Vec::new();
        }
        changes.into_iter().map(|(image, change)| (image.into(), change)).collect()
    }

    /// Returns the pace allowed for each filling image, in percent.
    pub fn paces(&self, now: u64, pressure: &Pressure) -> BTreeMap<&str, u32> {
        let mut cores: BTreeMap<&str, f64> = BTreeMap::new();
        for run in self.runs.values() {
            if run.step.fills && !matches!(run.phase, Phase::Stopping { .. }) {
                *cores.entry(&run.step.image).or_default() += run.step.cores();
            }
        }
        self.paces_for(now, pressure, &cores, 0.0)
    }

    /// Returns the pace allowed for one more task of the step, in percent.
    pub fn pace_with(&self, now: u64, pressure: &Pressure, step: &Step) -> u32 {
        let mut cores: BTreeMap<&str, f64> = BTreeMap::new();
        for run in self.runs.values().filter(|run| run.step.fills) {
            *cores.entry(&run.step.image).or_default() += run.step.cores();
        }
        *cores.entry(&step.image).or_default() += step.cores();
        self.paces_for(now, pressure, &cores, PEAK_LOAD)
            .get(step.image.as_str())
            .copied()
            .unwrap_or(100)
    }

    /// Returns the pace allowed for each filling image that requests `cores`, with serving loads of
    /// at least `min_load`.
    fn paces_for<'a>(
        &self,
        now: u64,
        pressure: &Pressure,
        cores: &BTreeMap<&'a str, f64>,
        min_load: f64,
    ) -> BTreeMap<&'a str, u32> {
        let mut paces: BTreeMap<&str, u32> = cores.keys().map(|image| (*image, 100)).collect();
        for (image, load) in self.serving_loads(now) {
            let mut budget = (MAX_CONTENTION - load.max(min_load)).max(0.0);
            let mut levels: Vec<(f64, &str, f64)> = cores
                .iter()
                .map(|(filling, cores)| (pressure.level(image, filling), *filling, *cores))
                .collect();
            // Least harmful images first: the same contention budget then allows the most work.
            levels.sort_by(|a, b| a.0.total_cmp(&b.0));
            for (level, filling, cores) in levels {
                let added = level * cores / self.cores();
                if added < NEGLIGIBLE_CONTENTION && load.is_finite() {
                    continue;
                }
                let percent = match added > budget {
                    true => (budget / added * 100.0) as u32,
                    false => 100,
                };
                budget = (budget - added).max(0.0);
                if let Some(pace) = paces.get_mut(filling) {
                    *pace = (*pace).min(percent);
                }
            }
        }
        paces
    }

    /// Returns the number of the worker's cores, at least 1.
    pub fn cores(&self) -> f64 {
        (self.capacity().processors_milli as f64 / 1_000.0).max(1.0)
    }

    /// Returns the serving images at this worker with the highest load of their tasks: infinite
    /// when a tail has exceeded its target for `HALT_AFTER_MS`.
    fn serving_loads(&self, now: u64) -> BTreeMap<&str, f64> {
        let mut serving_loads: BTreeMap<&str, f64> = BTreeMap::new();
        for run in self.runs.values().filter(|run| run.step.serves()) {
            let halted = run.over_target_since.is_some_and(|since| now >= since + HALT_AFTER_MS);
            let load = if halted { f64::INFINITY } else { run.load };
            let highest = serving_loads.entry(run.step.image.as_str()).or_default();
            *highest = highest.max(load);
        }
        serving_loads
    }
}

fn borrowed(shares: &[(String, f64)]) -> Vec<(&str, f64)> {
    shares.iter().map(|(image, share)| (image.as_str(), *share)).collect()
}
