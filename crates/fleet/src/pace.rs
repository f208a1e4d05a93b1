//! Limits the pace of filling tasks so that serving tasks on the same worker meet their latency
//! target. The only input is rough measurements that are half a second old.

use {super::*, pressure::Pressure, run::Phase};

/// How far ahead a pace has to fit, in milliseconds: until the next poll's order takes effect.
const PACE_HORIZON_MS: u64 = 800;
/// How far ahead a filling task has to fit where it starts, in milliseconds: one that is paced down
/// soon holds room without using it.
const PLACEMENT_HORIZON_MS: u64 = 4_000;
/// Contention below which a filling image is not paced, except in a halt: less than the noise of one
/// measurement.
const NEGLIGIBLE_CONTENTION: f64 = 0.04;
/// Period covered by a measurement, in milliseconds.
const MEASUREMENT_MS: u64 = 500;
/// Minimum interval between observations of one worker, in milliseconds: measurements cover half a
/// second.
const OBSERVE_INTERVAL_MS: u64 = 250;
/// How long the measurements of a task that has just started are left out, in milliseconds: it
/// serves nothing at first.
const STARTUP_MS: u64 = 1_000;
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
    /// Updates the loads of serving jobs and `own_pressure` from the worker's newest measurements,
    /// and returns the highest tail latency relative to its target. `pressure` holds the estimates
    /// of all owners.
    pub(crate) fn observe_tails(
        &mut self,
        now: u64,
        policy: Policy,
        pressure: &Pressure,
        own_pressure: &mut Pressure,
        loads: &mut HashMap<job::Id, Load>,
    ) -> f64 {
        let due = now >= self.observed_at + OBSERVE_INTERVAL_MS;
        let usage_shares = if due { self.usage_shares(now) } else { Vec::new() };
        let usage_shares: Vec<(&str, f64)> = borrowed(&usage_shares);
        let mut worst_ratio: f64 = 0.0;
        for (name, run) in &mut self.runs {
            let (Some(tail), true) = (run.measurement, run.step.serves()) else { continue };
            if tail <= 0.0 {
                continue;
            }
            let target = run.step.target_ms as f64;
            worst_ratio = worst_ratio.max(tail / target);
            if !due {
                continue;
            }
            let contention = pressure::contention(tail / target);
            run.observe_contention(now, contention);
            if now < run.started + STARTUP_MS {
                continue;
            }
            let image = run.step.image.as_str();
            let load = loads.entry(name.job).or_default();
            let (added, variance) = pressure.added(image, &usage_shares);
            let measured = load.observe(now, contention, added, variance);
            if let Some(measured) = measured.filter(|_| policy.pressure) {
                own_pressure.observe(image, measured, &usage_shares);
            }
            run.load = if policy.waves { *load } else { load.steady() };
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

    /// Returns the pace allowed for each filling image, in percent.
    pub fn paces(&self, now: u64, pressure: &Pressure) -> BTreeMap<&str, u32> {
        let mut cores: BTreeMap<&str, f64> = BTreeMap::new();
        for run in self.runs.values() {
            if run.step.fills && !matches!(run.phase, Phase::Stopping { .. }) {
                *cores.entry(&run.step.image).or_default() += run.step.cores();
            }
        }
        self.paces_for((now, now + PACE_HORIZON_MS), now, pressure, &cores)
    }

    /// Returns the pace allowed for one more task of the step, in percent.
    pub fn pace_with(&self, now: u64, pressure: &Pressure, step: &Step) -> u32 {
        let mut cores: BTreeMap<&str, f64> = BTreeMap::new();
        for run in self.runs.values().filter(|run| run.step.fills) {
            *cores.entry(&run.step.image).or_default() += run.step.cores();
        }
        *cores.entry(&step.image).or_default() += step.cores();
        let until = now + step.estimate_ms.max(PLACEMENT_HORIZON_MS);
        self.paces_for((now, until), now, pressure, &cores)
            .get(step.image.as_str())
            .copied()
            .unwrap_or(100)
    }

    /// Returns the pace allowed for each filling image that requests `cores`, over a span of time in
    /// milliseconds.
    fn paces_for<'a>(
        &self,
        span: (u64, u64),
        now: u64,
        pressure: &Pressure,
        cores: &BTreeMap<&'a str, f64>,
    ) -> BTreeMap<&'a str, u32> {
        let mut paces: BTreeMap<&str, u32> = cores.keys().map(|image| (*image, 100)).collect();
        for (image, load) in self.serving_loads(span, now) {
            let mut used = 0.0;
            let mut levels: Vec<(f64, &str, f64)> = cores
                .iter()
                .map(|(filling, cores)| (pressure.level(image, filling), *filling, *cores))
                .collect();
            // Least harmful images first: the same contention budget then allows the most work.
            levels.sort_by(|a, b| a.0.total_cmp(&b.0));
            for (level, filling, cores) in levels {
                let added = level * cores / self.cores();
                let limit = pressure::TARGET_CONTENTION - margin::for_level(level);
                let budget = (limit - load - used).max(0.0);
                let percent = match added > budget {
                    true => (budget / added * 100.0) as u32,
                    false => 100,
                };
                used += added.min(budget);
                if added < NEGLIGIBLE_CONTENTION && load.is_finite() {
                    continue;
                }
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

    /// Returns the serving images at this worker with the highest load expected of their tasks over a
    /// span of time: infinite when a tail has exceeded its target for `HALT_AFTER_MS`.
    fn serving_loads(&self, (from, to): (u64, u64), now: u64) -> BTreeMap<&str, f64> {
        let mut serving_loads: BTreeMap<&str, f64> = BTreeMap::new();
        for run in self.runs.values().filter(|run| run.step.serves()) {
            let halted = run.over_target_since.is_some_and(|since| now >= since + HALT_AFTER_MS);
            let load = if halted { f64::INFINITY } else { run.load.highest(from, to) };
            let highest = serving_loads.entry(run.step.image.as_str()).or_default();
            *highest = highest.max(load);
        }
        serving_loads
    }
}

fn borrowed(shares: &[(String, f64)]) -> Vec<(&str, f64)> {
    shares.iter().map(|(image, share)| (image.as_str(), *share)).collect()
}
