//! Notes crashes of workers against the runs that they held, and gives up jobs whose tasks crash
//! workers.

use {
    super::*,
    action::{Proof, Report},
    run::Phase,
    task::Status,
};

/// Least share of a rack's workers in the cell with a common cause, in percent.
const MIN_COMMON_PERCENT: usize = 50;
/// Number of silences that are kept.
const MAX_SILENCES: usize = 256;
/// How long the start of a task that an earlier owner may have started, or under which one worker has
/// crashed, waits to be recorded, in milliseconds. Most such tasks are innocent; one under which more
/// workers have crashed waits until the store is back.
pub(crate) const RECORD_WAIT_MS: u64 = 1_000;
/// How long a suspect keeps other suspects away from its worker, in milliseconds. One under which a
/// worker crashed later than that is seldom the cause, and would hold up the others for long.
const MAX_TRIAL_MS: u64 = 5_000;
/// How long a lasting task that is suspect waits for a worker without other suspects, in milliseconds: less than
/// `SPLIT_AFTER_MS`, after which it may be sent to another cell.
const MAX_APART_MS: u64 = 500;
/// How long the fate of a worker whose lease has run out may stay unknown, in milliseconds, before the
/// worker is forgotten.
const MAX_SILENCE_MS: u64 = 30_000;

/// A worker that fell silent.
#[derive(Debug)]
pub(crate) struct Silence {
    at: u64,
    labels: Vec<String>,
    worker: Arc<str>,
}

/// A run that a crashed worker held.
struct Candidate {
    name: task::Name,
    run: u32,
    lifetime: Lifetime,
    /// The number of earlier crashes under the task.
    level: usize,
}

impl Cell {
    /// Notes that a worker has missed its first poll. One that has not answered this owner yet may have
    /// been down all along, or is to take the place of a crashed one.
    pub(crate) fn note_silence(&mut self, clock: Clock, id: &Arc<str>) {
        let Some(worker) = self.workers.get_mut(id) else { return };
        if worker.silent_since.is_some() || !worker.fenced {
            return;
        }
        worker.silent_since = Some(clock.now);
        let labels = worker.registration.as_ref().map(|entry| entry.labels.clone());
        let labels = labels.unwrap_or_default();
        self.silences.push_back(Silence { at: clock.now, labels, worker: id.clone() });
        if self.silences.len() > MAX_SILENCES {
            self.silences.pop_front();
        }
    }

    /// Notes the crash of a worker against the tasks of the runs that it held. Without `confirmed`, only
    /// its lease has run out. A worker that announced that it would leave has not crashed.
    pub(crate) fn suspect_runs(&mut self, id: &Arc<str>, confirmed: bool) {
        let Some(worker) = self.workers.get(id) else { return };
        let Some(entry) = worker.registration.as_ref().filter(|entry| !entry.draining) else {
            return;
        };
        let labels = entry.labels.clone();
        let candidates = self.candidates(worker);
        if confirmed {
            self.confirm_lapsed(id);
        }
        if candidates.is_empty() {
            return;
        }
        let runs = candidates.len();
        let excused = self.has_common_cause(id);
        self.report(Report::Crash { worker: id.clone(), confirmed, runs, excused });
        let top = candidates.iter().map(|candidate| candidate.level).max().unwrap_or(0);
        let most_suspect = candidates.iter().filter(|candidate| candidate.level == top);
        let jobs: BTreeSet<job::Id> = most_suspect.map(|candidate| candidate.name.job).collect();
        for Candidate { name, run, lifetime, level } in candidates {
            let singled_out = level == top && jobs.len() == 1 && !excused;
            self.suspect(name, Crash { run, confirmed, singled_out, lifetime }, &labels);
        }
    }

