//! Tells a worker that fails everything from a job that can never run, and contains each.

use super::*;

/// Failures of different jobs, or of jobs that have run elsewhere, with no success between, that
/// put a worker on probation.
pub const STRIKES_TO_SUSPECT: usize = 3;
/// Workers on which a job must fail, and each of which then does other work, before the job is
/// given up.
pub const VOUCHED_TO_GIVE_UP: usize = 3;
/// Workers on which a job must fail, whether or not they do other work, before it is given up.
pub const WORKERS_TO_GIVE_UP: usize = 8;
/// The first probation; each further one in a row is twice as long, up to `PROBATION_LIMIT`.
pub const PROBATION_STEP: Duration = Duration::from_secs(30);
/// The longest probation.
pub const PROBATION_LIMIT: Duration = Duration::from_secs(1_800);

/// What follows from an end of a run.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case", tag = "verdict")]
pub enum Verdict {
    /// The job can never run: fail it for good with this reason.
    GiveUp {
        /// The job.
        job: job::Id,
        /// What it said last, and where it failed.
        reason: String,
    },
    /// Start nothing on the worker until `until`, then one task at a time.
    Probation {
        /// When it may have a trial task.
        until: Instant,
        /// The VM.
        vm: Name,
    },
    /// The worker is in good standing again.
    Return {
        /// The VM.
        vm: Name,
    },
}

/// How much may be started on a worker.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Standing {
    /// As much as fits.
    Good,
    /// Nothing.
    Probation,
    /// One task, whose end decides.
    Trial,
}

/// The record of workers and of open jobs. State grows with workers and with open jobs.
#[derive(Clone, Debug, Default)]
pub struct Judge {
    jobs: BTreeMap<job::Id, Case>,
    workers: BTreeMap<Name, Record>,
}

/// What is held against a job.
#[derive(Clone, Debug, Default)]
struct Case {
    reason: String,
    /// Whether any task of it ever succeeded.
    succeeded: bool,
    /// Workers on which it failed, and whether each has done other work since.
    vms: BTreeMap<Name, bool>,
}

/// What is held against a worker.
#[derive(Clone, Debug, Default)]
struct Record {
    /// Probations in a row.
    probations: u32,
    /// Failures that count against it, oldest first, at most `STRIKES_TO_SUSPECT`.
    strikes: Vec<Strike>,
    /// End of the probation; a trial follows it.
    until: Option<Instant>,
}

/// A failure that counts against a worker.
#[derive(Clone, Debug)]
struct Strike {
    at: Instant,
    job: job::Id,
}

impl Judge {
    /// Forgets a job that is over.
    pub fn close(&mut self, job: &job::Id) {
        let Some(case) = self.jobs.remove(job) else { return };
        for vm in case.vms.keys() {
            if let Some(record) = self.workers.get_mut(vm) {
                record.withdraw(job);
            }
        }
    }

    /// Takes in a failure of a task on `vm`, for `reason`.
    pub fn failed(
        &mut self,
        now: Instant,
        vm: &Name,
        job: &job::Id,
        reason: &str,
    ) -> Option<Verdict> {
        let case = self.jobs.entry(job.clone()).or_default();
        let record = self.workers.entry(vm.clone()).or_default();
        if case.succeeded || record.strikes.iter().all(|strike| strike.job != *job) {
            record.strikes.push(Strike { at: now, job: job.clone() });
        }
        let on_trial = record.until.is_some();
        if on_trial || record.strikes.len() >= STRIKES_TO_SUSPECT {
            return Some(self.put_on_probation(now, vm));
        }
        if case.succeeded {
            return None;
        }
        case.reason = reason.into();
        case.vms.entry(vm.clone()).or_default();
        self.give_up(job)
    }

    /// Returns what may be started on `vm`.
    pub fn standing(&self, now: Instant, vm: &Name) -> Standing {
        match self.workers.get(vm).and_then(|record| record.until) {
            None => Standing::Good,
            Some(until) if until > now => Standing::Probation,
            Some(_) => Standing::Trial,
        }
    }

    /// Takes in a success of a run on `vm` that had started at `started`. It vouches for the worker
    /// against the jobs that failed there before that.
    pub fn succeeded(&mut self, started: Instant, vm: &Name, job: &job::Id) -> Vec<Verdict> {
        let case = self.jobs.entry(job.clone()).or_default();
        case.succeeded = true;
        case.vms.clear();
        let Some(record) = self.workers.get_mut(vm) else { return Vec::new() };
        let refuted: Vec<Strike> =
            record.strikes.extract_if(.., |strike| strike.at <= started).collect();
        let mut verdicts = Vec::new();
        if record.until.is_some_and(|until| until <= started) {
            self.workers.remove(vm);
            verdicts.push(Verdict::Return { vm: vm.clone() });
        }
        for strike in &refuted {
            let case = self.jobs.get_mut(&strike.job);
            if let Some(vouched) = case.and_then(|case| case.vms.get_mut(vm)) {
                *vouched = true;
            }
            verdicts.extend(self.give_up(&strike.job));
        }
        verdicts
    }

    /// Gives a job up when enough workers speak against it.
    fn give_up(&mut self, job: &job::Id) -> Option<Verdict> {
        let case = self.jobs.get(job)?;
        if !case.proven() {
            return None;
        }
        let reason = case.text();
        for vm in case.vms.keys() {
            if let Some(record) = self.workers.get_mut(vm) {
                record.withdraw(job);
            }
        }
        self.jobs.remove(job);
        Some(Verdict::GiveUp { job: job.clone(), reason })
    }

    /// Puts a worker on probation, and withdraws its failures from the jobs.
    fn put_on_probation(&mut self, now: Instant, vm: &Name) -> Verdict {
        let record = self.workers.entry(vm.clone()).or_default();
        for strike in std::mem::take(&mut record.strikes) {
            if let Some(case) = self.jobs.get_mut(&strike.job) {
                case.vms.remove(vm);
            }
        }
        let length = PROBATION_STEP * (1 << record.probations.min(10));
        let until = now + length.min(PROBATION_LIMIT);
        record.probations += 1;
        record.until = Some(until);
        Verdict::Probation { until, vm: vm.clone() }
    }
}

impl Record {
    fn withdraw(&mut self, job: &job::Id) {
        self.strikes.retain(|strike| strike.job != *job);
    }
}

impl Case {
    fn proven(&self) -> bool {
        let vouched = self.vms.values().filter(|vouched| **vouched).count();
        !self.succeeded && (vouched >= VOUCHED_TO_GIVE_UP || self.vms.len() >= WORKERS_TO_GIVE_UP)
    }

    fn text(&self) -> String {
        let vms: Vec<&str> = self.vms.keys().map(Name::as_str).collect();
        format!("failed on `{}` and succeeded nowhere: {}", vms.join("`, `"), self.reason)
    }
}
