//! The estimate of a cell and the measures that follow from it.

use super::*;

/// Slowdown by a worker full of a class of which nothing is known.
const UNKNOWN_SLOWDOWN: f64 = 0.2;
/// Evidence at which a class's own mean counts as much as `UNKNOWN_SLOWDOWN`.
const UNKNOWN_WEIGHT: f64 = 4.0;
/// Share of a worker's own residual that is believed.
const RESIDUAL_TRUST: f64 = 0.5;
/// The least share that a run is started with.
const LEAST_START: Step = Step::Quarter;
/// Cost of a start without any of its processors.
const THROTTLED_COST: f64 = 0.2;
/// Part of an interval between reports over which its mean is centred before its end.
const REPORT_CENTRE: Duration = Duration::from_secs(1);

/// Estimates slowdowns for each pair of service and class and each load band, and says what to do
/// on each worker. The cost of a report or of advice depends on the runs of one worker and on the
/// number of classes, never on the number of workers.
#[derive(Clone, Debug)]
pub struct Model {
    /// Slowdown by a worker full of each class, over all services and bands, by class number.
    class_means: Vec<f64>,
    classes: BTreeMap<Name, usize>,
    evictions: Evictions,
    /// Runs looked at since construction.
    examined: u64,
    limits: Limits,
    /// By service number and load band.
    moments: Vec<[Moments; occupancy::BANDS]>,
    services: BTreeMap<Name, usize>,
    sites: BTreeMap<Name, Site>,
}

impl Model {
    /// Returns a model that has seen no report.
    pub fn new(limits: Limits) -> Self {
        Self {
            class_means: Vec::new(),
            classes: BTreeMap::new(),
            evictions: Evictions::default(),
            examined: 0,
            limits,
            moments: Vec::new(),
            services: BTreeMap::new(),
            sites: BTreeMap::new(),
        }
    }

    /// Replaces the workers; what is known of one that stays is kept.
    pub fn apply(&mut self, workers: &[Worker]) {
        let mut old = std::mem::take(&mut self.sites);
        for worker in workers {
            let mut site = old.remove(&worker.vm).unwrap_or_else(|| Site::new(worker));
            site.worker = worker.clone();
            self.sites.insert(worker.vm.clone(), site);
        }
    }

    /// Takes in a report on `vm` whose measurements are `age` old, and the runs there now.
    /// Measurements that were taken in before, or are older than these, are ignored.
    pub fn report(
        &mut self,
        now: Instant,
        vm: &Name,
        age: Duration,
        usage: &task_worker::Usage,
        running: &[Running],
    ) {
        running.iter().for_each(|running| self.learn_class(&running.class));
        let measured = now - age;
        let Some(site) = self.sites.get_mut(vm) else { return };
        if site.is_news(measured) {
            usage.services.iter().for_each(|service| self.observe(measured, vm, service));
        }
        let Some(site) = self.sites.get_mut(vm) else { return };
        site.set_runs(running);
        self.examined += running.len() as u64;
        self.remember(now, vm);
    }

    /// Returns what to do on `vm`; `Hold` comes each time while it lasts, every other measure once.
    pub fn advise(&mut self, now: Instant, vm: &Name) -> Vec<Advice> {
        let Some(site) = self.sites.get(vm) else { return Vec::new() };
        self.examined += site.runs.len() as u64;
        let limits = self.limits.at(site.load_ahead());
        let slowdown = self.slowdown(vm);
        let settled = site.changed.is_none_or(|changed| now.since(changed) >= limits.settle);
        let mut advice = match slowdown {
            _ if !settled => Vec::new(),
            _ if slowdown > limits.throttle => self.relieve(now, vm, &limits),
            _ if slowdown < limits.release => self.lift(now, vm, &limits),
            _ => Vec::new(),
        };
        if self.slowdown(vm) > limits.hold {
            advice.push(Advice::Hold);
        }
        advice
    }

    /// Takes in that a run starts on `vm`, so that the next choice counts it before a report does.
    /// Returns the throttle to start it with, if any.
    pub fn begin(&mut self, now: Instant, vm: &Name, running: &Running) -> Option<Advice> {
        self.learn_class(&running.class);
        let site = self.sites.get(vm)?;
        let added = site.share(running, Step::Full) * self.sensitivity(site, &running.class);
        let step = self.start_step(vm, added).unwrap_or(LEAST_START);
        self.sites.get_mut(vm)?.add_run(running, step);
        self.remember(now, vm);
        (step != Step::Full).then(|| step.advice(running.run.clone()))
    }