    /// Returns the runs of a worker that may have crashed it: those of open tasks that were ordered
    /// before it fell silent.
    fn candidates(&self, worker: &Worker) -> Vec<Candidate> {
        let candidate = |(name, run): (&task::Name, &Run)| {
            let before = worker.silent_since.is_none_or(|since| run.started <= since);
            let ordered = !matches!(run.phase, Phase::Planned { .. });
            let task = self.jobs.get(&name.job)?.task(name)?;
            let open =
                matches!(&task.status, Status::Active { run: active, .. } if *active == run.number);
            (before && ordered && open).then(|| Candidate {
                name: *name,
                run: run.number,
                lifetime: worker.lifetime(run),
                level: task.suspicion.level_before(run.number),
            })
        };
        worker.runs.iter().filter_map(candidate).collect()
    }

    /// Notes a crash against a task, and gives up its job once it is proven that the task crashes
    /// workers.
    fn suspect(&mut self, name: task::Name, crash: Crash, labels: &[String]) {
        let Some(job) = self.jobs.get_mut(&name.job) else { return };
        let open = job.final_state.is_none();
        let Some(stage) = job.stage_mut(name.occurrence, name.step) else { return };
        let lasting = stage.step.lasting;
        let Some(task) = stage.tasks.get_mut(usize::from(name.index)) else { return };
        task.suspicion.add(crash, labels);
        let (crashes, proven) = (task.suspicion.level(), task.suspicion.is_proven(lasting));
        self.mark_dirty(name.job);
        self.placement_due = true;
        if proven && open {
            self.report(Report::GivenUp { task: name, crashes });
            self.fail_job(name.job);
        }
    }

    /// Returns whether much of a worker's rack fell silent together with it: the cause is then the rack,
    /// or the zone, rather than a task.
    fn has_common_cause(&self, id: &Arc<str>) -> bool {
        let Some(own) = self.silences.iter().rev().find(|silence| silence.worker == *id) else {
            return false;
        };
        let together = |other: &&Silence| {
            own.labels == other.labels && own.at.abs_diff(other.at) <= suspicion::COMMON_CAUSE_MS
        };
        let silent: BTreeSet<&Arc<str>> =
            self.silences.iter().filter(together).map(|silence| &silence.worker).collect();
        let in_rack = |worker: &&Worker| {
            worker.fenced
                && worker.registration.as_ref().is_some_and(|entry| entry.labels == own.labels)
        };
        let rack = self.workers.values().filter(in_rack).count();
        silent.len() >= suspicion::MIN_COMMON_WORKERS
            && silent.len() * 100 >= rack * MIN_COMMON_PERCENT
    }

    /// Notes the lapse of a worker's lease against its runs, until it is known whether it has crashed.
    pub(crate) fn suspect_lapsed(&mut self, id: &Arc<str>) {
        self.suspect_runs(id, false);
        if let Some(worker) = self.workers.get_mut(id) {
            let runs = worker.runs.iter().map(|(name, run)| (*name, run.number));
            let runs: Vec<(task::Name, u32)> = runs.collect();
            worker.lapsed_runs.extend(runs);
        }
    }

    /// Confirms the crash of a worker whose lease had run out before.
    fn confirm_lapsed(&mut self, id: &Arc<str>) {
        let Some(worker) = self.workers.get_mut(id) else { return };
        for (name, run) in std::mem::take(&mut worker.lapsed_runs) {
            let task = self.jobs.get(&name.job).and_then(|job| job.task(&name));
            let known = task.and_then(|task| {
                task.suspicion.crashes().iter().find(|crash| crash.run == run).cloned()
            });
            if let Some(crash) = known {
                self.suspect(name, Crash { confirmed: true, ..crash }, &[]);
            }
        }
    }

    /// Drops the suspicion of runs whose worker answers again: it was only cut off.
    pub(crate) fn retract_lapsed(&mut self, id: &Arc<str>) {
        let Some(worker) = self.workers.get_mut(id) else { return };
        for (name, run) in std::mem::take(&mut worker.lapsed_runs) {
            let Some(job) = self.jobs.get_mut(&name.job) else { continue };
            let Some(task) = job.task_mut(&name) else { continue };
            task.suspicion.retract(run);
            self.mark_dirty(name.job);
        }
    }

