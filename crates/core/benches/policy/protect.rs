//! Reports of the workers, and what each policy makes of them.

use super::*;

/// How late a report is, beyond its measurement.
const LAG_MS: std::ops::Range<u64> = 1_000..3_000;
/// Utilisation above which the fixed threshold evicts and adds nothing.
const THRESHOLD: f64 = 0.8;

impl World {
    /// Closes a worker's measurement and sends it on its way.
    pub(crate) fn window(&mut self, vm: usize) {
        self.clock.at(self.now + world::REPORT_INTERVAL, Event::Window { vm });
        if self.vms[vm].health == vm::Health::Lost {
            return;
        }
        let (load, mean_ms, requests) = self.vms[vm].measure(self.now);
        let service = worker::ServiceUsage {
            load,
            mean_ms: self.truth.reported_ms(mean_ms),
            requests,
            service: unit::name("service"),
        };
        let batch: f64 = self.vms[vm].pressure.iter().sum();
        let deployment = &self.trial.deployment;
        let cores = batch * deployment.cores as f64 + load * self.cores_per_request();
        let total =
            Resources { processors_milli: (cores * 1_000.0) as u64, ..Resources::default() };
        let usage = worker::Usage { runs: Vec::new(), services: vec![service], total };
        let age = Duration::from_millis(self.random.random_range(LAG_MS));
        self.clock.at(self.now + age, Event::Report { age, usage, vm });
    }

    /// Takes in a worker's report.
    pub(crate) fn report(&mut self, vm: usize, age: Duration, usage: &worker::Usage) {
        let load: f64 = usage.services.iter().map(|service| service.load).sum();
        self.urgent_cores[vm] = load * self.cores_per_request();
        match self.trial.policy {
            Policy::Blind | Policy::None => {}
            Policy::Fixed => self.evict_above_threshold(vm, usage),
            Policy::Ours => self.protect(vm, age, usage),
        }
    }

    /// Places where interference allows and the worker is in good standing.
    pub(crate) fn choose_protected(
        &mut self,
        demand: &placement::Demand,
    ) -> Result<Name, placement::Refusal> {
        let (judge, model, now) = (&self.judge, &self.model, self.now);
        let (numbers, vms) = (&self.vm_numbers, &self.vms);
        self.placer.place_by(demand, |vm| match judge.state(now, vm) {
            probation::State::Probation => placement::Assessment::Refuse,
            probation::State::Trial if !vms[numbers[vm]].units.is_empty() => {
                placement::Assessment::Refuse
            }
            _ => model.assess(vm, &demand.class, demand.resources.processors_milli),
        })
    }

    /// Places where the worker stays below the threshold.
    pub(crate) fn choose_below_threshold(
        &mut self,
        demand: &placement::Demand,
    ) -> Result<Name, placement::Refusal> {
        let cores = self.trial.deployment.cores as f64;
        let (vms, numbers, urgent) = (&self.vms, &self.vm_numbers, &self.urgent_cores);
        let units = &self.units;
        let needs = demand.resources.processors_milli as f64 / 1_000.0;
        self.placer.place_by(demand, |vm| {
            let vm = numbers[vm];
            let batch: f64 = vms[vm].units.iter().map(|unit| units[*unit].cores()).sum();
            let fits = (urgent[vm] + batch + needs) / cores <= THRESHOLD;
            if fits { placement::Assessment::Cost(0.0) } else { placement::Assessment::Refuse }
        })
    }

    /// Starts a unit with the share that the services of its worker bear.
    pub(crate) fn protect_from(&mut self, unit: usize, vm: usize) {
        let Some(running) = self.running(unit) else { return };
        let advice = self.model.begin(self.now, &self.vms[vm].name, &running);
        advice.iter().for_each(|advice| self.carry_out(advice));
    }

    fn cores_per_request(&self) -> f64 {
        self.trial.deployment.reserved_cores as f64 / f64::from(deployment::SLOTS)
    }

    fn evict_above_threshold(&mut self, vm: usize, usage: &worker::Usage) {
        let capacity = self.trial.deployment.cores as f64;
        let mut cores = usage.total.processors_milli as f64 / 1_000.0;
        let newest: Vec<usize> = self.vms[vm].units.iter().rev().copied().collect();
        for unit in newest {
            if cores / capacity <= THRESHOLD {
                return;
            }
            cores -= self.units[unit].cores();
            self.evict(unit);
        }
    }

    fn protect(&mut self, vm: usize, age: Duration, usage: &worker::Usage) {
        let name = self.vms[vm].name.clone();
        let running: Vec<interference::Running> =
            self.vms[vm].units.iter().filter_map(|unit| self.running(*unit)).collect();
        self.model.report(self.now, &name, age, usage, &running);
        let advice = self.model.advise(self.now, &name);
        let on_probation = self.probation.contains(&vm);
        let hold = advice.contains(&interference::Advice::Hold);
        if !on_probation {
            self.placer.set_closed(&name, hold);
        }
        advice.iter().for_each(|advice| self.carry_out(advice));
    }

    fn carry_out(&mut self, advice: &interference::Advice) {
        let unit = |run: &worker::Run| self.tasks[&run.task];
        match advice {
            interference::Advice::Evict { run } => self.evict(unit(run)),
            interference::Advice::Hold => {}
            interference::Advice::Release { run } => self.set_share(unit(run), 1.0),
            interference::Advice::Throttle { run, share_milli } => {
                self.set_share(unit(run), f64::from(*share_milli) / 1_000.0)
            }
        }
    }

    fn running(&self, unit: usize) -> Option<interference::Running> {
        let unit = &self.units[unit];
        let run = unit.run.as_ref()?;
        Some(interference::Running {
            checkpoints: self.truth.classes[unit.class].checkpoints,
            class: unit.demand.class.clone(),
            processors_milli: unit.demand.resources.processors_milli,
            run: unit.run_name(),
            since: run.since,
        })
    }
}
