//! Places waiting tasks on workers, urgent queues and older jobs first.

use super::*;

/// Steps that found no room before the rest waits for the next change, so that a long queue does
/// not cost more than a short one.
const MISSES: usize = 48;
/// Run numbers that one owner may use for a task that it found: higher than any start that an
/// earlier owner did not record.
const RUNS_PER_GENERATION: u32 = 64;

/// The least pace at which a filling task is placed while its job is young, in percent: slower ones
/// do better to wait for another worker.
const LEAST_PACE: u32 = 45;
/// The least pace at which a filling task is placed at all, in percent.
const LAST_PACE: u32 = 15;
/// After this long a job takes nearly any worker, in milliseconds.
const PATIENCE_MS: u64 = 2_500;

impl Cell {
    pub(crate) fn place(&mut self, clock: Clock) {
        if !self.unplaced || self.leaving {
            return;
        }
        self.unplaced = false;
        let fenced = self.unfenced.is_empty();
        let ids: Vec<job::Id> = self.order.iter().map(|&(_, _, id)| id).collect();
        let mut misses = 0;
        for id in ids {
            let Some(job) = self.jobs.get(&id) else { continue };
            let passing_on = job.moving_to.is_some() || job.splitting.is_some();
            if passing_on || (job.recovered && !fenced) {
                continue;
            }
            for (occurrence, step) in open_stages(job, clock.unix) {
                if !self.place_stage(clock, id, occurrence, step) {
                    misses += 1;
                }
                if misses >= MISSES {
                    return;
                }
            }
        }
    }

    /// Places the waiting tasks of a step; returns whether none is left waiting.
    fn place_stage(&mut self, clock: Clock, id: job::Id, occurrence: u32, step: u16) -> bool {
        let Some(job) = self.jobs.get(&id) else { return true };
        let Some(stage) = job.stage(occurrence, step) else { return true };
        let shape = stage.step.clone();
        let service = job.queue.service.clone();
        let recovered = job.recovered;
        let waited = clock.unix.saturating_sub(job.accepted_at_ms);
        let least_pace = if waited < PATIENCE_MS { LEAST_PACE } else { LAST_PACE };
        let mut placed = placed(stage);
        let waiting: Vec<u16> = stage.waiting.iter().copied().collect();
        if shape.gang {
            return self.place_gang(clock, id, occurrence, step);
        }
        for index in waiting {
            let name = task::Name { job: id, occurrence, step, index };
            let Some(task) = self.jobs.get(&id).and_then(|job| job.task(&name)) else { continue };
            let demand = placement::Demand {
                now: clock.now,
                service: &service,
                step: &shape,
                avoid: task.failed_at.as_deref(),
                pressure: &self.pressure,
                least_pace,
                placed: &placed,
            };
            let Some(worker) = placement::choose(&self.workers, &demand).cloned() else {
                return false;
            };
            let run = self.next_run(task.last_run, recovered);
            *placed.entry(worker.clone()).or_default() += 1;
            self.start(clock, &worker, name, run);
        }
        true
    }

    /// Places all members of a gang at once, or none.
    fn place_gang(&mut self, clock: Clock, id: job::Id, occurrence: u32, step: u16) -> bool {
        let Some(job) = self.jobs.get(&id) else { return true };
        let Some(stage) = job.stage(occurrence, step) else { return true };
        if stage.waiting.len() < stage.tasks.len() {
            return true;
        }
        let shape = stage.step.clone();
        let service = job.queue.service.clone();
        let last = stage.tasks.iter().map(|task| task.last_run).max().unwrap_or(0);
        let run = self.next_run(last, job.recovered);
        let mut placed = BTreeMap::new();
        let mut chosen: Vec<(Arc<str>, task::Name)> = Vec::new();
        for index in 0..shape.count {
            let name = task::Name { job: id, occurrence, step, index };
            let demand = placement::Demand {
                now: clock.now,
                service: &service,
                step: &shape,
                avoid: None,
                pressure: &self.pressure,
                least_pace: 0,
                placed: &placed,
            };
            let Some(worker) = placement::choose(&self.workers, &demand).cloned() else { break };
            // Reserves the room so that the next member sees it taken.
            if let Some(entry) = self.workers.get_mut(&worker) {
                entry.insert(name, Run::new(clock.now, run, shape.clone()));
            }
            *placed.entry(worker.clone()).or_default() += 1;
            chosen.push((worker, name));
        }
        for (worker, name) in &chosen {
            if let Some(entry) = self.workers.get_mut(worker) {
                entry.remove(name);
            }
        }
        if chosen.len() < usize::from(shape.count) {
            return false;
        }
        for (worker, name) in chosen {
            self.start(clock, &worker, name, run);
        }
        true
    }

    /// Returns the number of a task's next run. An earlier owner may have used numbers that are
    /// recorded nowhere.
    fn next_run(&self, last: u32, recovered: bool) -> u32 {
        let floor =
            if recovered { self.head.generation.saturating_mul(RUNS_PER_GENERATION) } else { 0 };
        last.max(floor) + 1
    }
}