    /// Ends the trial of a task that has run for long enough, and drops its suspicion if the run has
    /// outlived the crashes.
    pub(crate) fn clear_survivor(&mut self, id: &Arc<str>, name: task::Name) {
        let Some(worker) = self.workers.get_mut(id) else { return };
        let Some(run) = worker.runs.get(&name).filter(|run| run.suspicion > 0) else { return };
        let survived_ms = worker.lifetime(run).survived_ms;
        let Some(job) = self.jobs.get_mut(&name.job) else { return };
        let Some(task) = job.task_mut(&name) else { return };
        let refuted = task.suspicion.is_refuted_by(survived_ms);
        if !refuted && survived_ms < MAX_TRIAL_MS {
            return;
        }
        if let Some(run) = worker.runs.get_mut(&name) {
            run.suspicion = 0;
        }
        if refuted {
            task.suspicion = Suspicion::default();
            self.mark_dirty(name.job);
        }
        self.placement_due = true;
    }

    /// Returns whether a suspect task has to wait: another task of its job under which several workers
    /// have crashed is being tried, and may settle the job's fate.
    pub(crate) fn waits_for_trial(&self, name: &task::Name) -> bool {
        let Some(job) = self.jobs.get(&name.job) else { return false };
        let strong =
            |name: &task::Name| job.task(name).is_some_and(|task| task.suspicion.is_strong());
        let on_trial = |worker: &Worker| {
            let mut runs = worker.runs.range(task::Name::all_of(name.job));
            runs.any(|(other, run)| run.suspicion > 1 && strong(other))
        };
        job.task(name).is_some_and(|task| task.suspicion.level() > 0)
            && self.workers.values().any(on_trial)
    }

    /// Returns whether a waiting task keeps away from workers with other suspects. Where many workers have crashed,
    /// every worker has some, and a lasting task has to run again in time.
    pub(crate) fn is_kept_apart(&self, now: u64, step: &Step, task: &task::Task) -> bool {
        let waited = task.ready_since.is_some_and(|since| now >= since + MAX_APART_MS);
        !(step.lasting && waited)
    }

    /// Notes since when the suspects among the waiting tasks of a lasting step have been ready to start.
    pub(crate) fn note_ready(&mut self, now: u64, id: job::Id, occurrence: u32, step: u16) {
        let stage = self.jobs.get_mut(&id).and_then(|job| job.stage_mut(occurrence, step));
        let Some(stage) = stage.filter(|stage| stage.step.lasting) else { return };
        for &index in &stage.waiting {
            if let Some(task) = stage.tasks.get_mut(usize::from(index))
                && task.suspicion.level() > 0
            {
                task.ready_since.get_or_insert(now);
            }
        }
    }

    /// Notes in the traces of a worker's suspects that they share it, if the run of `name` is one of them.
    pub(crate) fn note_shared(&mut self, id: &Arc<str>, name: task::Name) {
        let Some(worker) = self.workers.get(id) else { return };
        let suspects = worker.runs.iter().filter(|(_, run)| run.suspicion > 0);
        let suspects: Vec<task::Name> = suspects.map(|(suspect, _)| *suspect).collect();
        let others = suspects.iter().any(|suspect| suspect.job != name.job);
        if !others || !suspects.contains(&name) {
            return;
        }
        for suspect in suspects {
            let task = self.jobs.get_mut(&suspect.job).and_then(|job| job.task_mut(&suspect));
            let trace = task.and_then(|task| task.trace.as_mut());
            if let Some(trace) = trace.filter(|trace| !trace.shared) {
                trace.shared = true;
                self.mark_dirty(suspect.job);
            }
        }
    }

