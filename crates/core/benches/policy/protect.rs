//! Reports of the workers, and the reaction of each policy to them.

use super::*;

/// Delay from the end of a measurement to the arrival of its report, in milliseconds.
const REPORT_LAG_MS: std::ops::Range<u64> = 1_000..3_000;
/// Utilisation of a worker above which the policy with the fixed threshold evicts runs and places
/// none.
const UTILISATION_THRESHOLD: f64 = 0.8;

impl Simulation {
    /// Ends a worker's measurement window and sends its report.
    pub(crate) fn end_window(&mut self, vm: usize) {
        self.clock.schedule(self.now + simulation::REPORT_INTERVAL, Event::WindowEnd { vm });
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
        let batch_utilisation: f64 = self.vms[vm].class_utilisation.iter().sum();
        let deployment = &self.trial.deployment;
        let cores = batch_utilisation * deployment.cores as f64 + load * self.cores_per_request();
        let total =
            Resources { processors_milli: (cores * 1_000.0) as u64, ..Resources::default() };
        let usage = worker::Usage { runs: Vec::new(), services: vec![service], total };
        let age = Duration::from_millis(self.random.random_range(REPORT_LAG_MS));
        self.clock.schedule(self.now + age, Event::Report { age, usage, vm });
    }

    /// Processes a worker's report.
    pub(crate) fn report(&mut self, vm: usize, age: Duration, usage: &worker::Usage) {
        let load: f64 = usage.services.iter().map(|service| service.load).sum();
        self.urgent_cores[vm] = load * self.cores_per_request();
        match self.trial.policy {
            Policy::Blind | Policy::None => {}
            Policy::Fixed => self.evict_above_threshold(vm, usage),
            Policy::Ours => self.protect(vm, age, usage),
        }
    }

    /// Places a task on a worker whose services tolerate its interference, and which is not on
    /// probation; on trial, a worker gets a single task.
    pub(crate) fn place_by_interference(
        &mut self,
        demand: &placement::Demand,
    ) -> Result<Name, placement::Refusal> {
        let (probation, model, now) = (&self.probation, &self.model, self.now);
        let (indices, vms) = (&self.vm_indices, &self.vms);
        self.placer.place_by(demand, |vm| match probation.state(now, vm) {
            probation::State::Probation => placement::Assessment::Refuse,
            probation::State::Trial if !vms[indices[vm]].units.is_empty() => {
                placement::Assessment::Refuse
            }
            _ => model.assess(vm, &demand.class, demand.resources.processors_milli),
        })
    }

    /// Places a task on a worker that stays below the threshold with it.
    pub(crate) fn place_below_threshold(
        &mut self,
        demand: &placement::Demand,
    ) -> Result<Name, placement::Refusal> {
        let cores = self.trial.deployment.cores as f64;
        let (vms, indices, urgent_cores) = (&self.vms, &self.vm_indices, &self.urgent_cores);
        let units = &self.units;
        let needed_cores = demand.resources.processors_milli as f64 / 1_000.0;
        self.placer.place_by(demand, |vm| {
            let vm = indices[vm];
            let batch_cores: f64 = vms[vm].units.iter().map(|unit| units[*unit].cores()).sum();
            let fits =
                (urgent_cores[vm] + batch_cores + needed_cores) / cores <= UTILISATION_THRESHOLD;
            if fits { placement::Assessment::Cost(0.0) } else { placement::Assessment::Refuse }
        })
    }

    /// Throttles a starting unit to the share of its processors that the model advises.
    pub(crate) fn throttle_start(&mut self, unit: usize, vm: usize) {
        let Some(running) = self.running(unit) else { return };
        let advice = self.model.start_run(self.now, &self.vms[vm].name, &running);
        advice.iter().for_each(|advice| self.apply_advice(advice));
    }

    /// Returns the processors that one request uses.
    fn cores_per_request(&self) -> f64 {
        self.trial.deployment.reserved_cores as f64 / f64::from(deployment::SLOTS)
    }

    fn evict_above_threshold(&mut self, vm: usize, usage: &worker::Usage) {
        let capacity = self.trial.deployment.cores as f64;
        let mut cores = usage.total.processors_milli as f64 / 1_000.0;
        let newest: Vec<usize> = self.vms[vm].units.iter().rev().copied().collect();
        for unit in newest {
            if cores / capacity <= UTILISATION_THRESHOLD {
                return;
            }
            cores -= self.units[unit].cores();
            self.evict(unit);
        }
    }

    /// Applies the advice of the interference model that follows a report.
    fn protect(&mut self, vm: usize, age: Duration, usage: &worker::Usage) {
        let name = self.vms[vm].name.clone();
        let running: Vec<interference::Running> =
            self.vms[vm].units.iter().filter_map(|unit| self.running(*unit)).collect();
        self.model.report(self.now, &name, age, usage, &running);
        let advice = self.model.advise(self.now, &name);
        let on_probation = self.vms_on_probation.contains(&vm);
        let hold = advice.contains(&interference::Advice::Hold);
        if !on_probation {
            self.placer.set_closed(&name, hold);
        }
        advice.iter().for_each(|advice| self.apply_advice(advice));
    }

    fn apply_advice(&mut self, advice: &interference::Advice) {
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
            run: unit.latest_run(),
            since: run.since,
        })
    }
}
