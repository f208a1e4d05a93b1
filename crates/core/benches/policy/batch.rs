//! Simulation of batch jobs, their tasks and their runs.

use super::*;

/// Interval between two passes over the queue.
const QUEUE_INTERVAL: Duration = Duration::from_secs(1);
/// Largest number of tasks of a job.
const MAX_TASKS_PER_JOB: u32 = 8;
/// Run time of a task at its full share of processors, in seconds.
const TASK_SECONDS: std::ops::Range<f64> = 20.0..60.0;
/// Memory of a task per core, in GiB.
const GIB_PER_CORE: u64 = 2;
/// Share of the jobs that fail wherever they run.
const IMPOSSIBLE_SHARE: f64 = 0.01;
/// Time from the start of a failing run to its failure, in seconds.
const FAILURE_SECONDS: f64 = 1.0;
/// Pause of a task after a refused start; after a failed run it is doubled for each failure, up to
/// five times.
const RETRY_PAUSE: Duration = Duration::from_secs(2);
/// Failures after which a baseline abandons a task.
const MAX_FAILURES: u32 = 10;
/// Work between the last checkpoint and an eviction, which is repeated, in seconds.
const CHECKPOINT_LOSS_SECONDS: f64 = 1.0;

impl Simulation {
    /// Submits jobs for the batch work that has arrived, and places waiting tasks.
    pub(crate) fn tick(&mut self) {
        self.clock.schedule(self.now + QUEUE_INTERVAL, Event::Tick);
        let capacity_core_seconds =
            self.trial.deployment.shared_cores() as f64 * QUEUE_INTERVAL.as_secs_f64();
        self.offered_core_seconds[0] += self.trial.scenario.batch_load() * capacity_core_seconds;
        self.offered_core_seconds[1] += self.trial.scenario.wave(self.now) * capacity_core_seconds;
        while self.offered_core_seconds[0] > 0.0 {
            let class = self.draw_class();
            self.offered_core_seconds[0] -= self.submit(class);
        }
        while self.offered_core_seconds[1] > 0.0 {
            let class = self.random.random_range(class::NOISY..self.truth.classes.len());
            self.offered_core_seconds[1] -= self.submit(class);
        }
        self.reopen_vms();
        self.place_all();
    }

    /// Adds the work that a unit's run has done since its last update.
    pub(crate) fn advance(&mut self, unit: usize) {
        let now = self.now;
        if let Some(run) = self.units[unit].run.as_mut() {
            run.advance(now);
        }
    }

    /// Writes a checkpoint, if the class has them, and stops a run; its unit goes to the head of
    /// its lane.
    pub(crate) fn evict(&mut self, unit: usize) {
        self.advance(unit);
        let checkpoints = self.truth.classes[self.units[unit].class].checkpoints;
        let done = self.units[unit].run.as_ref().map_or(0.0, |run| run.done);
        let kept = if checkpoints { done - CHECKPOINT_LOSS_SECONDS } else { 0.0 };
        self.figures.evictions += u64::from(self.is_measuring());
        self.interrupt(unit, kept);
    }

    /// Ends a run on a lost VM whose lease has expired.
    pub(crate) fn expire_lease(&mut self, unit: usize) {
        self.interrupt(unit, 0.0);
    }

    /// Processes the end of a run. Ignores it if the end was rescheduled, which changes the
    /// generation.
    pub(crate) fn run_end(&mut self, unit: usize, generation: u32) {
        if self.units[unit].generation != generation {
            return;
        }
        let Some(run) = self.units[unit].run.clone() else { return };
        self.leave_vm(unit);
        if run.fails {
            self.fail(unit, run.vm);
        } else {
            self.finish(unit, &run);
        }
    }

    /// Limits a run to a share of its processors and reschedules its end.
    pub(crate) fn set_share(&mut self, unit: usize, share: f64) {
        self.advance(unit);
        let Some(run) = self.units[unit].run.as_mut() else { return };
        run.share = share;
        let vm = run.vm;
        self.schedule_end(unit);
        self.refresh_utilisation(vm);
    }

    /// Returns a random class, weighted by its share of the ordinary work.
    fn draw_class(&mut self) -> usize {
        let mut remainder = self.random.random::<f64>();
        for (i, class) in self.truth.classes.iter().enumerate() {
            remainder -= class.mix;
            if remainder < 0.0 {
                return i;
            }
        }
        0
    }

    fn fail(&mut self, unit: usize, vm: usize) {
        self.figures.failures += u64::from(self.is_measuring());
        let job = self.units[unit].demand.task.job.clone();
        let waiting = &mut self.units[unit];
        waiting.failures += 1;
        waiting.not_before = self.now + RETRY_PAUSE * (1 << waiting.failures.min(5));
        let failed_too_often = waiting.failures >= MAX_FAILURES;
        if self.trial.policy == Policy::Ours {
            self.requeue(unit, false);
            let name = self.vms[vm].name.clone();
            let decision = self.probation.record_failure(self.now, &name, &job, "exit status 1");
            decision.iter().for_each(|decision| self.apply_decision(decision));
        } else if failed_too_often {
            self.abandon(unit);
        } else {
            self.requeue(unit, false);
        }
    }

