//! The interference model of a cell and the measures that follow from its estimates.

use super::*;

/// Slowdown assumed for a class without reports, if it uses all processors of a worker.
const PRIOR_SLOWDOWN: f64 = 0.2;
/// Weight of `PRIOR_SLOWDOWN` in a class's mean; reports of the same total weight count as much.
const PRIOR_WEIGHT: f64 = 4.0;
/// Share of a worker's mean residual that is added to its estimated slowdown.
const RESIDUAL_WEIGHT: f64 = 0.5;
/// Lowest step that a run is started at.
const MIN_START_STEP: Step = Step::Quarter;
/// Placement cost of a throttled start, in proportion to the share of processors withheld.
const THROTTLED_COST: f64 = 0.2;
/// Time from the middle of a report's interval, to which its means apply, to the measurement.
const REPORT_MIDPOINT: Duration = Duration::from_secs(1);

/// Estimates the slowdown for each pair of service and class in each load band, and advises on
/// measures for each worker. The cost of a report or of advice depends on the runs of one worker
/// and on the number of classes, never on the number of workers.
#[derive(Clone, Debug)]
pub struct Model {
    /// Slowdown by a class that uses all processors of a worker, averaged over all services and
    /// load bands, by class number.
    class_means: Vec<f64>,
    /// Number of each class.
    classes: BTreeMap<Name, usize>,
    eviction_budget: Budget,
    /// Runs examined since construction.
    examined: u64,
    limits: Limits,
    /// By service number and load band.
    regressions: Vec<[Regression; load::LOAD_BANDS]>,
    /// Number of each service.
    services: BTreeMap<Name, usize>,
    workers: BTreeMap<Name, State>,
}

impl Model {
    /// Returns a model without workers or reports.
    pub fn new(limits: Limits) -> Self {
        Self {
            class_means: Vec::new(),
            classes: BTreeMap::new(),
            eviction_budget: Budget::default(),
            examined: 0,
            limits,
            regressions: Vec::new(),
            services: BTreeMap::new(),
            workers: BTreeMap::new(),
        }
    }

    /// Replaces the workers, and keeps the state of those that remain.
    pub fn apply(&mut self, workers: &[Worker]) {
        let mut old = std::mem::take(&mut self.workers);
        for worker in workers {
            let mut state = old.remove(&worker.vm).unwrap_or_else(|| State::new(worker));
            state.worker = worker.clone();
            self.workers.insert(worker.vm.clone(), state);
        }
    }

    /// Records a report on `vm` whose measurements are `age` old, and the runs there now.
    /// Measurements that are not newer than the last are ignored.
    pub fn report(
        &mut self,
        now: Instant,
        vm: &Name,
        age: Duration,
        usage: &task_worker::Usage,
        running: &[Running],
    ) {
        running.iter().for_each(|running| self.register_class(&running.class));
        let measured = now - age;
        let Some(state) = self.workers.get_mut(vm) else { return };
        if state.accept_measurement(measured) {
            usage.services.iter().for_each(|service| self.observe(measured, vm, service));
        }
        let Some(state) = self.workers.get_mut(vm) else { return };
        state.set_runs(running);
        self.examined += running.len() as u64;
        self.record_shares(now, vm);
    }

    /// Returns the measures to take on `vm`. `Hold` is repeated while it lasts; every other measure
    /// is returned once.
    pub fn advise(&mut self, now: Instant, vm: &Name) -> Vec<Advice> {
        let Some(state) = self.workers.get(vm) else { return Vec::new() };
        self.examined += state.runs.len() as u64;
        let limits = self.limits.at_load(state.forecast_load());
        let slowdown = self.slowdown(vm);
        let settled =
            state.last_change.is_none_or(|last_change| now.since(last_change) >= limits.settle);
        let mut advice = match slowdown {
            _ if !settled => Vec::new(),
            _ if slowdown > limits.throttle => self.reduce_slowdown(now, vm, &limits),
            _ if slowdown < limits.release => self.lift_throttle(now, vm, &limits),
            _ => Vec::new(),
        };
        if self.slowdown(vm) > limits.hold {
            advice.push(Advice::Hold);
        }
        advice
    }

    /// Records that a run starts on `vm`, so that it counts in the next placement before a report
    /// shows it. Returns the throttle to start it with, if any.
    pub fn start_run(&mut self, now: Instant, vm: &Name, running: &Running) -> Option<Advice> {
        self.register_class(&running.class);
        let state = self.workers.get(vm)?;
        let added_slowdown =
            state.share(running, Step::Full) * self.sensitivity(state, &running.class);
        let step = self.start_step(vm, added_slowdown).unwrap_or(MIN_START_STEP);
        self.workers.get_mut(vm)?.add_run(running, step);
        self.record_shares(now, vm);
        (step != Step::Full).then(|| step.advice(running.run.clone()))
    }

