//! What is known of the workers of a cell beyond their room: how batch work slows their services
//! down, and whether they fail what they start.

use {super::*, placement::Assessment, probation::State};

/// What is known of the workers of a cell beyond their room.
#[derive(Clone, Debug)]
pub struct Health {
    judge: probation::Tracker,
    model: interference::Model,
}

/// What follows from a report or an end.
#[derive(Clone, Debug, PartialEq)]
pub struct Orders {
    /// Whether nothing more may be started on the worker.
    pub hold: bool,
    /// What runs are made to do.
    pub reliefs: Vec<(worker::Run, Relief)>,
}

impl Health {
    /// Returns what is known of workers that have reported nothing.
    pub fn new() -> Self {
        let limits = interference::Limits::default();
        Self { judge: probation::Tracker::default(), model: interference::Model::new(limits) }
    }

    /// Replaces the workers.
    pub fn apply(&mut self, vms: &[config::Vm]) {
        let worker = |vm: &config::Vm| interference::Worker {
            processors_milli: vm.resources.processors_milli,
            slots: vm.slots,
            vm: vm.name.clone(),
        };
        self.model.apply(&vms.iter().map(worker).collect::<Vec<_>>());
    }

    /// Forgets a job that is over.
    pub fn close(&mut self, job: &job::Id) {
        self.judge.remove_job(job);
    }

    /// Takes in that a run starts on `vm`, and returns the thousandths of its processors to start it
    /// with, if not all.
    pub fn begin(
        &mut self,
        now: Instant,
        vm: &Name,
        running: &interference::Running,
    ) -> Option<u32> {
        match self.model.begin(now, vm, running)? {
            interference::Advice::Throttle { share_milli, .. } => Some(share_milli),
            _ => None,
        }
    }

    /// Takes in the end of a run that was started at `started`, and returns the jobs that can never run, each with the reason.
    pub fn ended(
        &mut self,
        now: Instant,
        started: Instant,
        vm: &Name,
        job: &job::Id,
        end: &worker::End,
    ) -> Vec<(job::Id, String)> {
        let verdicts: Vec<probation::Decision> = match end {
            worker::End::Failed { reason } => {
                self.judge.record_failure(now, vm, job, reason).into_iter().collect()
            }
            worker::End::Finished => self.judge.record_success(started, vm, job),
            _ => Vec::new(),
        };
        verdicts
            .into_iter()
            .filter_map(|verdict| match verdict {
                probation::Decision::FailJob { job, reason } => Some((job, reason)),
                probation::Decision::Probation { .. } | probation::Decision::Reinstate { .. } => {
                    None
                }
            })
            .collect()
    }

    /// Judges a worker, which may have runs now, as a place for a task.
    pub fn judge(
        &self,
        now: Instant,
        vm: &Name,
        busy: bool,
        demand: &placement::Demand,
    ) -> Assessment {
        match self.judge.state(now, vm) {
            State::Probation => Assessment::Refuse,
            State::Trial if busy => Assessment::Refuse,
            State::Healthy | State::Trial => {
                self.model.assess(vm, &demand.class, demand.resources.processors_milli)
            }
        }
    }

    /// Takes in a report, with the runs on the worker now.
    pub fn report(
        &mut self,
        now: Instant,
        vm: &Name,
        report: &worker::Report,
        running: &[interference::Running],
    ) -> Orders {
        let age = Duration::from_millis(report.age_ms);
        self.model.report(now, vm, age, &report.usage, running);
        let mut orders = Orders { hold: false, reliefs: Vec::new() };
        for advice in self.model.advise(now, vm) {
            match advice {
                interference::Advice::Evict { run } => orders.reliefs.push((run, Relief::Evict)),
                interference::Advice::Hold => orders.hold = true,
                interference::Advice::Release { run } => {
                    orders.reliefs.push((run, Relief::Throttle { share_milli: 1_000 }));
                }
                interference::Advice::Throttle { run, share_milli } => {
                    orders.reliefs.push((run, Relief::Throttle { share_milli }));
                }
            }
        }
        orders
    }
}

impl Default for Health {
    fn default() -> Self {
        Self::new()
    }
}
