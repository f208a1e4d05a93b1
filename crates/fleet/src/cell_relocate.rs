//! Moves tasks to other workers of the cell: filling tasks at a very low pace, and lasting tasks of
//! draining workers.

use super::*;

/// Interval between searches for tasks to move, in milliseconds.
const RELOCATE_INTERVAL_MS: u64 = 250;
/// Minimum age of a run that may be moved, in milliseconds: its pace settles first.
const MIN_RUN_AGE_MS: u64 = 700;
/// A task without checkpoints is moved if its remaining time here is more than this share of a
/// whole run elsewhere, in percent.
const MIN_REMAINING_PERCENT: u32 = 150;
/// Pace below which filling tasks are moved if another worker allows `MIN_NEW_PACE`, in percent.
const MAX_CROWDED_PACE: u32 = 35;
/// Lowest pace that the new worker must allow, in percent.
const MIN_NEW_PACE: u32 = 80;
/// Maximum number of filling tasks moved in one pass.
const MAX_RELOCATIONS: usize = 4;

impl Cell {
    /// Stops filling tasks at a very low pace that another worker could run much faster.
    pub(crate) fn relocate_filling_tasks(&mut self, clock: Clock) {
        let due = clock.now >= self.relocated_at + RELOCATE_INTERVAL_MS;
        if self.leaving || !due || !self.policy.relocation {
            return;
        }
        self.relocated_at = clock.now;
        let mut stops = Vec::new();
        for (id, worker) in &self.workers {
            let crowded_run = worker.runs.iter().find(|(_, run)| {
                let settled = clock.now >= run.started + MIN_RUN_AGE_MS;
                let running = matches!(run.phase, run::Phase::Confirmed { .. });
                let pace = run.pace.unwrap_or(100);
                let cheap_to_move = run.step.checkpoints || restart_is_faster(run.progress, pace);
                let crowded = run.pace.is_some_and(|pace| pace < MAX_CROWDED_PACE);
                run.step.fills && settled && running && cheap_to_move && crowded
            });
            let Some((name, run)) = crowded_run else { continue };
            if self.fits_elsewhere(clock, name.job, id, run) {
                stops.push((id.clone(), *name));
            }
        }
        stops.truncate(MAX_RELOCATIONS);
        for (id, name) in stops {
            self.stop(&id, name, action::StopReason::Crowded);
        }
    }

    /// Stops lasting tasks on draining workers if they fit elsewhere, at most one task of each step
    /// per worker and pass.
    pub(crate) fn vacate_draining_workers(&mut self, clock: Clock) {
        if self.leaving || clock.now < self.vacated_at + RELOCATE_INTERVAL_MS {
            return;
        }
        self.vacated_at = clock.now;
        let mut stops: Vec<(Arc<str>, task::Name)> = Vec::new();
        for (id, worker) in &self.workers {
            if !worker.registration.as_ref().is_some_and(|entry| entry.draining) {
                continue;
            }
            let mut steps = BTreeSet::new();
            for (name, run) in &worker.runs {
                if !matches!(run.phase, run::Phase::Confirmed { .. }) {
                    continue;
                }
                let fits = self.fits_elsewhere(clock, name.job, id, run);
                let step = (name.job, name.occurrence, name.step);
                let may_restart = self.may_restart(name.job);
                if run.step.lasting && may_restart && fits && steps.insert(step) {
                    stops.push((id.clone(), *name));
                }
            }
        }
        for (id, name) in stops {
            self.stop(&id, name, action::StopReason::Leaving);
        }
    }

    /// Returns whether a task of the job may start elsewhere now: jobs that this owner found wait until
    /// every worker has answered it.
    fn may_restart(&self, id: job::Id) -> bool {
        self.jobs.get(&id).map_or(self.unfenced.is_empty(), |job| !self.is_unsettled(job))
    }

    /// Returns whether another worker of the queue's service has room for the task, at `MIN_NEW_PACE` or
    /// more for a filling task.
    fn fits_elsewhere(&self, clock: Clock, id: job::Id, here: &Arc<str>, run: &Run) -> bool {
        let Some(job) = self.jobs.get(&id) else { return false };
        let criteria = placement::Criteria {
            apart: true,
            suspicion: &Suspicion::default(),
            now: clock.now,
            service: &job.queue.service,
            step: &run.step,
            avoid: Some(here),
            policy: self.policy,
            pressure: &self.pressure,
            min_pace: MIN_NEW_PACE,
            placed: &BTreeMap::new(),
            reservations: &reservation::Book::default(),
            duration_ms: None,
        };
        placement::choose(&self.workers, &criteria).is_some_and(|chosen| chosen != here)
    }
}

/// Returns whether a task's remaining time here is more than `MIN_REMAINING_PERCENT` of a whole run
/// elsewhere at full pace. `progress` and `pace` are in percent.
fn restart_is_faster(progress: u32, pace: u32) -> bool {
    (100 - progress.min(100)) * 100 > pace * MIN_REMAINING_PERCENT
}