    /// Assesses `vm` as a place for a run of `class` with this many thousandths of a core. A run
    /// that has to start throttled costs more.
    pub fn assess(&self, vm: &Name, class: &Name, processors_milli: u64) -> placement::Assessment {
        let Some(state) = self.workers.get(vm) else { return placement::Assessment::Cost(0.0) };
        let share = processors_milli as f64 / state.worker.processors_milli as f64;
        let added_slowdown = share * self.sensitivity(state, class);
        let Some(step) = self.start_step(vm, added_slowdown) else {
            return placement::Assessment::Refuse;
        };
        let throttled_cost = (1.0 - step.share()) * THROTTLED_COST;
        placement::Assessment::Cost(
            self.slowdown(vm) + added_slowdown * step.share() + throttled_cost,
        )
    }

    /// Returns how many runs were examined since construction.
    pub fn examined(&self) -> u64 {
        self.examined
    }

    /// Returns the slowdown of `service` by a run of `class` that uses all processors of a worker,
    /// at this share of the slots in use.
    pub fn pair_slowdown(&self, service: &Name, class: &Name, load: f64) -> f64 {
        let (Some(service), Some(class)) = (self.services.get(service), self.classes.get(class))
        else {
            return PRIOR_SLOWDOWN;
        };
        self.pair_slowdown_by_number(*service, *class, load)
    }

    /// Returns the slowdown expected on `vm` by the time that a change made now takes effect.
    pub fn slowdown(&self, vm: &Name) -> f64 {
        let Some(state) = self.workers.get(vm) else { return 0.0 };
        let modelled: f64 = state
            .runs
            .iter()
            .filter(|running| !state.evicting.contains(&running.run))
            .map(|running| {
                state.share(running, state.step(&running.run))
                    * self.sensitivity(state, &running.class)
            })
            .sum();
        if state.runs.is_empty() { 0.0 } else { modelled + state.residual * RESIDUAL_WEIGHT }
    }

    fn register_class(&mut self, class: &Name) {
        if !self.classes.contains_key(class) {
            self.classes.insert(class.clone(), self.class_means.len());
            self.class_means.push(PRIOR_SLOWDOWN);
        }
    }

    fn register_service(&mut self, service: &Name) -> usize {
        if let Some(number) = self.services.get(service) {
            return *number;
        }
        self.services.insert(service.clone(), self.regressions.len());
        self.regressions.push(Default::default());
        self.regressions.len() - 1
    }

    /// Returns whether some throttled run could be raised by a step if it ran alone on the worker.
    fn can_lift_any(&self, state: &State, limits: &Limits) -> bool {
        state.runs.iter().any(|running| {
            let Some(up) = state.step(&running.run).up() else { return false };
            state.share(running, up) * self.sensitivity(state, &running.class) <= limits.hold
        })
    }

    /// Raises the throttled run that adds the least slowdown by one step, if the slowdown stays
    /// below `hold`.
    fn lift_throttle(&mut self, now: Instant, vm: &Name, limits: &Limits) -> Vec<Advice> {
        let slowdown = self.slowdown(vm);
        let Some(state) = self.workers.get(vm) else { return Vec::new() };
        let mut best: Option<(f64, Step, &task_worker::Run)> = None;
        for running in &state.runs {
            let step = state.step(&running.run);
            let Some(up) = step.up() else { continue };
            let gain = state.share(running, up) - state.share(running, step);
            let added_slowdown = gain * self.sensitivity(state, &running.class);
            let lower = best.is_none_or(|(least, ..)| added_slowdown < least);
            if lower && slowdown + added_slowdown < limits.hold {
                best = Some((added_slowdown, up, &running.run));
            }
        }
        let Some((_, step, run)) = best else { return Vec::new() };
        let run = run.clone();
        self.set_step(now, vm, &run, step);
        vec![step.advice(run)]
    }

    fn observe(&mut self, measured: Instant, vm: &Name, usage: &task_worker::ServiceUsage) {
        let service = self.register_service(&usage.service);
        let Some(state) = self.workers.get_mut(vm) else { return };
        let load = (usage.load / f64::from(state.worker.slots.max(1))).clamp(0.0, 1.0);
        state.loads.entry(service).or_default().observe(measured, load);
        let Some(shares) = state.shares_at(measured - REPORT_MIDPOINT) else { return };
        if usage.requests == 0 || !usage.mean_ms.is_finite() {
            return;
        }
        let mut shares = shares.to_vec();
        shares.resize(self.class_means.len(), 0.0);
        let requests = usage.requests as f64;
        let report =
            regression::Observation { load, mean_ms: usage.mean_ms, requests, shares: &shares };
        let regression = &mut self.regressions[service][Load::band(load)];
        let baseline_ms = regression.baseline_ms(load);
        if baseline_ms > 0.0 {
            let expected: f64 = shares
                .iter()
                .enumerate()
                .map(|(i, x)| x * regression.class_slowdown(i, load).0)
                .sum();
            state.update_residual(usage.mean_ms / baseline_ms - 1.0 - expected);
        }
        regression.observe(measured, &report, &self.class_means);
        self.update_class_means();
    }

    fn pair_slowdown_by_number(&self, service: usize, class: usize, load: f64) -> f64 {
        let (own, weight) = self.regressions[service][Load::band(load)].class_slowdown(class, load);
        if weight > 0.0 { own } else { self.class_means[class] }
    }