    /// Judges a run of `class` with this many thousandths of a core as an addition to `vm`. A run
    /// that would only do throttled costs more.
    pub fn judge(&self, vm: &Name, class: &Name, processors_milli: u64) -> placement::Judgement {
        let Some(site) = self.sites.get(vm) else { return placement::Judgement::Cost(0.0) };
        let share = processors_milli as f64 / site.worker.processors_milli as f64;
        let added = share * self.sensitivity(site, class);
        let Some(step) = self.start_step(vm, added) else { return placement::Judgement::Refuse };
        let lost = (1.0 - step.share()) * THROTTLED_COST;
        placement::Judgement::Cost(self.slowdown(vm) + added * step.share() + lost)
    }

    /// Returns how many runs were looked at since construction.
    pub fn examined(&self) -> u64 {
        self.examined
    }

    /// Returns the slowdown of `service` by a worker full of `class` at this share of the slots.
    pub fn pair(&self, service: &Name, class: &Name, load: f64) -> f64 {
        let (Some(service), Some(class)) = (self.services.get(service), self.classes.get(class))
        else {
            return UNKNOWN_SLOWDOWN;
        };
        self.pair_by_number(*service, *class, load)
    }

    /// Returns the slowdown expected on `vm` once a change made now would take effect.
    pub fn slowdown(&self, vm: &Name) -> f64 {
        let Some(site) = self.sites.get(vm) else { return 0.0 };
        let modelled: f64 = site
            .runs
            .iter()
            .filter(|running| !site.evicting.contains(&running.run))
            .map(|running| {
                site.share(running, site.step(&running.run))
                    * self.sensitivity(site, &running.class)
            })
            .sum();
        if site.runs.is_empty() { 0.0 } else { modelled + site.residual * RESIDUAL_TRUST }
    }

    fn learn_class(&mut self, class: &Name) {
        if !self.classes.contains_key(class) {
            self.classes.insert(class.clone(), self.class_means.len());
            self.class_means.push(UNKNOWN_SLOWDOWN);
        }
    }

    fn learn_service(&mut self, service: &Name) -> usize {
        if let Some(number) = self.services.get(service) {
            return *number;
        }
        self.services.insert(service.clone(), self.moments.len());
        self.moments.push(Default::default());
        self.moments.len() - 1
    }

    /// Returns whether a throttled run could have its next step up if it were alone.
    fn liftable(&self, site: &Site, limits: &Limits) -> bool {
        site.runs.iter().any(|running| {
            let Some(up) = site.step(&running.run).up() else { return false };
            site.share(running, up) * self.sensitivity(site, &running.class) <= limits.hold
        })
    }

    /// Lifts one throttle by one step where the slowdown stays below the limit.
    fn lift(&mut self, now: Instant, vm: &Name, limits: &Limits) -> Vec<Advice> {
        let slowdown = self.slowdown(vm);
        let Some(site) = self.sites.get(vm) else { return Vec::new() };
        let mut best: Option<(f64, Step, &task_worker::Run)> = None;
        for running in &site.runs {
            let step = site.step(&running.run);
            let Some(up) = step.up() else { continue };
            let gain = site.share(running, up) - site.share(running, step);
            let added = gain * self.sensitivity(site, &running.class);
            let lower = best.is_none_or(|(least, ..)| added < least);
            if lower && slowdown + added < limits.hold {
                best = Some((added, up, &running.run));
            }
        }
        let Some((_, step, run)) = best else { return Vec::new() };
        let run = run.clone();
        self.set_step(now, vm, &run, step);
        vec![step.advice(run)]
    }

    fn observe(&mut self, measured: Instant, vm: &Name, usage: &task_worker::ServiceUsage) {
        let service = self.learn_service(&usage.service);
        let Some(site) = self.sites.get_mut(vm) else { return };
        let load = (usage.load / f64::from(site.worker.slots.max(1))).clamp(0.0, 1.0);
        site.loads.entry(service).or_default().observe(measured, load);
        let Some(shares) = site.past(measured - REPORT_CENTRE) else { return };
        if usage.requests == 0 || !usage.mean_ms.is_finite() {
            return;
        }
        let mut shares = shares.to_vec();
        shares.resize(self.class_means.len(), 0.0);
        let requests = usage.requests as f64;
        let report =
            moments::Observation { load, mean_ms: usage.mean_ms, requests, shares: &shares };
        let moments = &mut self.moments[service][Occupancy::band(load)];
        let alone = moments.alone(load);
        if alone > 0.0 {
            let expected: f64 =
                shares.iter().enumerate().map(|(i, x)| x * moments.class(i, load).0).sum();
            site.learn(usage.mean_ms / alone - 1.0 - expected);
        }
        moments.observe(measured, &report, &self.class_means);
        self.pool();
    }