    fn finish(&mut self, unit: usize, run: &Run) {
        self.units[unit].over = true;
        let work = self.units[unit].cores() * self.units[unit].length;
        if self.is_measuring() {
            self.figures.batch_core_hours += work / 3_600.0;
            if self.units[unit].class >= class::NOISY {
                self.figures.noisy_core_hours[1] += work / 3_600.0;
            }
        }
        if self.trial.policy == Policy::Ours {
            let job = self.units[unit].demand.task.job.clone();
            let name = self.vms[run.vm].name.clone();
            let decisions = self.probation.record_success(run.since, &name, &job);
            decisions.iter().for_each(|decision| self.apply_decision(decision));
        }
    }

    fn apply_decision(&mut self, decision: &probation::Decision) {
        match decision {
            probation::Decision::FailJob { job, .. } => {
                let task = |index| task::Id { index, job: job.clone() };
                let units: Vec<usize> = (0..MAX_TASKS_PER_JOB)
                    .filter_map(|index| self.tasks.get(&task(index)).copied())
                    .collect();
                units.into_iter().for_each(|unit| self.abandon(unit));
            }
            probation::Decision::Probation { vm, .. } => {
                self.vms_on_probation.insert(self.vm_indices[vm]);
                self.placer.set_closed(vm, true);
            }
            probation::Decision::Reinstate { vm } => {
                self.vms_on_probation.remove(&self.vm_indices[vm]);
                self.placer.set_closed(vm, false);
            }
        }
    }

    /// Ends a task without success, and stops its run if it has one.
    fn abandon(&mut self, unit: usize) {
        if self.units[unit].over {
            return;
        }
        if self.units[unit].run.is_some() {
            self.leave_vm(unit);
        }
        self.units[unit].over = true;
        self.figures.tasks_wrongly_failed += u64::from(!self.units[unit].impossible);
    }

    /// Stops a run; the first `kept` seconds of its work are not repeated.
    fn interrupt(&mut self, unit: usize, kept: f64) {
        let Some(run) = self.units[unit].run.clone() else { return };
        let kept = kept.max(self.units[unit].done);
        if self.is_measuring() {
            self.figures.wasted_core_hours +=
                (run.done - kept) * self.units[unit].cores() / 3_600.0;
        }
        self.units[unit].done = kept;
        self.leave_vm(unit);
        self.requeue(unit, true);
    }

    /// Removes a unit's run from its VM and releases its resources and quota.
    fn leave_vm(&mut self, unit: usize) {
        let Some(run) = self.units[unit].run.take() else { return };
        self.units[unit].generation += 1;
        self.vms[run.vm].units.remove(&unit);
        let demand = &self.units[unit].demand;
        self.placer.release(&demand.task);
        self.quota.refund(&demand.team, &demand.resources);
        self.refresh_utilisation(run.vm);
    }

    /// Reopens the VMs whose probation has ended for one trial task.
    fn reopen_vms(&mut self) {
        for vm in &self.vms_on_probation {
            let name = &self.vms[*vm].name;
            if self.probation.state(self.now, name) == probation::State::Trial {
                self.placer.set_closed(name, false);
            }
        }
    }

    /// Places waiting units until none fits, always of the team that uses the least of its quota.
    fn place_all(&mut self) {
        let mut blocked = BTreeSet::new();
        let mut refused: BTreeMap<usize, u64> = BTreeMap::new();
        loop {
            let next = self.quota.order().find(|team| !blocked.contains(*team)).cloned();
            let Some(team) = next else { return };
            if !self.place_one(&team, &mut refused) {
                blocked.insert(team);
            }
        }
    }

    /// Places one unit of a team, from the first lane whose head fits, or removes a finished one.
    /// `refused` holds the least processors, by class, for which no VM was found in this pass.
    fn place_one(&mut self, team: &Name, refused: &mut BTreeMap<usize, u64>) -> bool {
        for unit in self.queue.heads(team) {
            let waiting = &self.units[unit];
            let class = waiting.class;
            let size = waiting.demand.resources.processors_milli;
            if waiting.over {
                self.queue.pop(team, class);
                self.quota.dequeue(team, 1);
                return true;
            }
            if waiting.not_before > self.now {
                self.queue.pop(team, class);
                self.queue.push(unit, &self.units[unit]);
                continue;
            }
            if refused.get(&class).is_some_and(|least| size >= *least) {
                continue;
            }
            match self.choose_vm(unit) {
                Some(vm) => {
                    self.queue.pop(team, class);
                    self.quota.dequeue(team, 1);
                    self.start(unit, vm);
                    return true;
                }
                None => {
                    refused.insert(class, size);
                }
            }
        }
        false
    }