    /// Recomputes the class means, the priors of pairs with little data.
    fn update_class_means(&mut self) {
        for (class, mean) in self.class_means.iter_mut().enumerate() {
            let mut sum = PRIOR_SLOWDOWN * PRIOR_WEIGHT;
            let mut weights = PRIOR_WEIGHT;
            for regression in self.regressions.iter().flatten() {
                let (slowdown, weight) = regression.class_slowdown(class, 0.5);
                sum += slowdown * weight;
                weights += weight;
            }
            *mean = sum / weights;
        }
    }

    /// Throttles the runs that slow services most per processor, and evicts one if no run can be
    /// throttled further.
    fn reduce_slowdown(&mut self, now: Instant, vm: &Name, limits: &Limits) -> Vec<Advice> {
        let mut advice = Vec::new();
        while self.slowdown(vm) > limits.hold {
            let Some((run, step)) = self.next_throttle(vm) else { break };
            self.set_step(now, vm, &run, step);
            advice.retain(
                |earlier| !matches!(earlier, Advice::Throttle { run: other, .. } if *other == run),
            );
            advice.push(step.advice(run));
        }
        let advised = !advice.is_empty();
        if !advised && self.slowdown(vm) > limits.evict {
            advice.extend(self.evict(now, vm));
        }
        advice
    }

    /// Evicts the run with the largest slowdown in proportion to the work that its eviction loses.
    fn evict(&mut self, now: Instant, vm: &Name) -> Option<Advice> {
        let state = self.workers.get(vm)?;
        let value = |running: &Running| {
            let share = state.share(running, state.step(&running.run));
            let relief = share * self.sensitivity(state, &running.class);
            let elapsed = now.since(running.since).as_secs_f64();
            relief / if running.checkpoints { 1.0 } else { 1.0 + elapsed }
        };
        let left = state.runs.iter().filter(|running| !state.evicting.contains(&running.run));
        let chosen = left.max_by(|a, b| value(a).total_cmp(&value(b)))?;
        let run = chosen.run.clone();
        if !self.eviction_budget.take(now, self.workers.len(), &self.limits) {
            return None;
        }
        let state = self.workers.get_mut(vm)?;
        state.evicting.insert(run.clone());
        state.last_change = Some(now);
        Some(Advice::Evict { run })
    }

    fn record_shares(&mut self, now: Instant, vm: &Name) {
        let Some(state) = self.workers.get_mut(vm) else { return };
        let mut shares = vec![0.0; self.class_means.len()];
        for running in &state.runs {
            if let Some(class) = self.classes.get(&running.class) {
                shares[*class] += state.share(running, state.step(&running.run));
            }
        }
        state.record_shares(now, shares);
    }

    /// Returns the largest slowdown of any service on the worker by a run of `class` that uses all
    /// processors.
    fn sensitivity(&self, state: &State, class: &Name) -> f64 {
        if state.loads.is_empty() {
            return 0.0;
        }
        let Some(class) = self.classes.get(class) else { return PRIOR_SLOWDOWN };
        let pairs = state
            .loads
            .iter()
            .map(|(service, load)| self.pair_slowdown_by_number(*service, *class, load.forecast()));
        pairs.reduce(f64::max).unwrap_or(0.0)
    }

    fn set_step(&mut self, now: Instant, vm: &Name, run: &task_worker::Run, step: Step) {
        if let Some(state) = self.workers.get_mut(vm) {
            state.last_change = Some(now);
            match step {
                Step::Full => state.steps.remove(run),
                _ => state.steps.insert(run.clone(), step),
            };
        }
        self.record_shares(now, vm);
    }

    /// Returns the step at which a run that adds `added_slowdown` at its full share may start: the
    /// highest at which it could run alone on the worker, or `MIN_START_STEP`, if the total with
    /// the other runs is acceptable.
    fn start_step(&self, vm: &Name, added_slowdown: f64) -> Option<Step> {
        let state = self.workers.get(vm)?;
        let limits = self.limits.at_load(state.forecast_load());
        let mut step = Step::Full;
        while added_slowdown * step.share() > limits.hold && step != MIN_START_STEP {
            step = step.down()?;
        }
        let limit = if self.can_lift_any(state, &limits) { limits.release } else { limits.hold };
        let acceptable = self.slowdown(vm) + added_slowdown * step.share() <= limit;
        acceptable.then_some(step)
    }

    /// Returns the run to throttle next and its next step down.
    fn next_throttle(&self, vm: &Name) -> Option<(task_worker::Run, Step)> {
        let state = self.workers.get(vm)?;
        let mut worst: Option<(f64, &Running, Step)> = None;
        for running in &state.runs {
            let Some(down) = state.step(&running.run).down() else { continue };
            if state.evicting.contains(&running.run) {
                continue;
            }
            let sensitivity = self.sensitivity(state, &running.class);
            if worst.is_none_or(|(most, ..)| sensitivity > most) {
                worst = Some((sensitivity, running, down));
            }
        }
        let (_, running, step) = worst?;
        Some((running.run.clone(), step))
    }
}