    /// Orders the planned starts that are recorded. Those whose worker gets no new runs any more are
    /// dropped. While the workers' entries are too old they wait: placing them anew would take another record, and an
    /// owner that is slow, whose view grows old again and again, would never start them.
    pub(crate) fn order_planned(&mut self, clock: Clock) {
        let may_start = self.lease_ms(clock.now).is_some() && !self.view_stale;
        let longest_ms = self.limits.longest_lease_ms();
        for (id, name) in std::mem::take(&mut self.planned) {
            let is_suitable = self.is_still_suitable(&id, &name);
            let run = self.workers.get(&id).and_then(|worker| worker.runs.get(&name));
            let is_recorded = match run.map(|run| run.phase) {
                Some(Phase::Planned { change, .. }) => self.is_recorded(name.job, change),
                _ => false,
            };
            let is_untold = self.is_long_lease_untold(clock.now, &id);
            let Some(worker) = self.workers.get_mut(&id) else { continue };
            // Its capacity may have shrunk since.
            let fits = worker.reserved.fits(&worker.capacity());
            let accepts_runs =
                worker.accepts_runs() && worker.missed_polls == 0 && fits && is_suitable;
            let takes_starts = worker.takes_starts();
            let Some(run) = worker.runs.get(&name) else { continue };
            let Phase::Planned { until, .. } = run.phase else { continue };
            if self.leaving || !accepts_runs && !self.view_stale {
                self.release(&id, name, Proof::NotOrdered);
                continue;
            }
            // The next owner has to know of a long lease and of its runs.
            let waited = until.is_some_and(|until| clock.now >= until)
                && !worker.has_long_lease(clock.now, longest_ms);
            let Some(run) = worker.runs.get_mut(&name) else { continue };
            if may_start && takes_starts && !is_untold && (is_recorded || waited) {
                run.phase = Phase::Starting { retry_at: None, uncertain: false };
                run.started = clock.now;
                self.order_start(clock, &id, name);
            } else {
                self.planned.insert((id, name));
            }
        }
    }

    /// Returns whether a worker is still of the service and has the label that a planned run asks for: it may have
    /// started again as another one.
    fn is_still_suitable(&self, id: &Arc<str>, name: &task::Name) -> bool {
        let Some(worker) = self.workers.get(id) else { return false };
        let Some(job) = self.jobs.get(&name.job) else { return true };
        let Some(stage) = job.stage(name.occurrence, name.step) else { return true };
        worker.is_for(&job.queue.service, &stage.step)
    }

    /// Notes a crash against a task whose run an earlier owner ordered, unless its worker lives on.
    pub(crate) fn resolve_trace(&mut self, name: &task::Name) {
        let Some(job) = self.jobs.get_mut(&name.job) else { return };
        let Some(task) = job.task_mut(name) else { return };
        let Some(trace) = task.trace.take() else { return };
        // A task with several crashes has a worker without other suspects, unless it had to share one.
        let singled_out = task.suspicion.level_before(trace.run) > 1 && !trace.shared;
        let worker = self.workers.get(trace.worker.as_str());
        let entry = worker.and_then(|worker| worker.registration.as_ref());
        let confirmed = match worker {
            _ if entry.is_some_and(|entry| entry.draining) => return,
            Some(worker) if worker.fenced && worker.missed_polls == 0 => {
                if worker.born == trace.born {
                    return;
                }
                trace.born.is_some()
            }
            Some(worker) => worker.missing_since.is_some(),
            None => true,
        };
        let labels = entry.map(|entry| entry.labels.clone()).unwrap_or_default();
        let lifetime = Lifetime::default();
        let crash = Crash { run: trace.run, confirmed, singled_out, lifetime };
        self.suspect(*name, crash, &labels);
    }

    /// Forgets the lapsed runs of workers whose fate has been unknown for too long.
    pub(crate) fn forget_lapsed(&mut self, clock: Clock) {
        for worker in self.workers.values_mut() {
            let long = worker.silent_since.is_some_and(|at| clock.now > at + MAX_SILENCE_MS);
            if long {
                worker.lapsed_runs.clear();
            }
        }
    }
}