    /// Chooses a VM for a unit and charges its team's quota.
    fn choose_vm(&mut self, unit: usize) -> Option<usize> {
        let demand = self.units[unit].demand.clone();
        self.quota.charge(&demand.team, &demand.resources).ok()?;
        let vm = match self.trial.policy {
            Policy::Ours => self.place_by_interference(&demand),
            Policy::Fixed => self.place_below_threshold(&demand),
            Policy::Blind | Policy::None => self.placer.place(&demand),
        };
        match vm {
            Ok(name) => Some(self.vm_indices[&name]),
            Err(_) => {
                self.quota.refund(&demand.team, &demand.resources);
                None
            }
        }
    }

    fn refresh_utilisation(&mut self, vm: usize) {
        let cores = self.trial.deployment.cores as f64;
        let mut class_utilisation = vec![0.0; self.truth.classes.len()];
        for unit in &self.vms[vm].units {
            let unit = &self.units[*unit];
            let share = unit.run.as_ref().map_or(0.0, |run| run.share);
            class_utilisation[unit.class] += unit.cores() * share / cores;
        }
        let total: f64 = class_utilisation.iter().sum();
        assert!(total <= 1.0 + 1e-9, "more processors than the worker has");
        self.vms[vm].class_utilisation = class_utilisation;
    }

    /// Puts a unit at the head or the end of its lane.
    fn requeue(&mut self, unit: usize, first: bool) {
        let waiting = &self.units[unit];
        if first {
            self.queue.push_front(unit, waiting);
        } else {
            self.queue.push(unit, waiting);
        }
        let team = waiting.demand.team.clone();
        self.quota.enqueue(&team, 1);
    }

    fn schedule_end(&mut self, unit: usize) {
        let running = &mut self.units[unit];
        running.generation += 1;
        let generation = running.generation;
        let Some(run) = running.run.as_ref() else { return };
        let seconds = match run.fails {
            true => FAILURE_SECONDS,
            false => ((running.length - run.done) / run.share).max(0.0),
        };
        let at = self.now + Duration::from_secs_f64(seconds);
        self.clock.schedule(at, Event::RunEnd { generation, unit });
    }

    fn start(&mut self, unit: usize, vm: usize) {
        if self.vms[vm].health == vm::Health::Lost {
            self.refuse_start(unit);
            return;
        }
        let waiting = &mut self.units[unit];
        waiting.attempt += 1;
        let fails = waiting.impossible || self.vms[vm].health == vm::Health::Failing;
        waiting.run = Some(Run {
            done: waiting.done,
            fails,
            share: 1.0,
            since: self.now,
            updated: self.now,
            vm,
        });
        self.vms[vm].units.insert(unit);
        self.schedule_end(unit);
        self.refresh_utilisation(vm);
        if self.trial.policy == Policy::Ours {
            self.throttle_start(unit, vm);
        }
    }

    /// Returns a unit to the queue after a lost VM did not start it.
    fn refuse_start(&mut self, unit: usize) {
        let demand = self.units[unit].demand.clone();
        self.placer.release(&demand.task);
        self.quota.refund(&demand.team, &demand.resources);
        self.units[unit].not_before = self.now + RETRY_PAUSE;
        self.requeue(unit, false);
    }

    /// Submits a random job of a class. Returns its work in core-seconds.
    fn submit(&mut self, class: usize) -> f64 {
        self.job_count += 1;
        let job = job::Id { cell: "fake.0".parse().expect("a cell"), serial: self.job_count };
        let team = self.teams[self.random.random_range(0..simulation::TEAMS)].clone();
        let impossible = self.random.random::<f64>() < IMPOSSIBLE_SHARE;
        let cores = self.trial.deployment.task_cores << self.random.random_range(0..3);
        let resources = deployment::amount(cores, cores * GIB_PER_CORE);
        let tasks = self.random.random_range(1..=MAX_TASKS_PER_JOB);
        let mut work = 0.0;
        for index in 0..tasks {
            let task = task::Id { index, job: job.clone() };
            let class_name = self.truth.classes[class].name.clone();
            let demand =
                placement::Demand { class: class_name, resources, task, team: team.clone() };
            let length = self.random.random_range(TASK_SECONDS);
            let unit = Unit::new(demand, class, impossible, length);
            work += unit.cores() * unit.length;
            self.tasks.insert(unit.demand.task.clone(), self.units.len());
            self.units.push(unit);
            self.requeue(self.units.len() - 1, false);
        }
        if self.is_measuring() && class >= class::NOISY {
            self.figures.noisy_core_hours[0] += work / 3_600.0;
        }
        work
    }
}
