//! Distinguishes a worker that fails every task from a job that can never run: the worker is put on
//! probation, the job is failed.

use super::*;

/// Failures without a success in between that put a worker on probation. Failures of different jobs
/// count, and every failure of a job that has succeeded somewhere.
pub const FAILURES_TO_PROBATION: usize = 3;
/// Workers on which a job must fail, each confirmed healthy by a later success of another job,
/// before the job is failed for good.
pub const CONFIRMED_WORKERS_TO_FAIL_JOB: usize = 3;
/// Workers on which a job must fail, confirmed healthy or not, before it is failed for good.
pub const WORKERS_TO_FAIL_JOB: usize = 8;
/// Length of the first probation; each consecutive one is twice as long, up to `MAX_PROBATION`.
pub const INITIAL_PROBATION: Duration = Duration::from_secs(30);
/// Longest probation.
pub const MAX_PROBATION: Duration = Duration::from_secs(1_800);

/// A decision that follows from the end of a run.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case", tag = "verdict")]
pub enum Decision {
    /// The job can never run: fail it for good with this reason.
    #[serde(rename = "give_up")]
    FailJob {
        /// The job.
        job: job::Id,
        /// The workers on which it failed, and the reason of its last failure.
        reason: String,
    },
    /// Start no task on the worker until `until`, then one trial task at a time.
    Probation {
        /// When the first trial task may start.
        until: Instant,
        /// The VM.
        vm: Name,
    },
    /// The worker's trial task succeeded: start tasks on it without restriction.
    #[serde(rename = "return")]
    Reinstate {
        /// The VM.
        vm: Name,
    },
}

/// How many tasks may be started on a worker.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum State {
    /// As many as fit.
    #[serde(rename = "good")]
    Healthy,
    /// None.
    Probation,
    /// One task, whose outcome ends or extends the probation.
    Trial,
}

/// Tracks the failures and successes of workers and of open jobs. Its size is proportional to the
/// number of workers and open jobs.
#[derive(Clone, Debug, Default)]
pub struct Tracker {
    jobs: BTreeMap<job::Id, Job>,
    workers: BTreeMap<Name, Worker>,
}

/// The failures of a job.
#[derive(Clone, Debug, Default)]
struct Job {
    /// Reason of the last failure.
    reason: String,
    /// Whether any task of it ever succeeded.
    succeeded: bool,
    /// Workers on which it failed, each with whether a run of another job, started after the
    /// failure, has succeeded there.
    failed_vms: BTreeMap<Name, bool>,
}

/// The failures and probations of a worker.
#[derive(Clone, Debug, Default)]
struct Worker {
    /// Consecutive probations.
    probations: u32,
    /// Failures attributed to the worker, oldest first, at most `FAILURES_TO_PROBATION`.
    failures: Vec<Failure>,
    /// End of the probation, after which a trial task may start; `None` for a healthy worker.
    probation_end: Option<Instant>,
}

/// A failure attributed to a worker.
#[derive(Clone, Debug)]
struct Failure {
    failed_at: Instant,
    job: job::Id,
}

impl Tracker {
    /// Removes a job that is over, with its failures on all workers.
    pub fn remove_job(&mut self, job: &job::Id) {
        let Some(history) = self.jobs.remove(job) else { return };
        for vm in history.failed_vms.keys() {
            if let Some(worker) = self.workers.get_mut(vm) {
                worker.remove_failures(job);
            }
        }
    }

