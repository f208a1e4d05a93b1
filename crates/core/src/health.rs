//! Health of the workers of a cell: how much batch work slows their services down, and whether
//! they fail the tasks started on them. Combines interference limits and probation, so that
//! placement avoids both kinds of worker.

use {super::*, placement::Assessment, probation::State};

/// Interference and failure history of the workers of a cell.
#[derive(Clone, Debug)]
pub struct Health {
    probation: probation::Tracker,
    interference: interference::Model,
}

/// Measures on one worker that protect its services.
#[derive(Clone, Debug, PartialEq)]
pub struct Measures {
    /// Whether nothing more may be started on the worker.
    pub hold: bool,
    /// Evictions and throttles of runs.
    pub reliefs: Vec<(worker::Run, Relief)>,
}

impl Health {
    /// Returns the state before any report, without workers.
    pub fn new() -> Self {
        let limits = interference::Limits::default();
        Self {
            probation: probation::Tracker::default(),
            interference: interference::Model::new(limits),
        }
    }

    /// Replaces the workers.
    pub fn apply(&mut self, vms: &[config::Vm]) {
        let worker = |vm: &config::Vm| interference::Worker {
            processors_milli: vm.resources.processors_milli,
            slots: vm.slots,
            vm: vm.name.clone(),
        };
        self.interference.apply(&vms.iter().map(worker).collect::<Vec<_>>());
    }

    /// Removes a job that is over, with its failures on all workers.
    pub fn remove_job(&mut self, job: &job::Id) {
        self.probation.remove_job(job);
    }

    /// Records that a run starts on `vm`. Returns the share of its processors, in thousandths, to
    /// start it with, or `None` for all of them.
    pub fn start_run(
        &mut self,
        now: Instant,
        vm: &Name,
        running: &interference::Running,
    ) -> Option<u32> {
        match self.interference.start_run(now, vm, running)? {
            interference::Advice::Throttle { share_milli, .. } => Some(share_milli),
            _ => None,
        }
    }

    /// Records the end of a run that was started at `started`. Returns the jobs that fail wherever
    /// they run and are to be given up, each with the reason.
    pub fn end_run(
        &mut self,
        now: Instant,
        started: Instant,
        vm: &Name,
        job: &job::Id,
        end: &worker::End,
    ) -> Vec<(job::Id, String)> {
        let decisions: Vec<probation::Decision> = match end {
            worker::End::Failed { reason } => {
                self.probation.record_failure(now, vm, job, reason).into_iter().collect()
            }
            worker::End::Finished => self.probation.record_success(started, vm, job),
            _ => Vec::new(),
        };
        decisions
            .into_iter()
            .filter_map(|decision| match decision {
                probation::Decision::FailJob { job, reason } => Some((job, reason)),
                probation::Decision::Probation { .. } | probation::Decision::Reinstate { .. } => {
                    None
                }
            })
            .collect()
    }

    /// Returns the cost of placing a task on a worker, or a refusal. `busy` says whether the worker
    /// has runs: one on trial gets a single task at a time.
    pub fn assess(
        &self,
        now: Instant,
        vm: &Name,
        busy: bool,
        demand: &placement::Demand,
    ) -> Assessment {
        match self.probation.state(now, vm) {
            State::Probation => Assessment::Refuse,
            State::Trial if busy => Assessment::Refuse,
            State::Healthy | State::Trial => {
                self.interference.assess(vm, &demand.class, demand.resources.processors_milli)
            }
        }
    }

    /// Records a report, with the runs on the worker now, and returns the measures that follow.
    pub fn report(
        &mut self,
        now: Instant,
        vm: &Name,
        report: &worker::Report,
        running: &[interference::Running],
    ) -> Measures {
        let age = Duration::from_millis(report.age_ms);
        self.interference.report(now, vm, age, &report.usage, running);
        let mut measures = Measures { hold: false, reliefs: Vec::new() };
        for advice in self.interference.advise(now, vm) {
            match advice {
                interference::Advice::Evict { run } => measures.reliefs.push((run, Relief::Evict)),
                interference::Advice::Hold => measures.hold = true,
                interference::Advice::Release { run } => {
                    measures.reliefs.push((run, Relief::Throttle { share_milli: 1_000 }));
                }
                interference::Advice::Throttle { run, share_milli } => {
                    measures.reliefs.push((run, Relief::Throttle { share_milli }));
                }
            }
        }
        measures
    }
}

impl Default for Health {
    fn default() -> Self {
        Self::new()
    }
}