    fn pair_by_number(&self, service: usize, class: usize, load: f64) -> f64 {
        let (own, weight) = self.moments[service][Occupancy::band(load)].class(class, load);
        if weight > 0.0 { own } else { self.class_means[class] }
    }

    /// Renews the class means that thin pairs are shrunk to.
    fn pool(&mut self) {
        for (class, mean) in self.class_means.iter_mut().enumerate() {
            let mut sum = UNKNOWN_SLOWDOWN * UNKNOWN_WEIGHT;
            let mut weights = UNKNOWN_WEIGHT;
            for moments in self.moments.iter().flatten() {
                let (slowdown, weight) = moments.class(class, 0.5);
                sum += slowdown * weight;
                weights += weight;
            }
            *mean = sum / weights;
        }
    }

    /// Throttles the runs that slow services most for each processor, and evicts when that is not
    /// enough.
    fn relieve(&mut self, now: Instant, vm: &Name, limits: &Limits) -> Vec<Advice> {
        let mut advice = Vec::new();
        while self.slowdown(vm) > limits.hold {
            let Some((run, step)) = self.worst(vm) else { break };
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

    /// Picks the run whose eviction relieves most for the work that it throws away.
    fn evict(&mut self, now: Instant, vm: &Name) -> Option<Advice> {
        let site = self.sites.get(vm)?;
        let value = |running: &Running| {
            let share = site.share(running, site.step(&running.run));
            let relief = share * self.sensitivity(site, &running.class);
            let elapsed = now.since(running.since).as_secs_f64();
            relief / if running.checkpoints { 1.0 } else { 1.0 + elapsed }
        };
        let left = site.runs.iter().filter(|running| !site.evicting.contains(&running.run));
        let chosen = left.max_by(|a, b| value(a).total_cmp(&value(b)))?;
        let run = chosen.run.clone();
        if !self.evictions.allow(now, self.sites.len(), &self.limits) {
            return None;
        }
        let site = self.sites.get_mut(vm)?;
        site.evicting.insert(run.clone());
        site.changed = Some(now);
        Some(Advice::Evict { run })
    }

    fn remember(&mut self, now: Instant, vm: &Name) {
        let Some(site) = self.sites.get_mut(vm) else { return };
        let mut shares = vec![0.0; self.class_means.len()];
        for running in &site.runs {
            if let Some(class) = self.classes.get(&running.class) {
                shares[*class] += site.share(running, site.step(&running.run));
            }
        }
        site.remember(now, shares);
    }

    /// Returns the largest slowdown of any service on the worker by a worker full of `class`.
    fn sensitivity(&self, site: &Site, class: &Name) -> f64 {
        if site.loads.is_empty() {
            return 0.0;
        }
        let Some(class) = self.classes.get(class) else { return UNKNOWN_SLOWDOWN };
        let pairs = site
            .loads
            .iter()
            .map(|(service, load)| self.pair_by_number(*service, *class, load.ahead()));
        pairs.reduce(f64::max).unwrap_or(0.0)
    }

    fn set_step(&mut self, now: Instant, vm: &Name, run: &task_worker::Run, step: Step) {
        if let Some(site) = self.sites.get_mut(vm) {
            site.changed = Some(now);
            match step {
                Step::Full => site.steps.remove(run),
                _ => site.steps.insert(run.clone(), step),
            };
        }
        self.remember(now, vm);
    }

    /// Returns the share that a run which adds `added` at its full share may start with: the largest
    /// that it could have alone on the worker, if that is bearable beside the others.
    fn start_step(&self, vm: &Name, added: f64) -> Option<Step> {
        let site = self.sites.get(vm)?;
        let limits = self.limits.at(site.load_ahead());
        let mut step = Step::Full;
        while added * step.share() > limits.hold && step != LEAST_START {
            step = step.down()?;
        }
        let limit = if self.liftable(site, &limits) { limits.release } else { limits.hold };
        let bearable = self.slowdown(vm) + added * step.share() <= limit;
        bearable.then_some(step)
    }

    /// Returns the run to throttle next, with its next step down.
    fn worst(&self, vm: &Name) -> Option<(task_worker::Run, Step)> {
        let site = self.sites.get(vm)?;
        let mut worst: Option<(f64, &Running, Step)> = None;
        for running in &site.runs {
            let Some(down) = site.step(&running.run).down() else { continue };
            if site.evicting.contains(&running.run) {
                continue;
            }
            let sensitivity = self.sensitivity(site, &running.class);
            if worst.is_none_or(|(most, ..)| sensitivity > most) {
                worst = Some((sensitivity, running, down));
            }
        }
        let (_, running, step) = worst?;
        Some((running.run.clone(), step))
    }
}