impl Cell {
    /// Stops filling tasks that are paced to next to nothing where another worker suits them.
    pub(crate) fn relocate(&mut self, clock: Clock) {
        if self.leaving || clock.now < self.relocated_at + RELOCATE_MS {
            return;
        }
        self.relocated_at = clock.now;
        let mut stops = Vec::new();
        for (id, worker) in &self.workers {
            let slow = worker.runs.iter().find(|(_, run)| {
                let old = clock.now >= run.started + SETTLED_MS;
                let running = matches!(run.phase, run::Phase::Confirmed { .. });
                let pace = run.pace.unwrap_or(100);
                let cheap = run.step.checkpoints || again_sooner(run.progress, pace);
                let crowded = run.pace.is_some_and(|pace| pace < CROWDED_PACE);
                run.step.fills && old && running && cheap && crowded
            });
            let Some((name, run)) = slow else { continue };
            if self.suits_better(clock, id, run) {
                stops.push((id.clone(), *name));
            }
        }
        stops.truncate(RELOCATIONS);
        for (id, name) in stops {
            self.stop(clock, &id, name, action::StopReason::Crowded);
        }
    }

    /// Moves lasting tasks off workers that leave, one of a step at a time.
    pub(crate) fn evacuate(&mut self, clock: Clock) {
        if self.leaving || clock.now < self.evacuated_at + RELOCATE_MS {
            return;
        }
        self.evacuated_at = clock.now;
        let mut stops: Vec<(Arc<str>, task::Name)> = Vec::new();
        for (id, worker) in &self.workers {
            let Some(entry) = worker.registration.as_ref().filter(|entry| entry.draining) else {
                continue;
            };
            let mut steps = BTreeSet::new();
            for (name, run) in &worker.runs {
                if !matches!(run.phase, run::Phase::Confirmed { .. }) {
                    continue;
                }
                let room = self.fits_elsewhere(clock, &entry.service, id, run);
                let step = (name.job, name.occurrence, name.step);
                if run.step.lasting && room && steps.insert(step) {
                    stops.push((id.clone(), *name));
                }
            }
        }
        for (id, name) in stops {
            self.stop(clock, &id, name, action::StopReason::Leaving);
        }
    }

    fn fits_elsewhere(&self, clock: Clock, service: &str, here: &Arc<str>, run: &Run) -> bool {
        let demand = placement::Demand {
            now: clock.now,
            service,
            step: &run.step,
            avoid: Some(here),
            pressure: &self.pressure,
            least_pace: GOOD_PACE,
            placed: &BTreeMap::new(),
        };
        placement::choose(&self.workers, &demand).is_some_and(|better| better != here)
    }

    /// Returns whether another worker would run the task at a good pace.
    fn suits_better(&self, clock: Clock, here: &Arc<str>, run: &Run) -> bool {
        let service = self.workers.get(here).and_then(|worker| worker.registration.as_ref());
        let Some(service) = service.map(|entry| entry.service.as_str()) else { return false };
        self.fits_elsewhere(clock, service, here, run)
    }
}

/// Between searches for tasks to move, in milliseconds.
const RELOCATE_MS: u64 = 250;
/// A run is left alone for this long, in milliseconds: its pace settles.
const SETTLED_MS: u64 = 700;
/// How much sooner a task without a checkpoint must be done elsewhere from its start, in percent.
const AGAIN_PERCENT: u32 = 150;
/// A filling task below this pace is moved where it can be, in percent.
const CROWDED_PACE: u32 = 35;
/// The pace that another worker must offer, in percent.
const GOOD_PACE: u32 = 80;
/// Tasks moved at once.
const RELOCATIONS: usize = 4;

/// Returns whether a task is done sooner elsewhere from its start than here at this pace, both in
/// percent.
fn again_sooner(progress: u32, pace: u32) -> bool {
    (100 - progress.min(100)) * 100 > pace * AGAIN_PERCENT
}

/// Returns the steps of a job with tasks that may start now.
fn open_stages(job: &Job, unix: u64) -> Vec<(u32, u16)> {
    let mut open = Vec::new();
    for (number, occurrence) in (0..).zip(&job.occurrences) {
        if occurrence.due_at_ms > unix {
            break;
        }
        for (step, stage) in (0..).zip(&occurrence.stages) {
            if !stage.waiting.is_empty() && occurrence.is_open(usize::from(step)) {
                open.push((number, step));
            }
        }
    }
    open
}

/// Returns how many tasks of a stage each worker has.
fn placed(stage: &job::Stage) -> BTreeMap<Arc<str>, u16> {
    let mut placed = BTreeMap::new();
    if stage.step.per_worker == 0 {
        return placed;
    }
    for task in &stage.tasks {
        if let task::Standing::Active { worker, .. } = &task.standing {
            *placed.entry(worker.clone()).or_default() += 1;
        }
    }
    placed
}