    /// Records a failure of a task of `job` on `vm`. A failure during a trial, or too many failures,
    /// put the worker on probation; otherwise the job may be failed.
    pub fn record_failure(
        &mut self,
        now: Instant,
        vm: &Name,
        job: &job::Id,
        reason: &str,
    ) -> Option<Decision> {
        let history = self.jobs.entry(job.clone()).or_default();
        let worker = self.workers.entry(vm.clone()).or_default();
        if history.succeeded || worker.failures.iter().all(|failure| failure.job != *job) {
            worker.failures.push(Failure { failed_at: now, job: job.clone() });
        }
        let in_trial = worker.probation_end.is_some();
        if in_trial || worker.failures.len() >= FAILURES_TO_PROBATION {
            return Some(self.start_probation(now, vm));
        }
        if history.succeeded {
            return None;
        }
        history.reason = reason.into();
        history.failed_vms.entry(vm.clone()).or_default();
        self.check_job(job)
    }

    /// Returns how many tasks may be started on `vm`.
    pub fn state(&self, now: Instant, vm: &Name) -> State {
        match self.workers.get(vm).and_then(|worker| worker.probation_end) {
            None => State::Healthy,
            Some(until) if until > now => State::Probation,
            Some(_) => State::Trial,
        }
    }

    /// Records a success on `vm` of a run that was started at `started`. It confirms that the
    /// worker was healthy when jobs failed there up to `started`, so those failures count against
    /// the jobs.
    pub fn record_success(&mut self, started: Instant, vm: &Name, job: &job::Id) -> Vec<Decision> {
        let history = self.jobs.entry(job.clone()).or_default();
        history.succeeded = true;
        history.failed_vms.clear();
        let Some(worker) = self.workers.get_mut(vm) else { return Vec::new() };
        let cleared: Vec<Failure> =
            worker.failures.extract_if(.., |failure| failure.failed_at <= started).collect();
        let mut decisions = Vec::new();
        if worker.probation_end.is_some_and(|until| until <= started) {
            self.workers.remove(vm);
            decisions.push(Decision::Reinstate { vm: vm.clone() });
        }
        for failure in &cleared {
            let history = self.jobs.get_mut(&failure.job);
            if let Some(confirmed) = history.and_then(|history| history.failed_vms.get_mut(vm)) {
                *confirmed = true;
            }
            decisions.extend(self.check_job(&failure.job));
        }
        decisions
    }

    /// Removes a job that has failed on enough workers, and returns `FailJob` for it.
    fn check_job(&mut self, job: &job::Id) -> Option<Decision> {
        let history = self.jobs.get(job)?;
        if !history.cannot_run() {
            return None;
        }
        let reason = history.reason();
        for vm in history.failed_vms.keys() {
            if let Some(worker) = self.workers.get_mut(vm) {
                worker.remove_failures(job);
            }
        }
        self.jobs.remove(job);
        Some(Decision::FailJob { job: job.clone(), reason })
    }

    /// Puts a worker on probation, and no longer counts its failures against the jobs.
    fn start_probation(&mut self, now: Instant, vm: &Name) -> Decision {
        let worker = self.workers.entry(vm.clone()).or_default();
        for failure in std::mem::take(&mut worker.failures) {
            if let Some(history) = self.jobs.get_mut(&failure.job) {
                history.failed_vms.remove(vm);
            }
        }
        let length = INITIAL_PROBATION * (1 << worker.probations.min(10));
        let until = now + length.min(MAX_PROBATION);
        worker.probations += 1;
        worker.probation_end = Some(until);
        Decision::Probation { until, vm: vm.clone() }
    }
}

impl Worker {
    fn remove_failures(&mut self, job: &job::Id) {
        self.failures.retain(|failure| failure.job != *job);
    }
}

impl Job {
    fn cannot_run(&self) -> bool {
        let confirmed = self.failed_vms.values().filter(|confirmed| **confirmed).count();
        !self.succeeded
            && (confirmed >= CONFIRMED_WORKERS_TO_FAIL_JOB
                || self.failed_vms.len() >= WORKERS_TO_FAIL_JOB)
    }

    fn reason(&self) -> String {
        let vms: Vec<&str> = self.failed_vms.keys().map(Name::as_str).collect();
        format!("failed on `{}` and succeeded nowhere: {}", vms.join("`, `"), self.reason)
    }
}
