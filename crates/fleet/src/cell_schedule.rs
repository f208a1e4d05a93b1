//! Places waiting tasks on workers, urgent queues and older jobs first.

use super::*;

/// Steps that found no room before the rest waits for the next change, so that a long queue does
/// not cost more than a short one.
const MISSES: usize = 48;
/// Run numbers that one owner may use for a task that it found: higher than any start that an
/// earlier owner did not record.
const RUNS_PER_GENERATION: u32 = 64;

/// The least pace at which a filling task is placed, in percent. A task works at full pace until its
/// first order takes effect, so what does not fit harms at once; the rest is rounding.
const LEAST_PACE: u32 = 95;
/// The least pace once a job has waited for `PATIENCE_MS` while the cell has room to spare, in percent.
const LAST_PACE: u32 = 5;
/// After this long a job takes nearly any worker of a cell with room to spare, in milliseconds.
const PATIENCE_MS: u64 = 2_000;
/// A cell has room to spare while less than this is reserved, in percent: the platform takes a job that
/// waits for seconds beside half a fleet for lost.
const SPARE_PERCENT: u64 = 60;

impl Cell {
    pub(crate) fn place(&mut self, clock: Clock) {
        if !self.unplaced || self.leaving {
            return;
        }
        self.unplaced = false;
        let fenced = self.unfenced.is_empty();
        let mut misses = 0;
        // The least cores of each filling image for which there was no place.
        let mut missed: BTreeMap<String, u64> = BTreeMap::new();
        for id in self.ranked(clock) {
            let Some(job) = self.jobs.get(&id) else { continue };
            let passing_on = job.moving_to.is_some() || job.splitting.is_some();
            if passing_on || (job.recovered && !fenced) {
                continue;
            }
            for (occurrence, step, shape) in open_stages(job, clock.unix) {
                let milli = shape.resources.processors_milli;
                let hopeless = missed.get(&shape.image).is_some_and(|&least| milli >= least);
                if shape.fills && hopeless || self.place_stage(clock, id, occurrence, step) {
                    continue;
                }
                if shape.fills {
                    missed.insert(shape.image.clone(), milli);
                    continue;
                }
                misses += 1;
                if misses >= MISSES {
                    return;
                }
            }
        }
    }

    /// Returns the jobs in the order in which their tasks are placed: by queue, then by what they can
    /// still be worth, then by age.
    fn ranked(&self, clock: Clock) -> Vec<job::Id> {
        let rank = |&(priority, _, id): &(u32, u64, job::Id)| {
            Some((priority, Outlook::of(self.jobs.get(&id)?, clock.unix), id))
        };
        let mut ranked: Vec<(u32, Outlook, job::Id)> = self.order.iter().filter_map(rank).collect();
        ranked.sort_by_key(|&(priority, outlook, _)| (priority, outlook));
        ranked.into_iter().map(|(.., id)| id).collect()
    }

    /// Places the waiting tasks of a step; returns whether none is left waiting.
    fn place_stage(&mut self, clock: Clock, id: job::Id, occurrence: u32, step: u16) -> bool {
        let Some(job) = self.jobs.get(&id) else { return true };
        let Some(stage) = job.stage(occurrence, step) else { return true };
        let shape = stage.step.clone();
        let service = job.queue.service.clone();
        let recovered = job.recovered;
        let waited = clock.unix.saturating_sub(job.accepted_at_ms);
        let patient = waited < PATIENCE_MS || !self.has_room_to_spare();
        let least_pace = if patient { LEAST_PACE } else { LAST_PACE };
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

    fn has_room_to_spare(&self) -> bool {
        let milli = |resources: Resources| resources.processors_milli;
        let total: u64 = self.workers.values().map(|worker| milli(worker.capacity())).sum();
        let reserved: u64 = self.workers.values().map(|worker| milli(worker.reserved)).sum();
        reserved * 100 < total * SPARE_PERCENT
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

/// Returns the steps of a job with tasks that may start now: occurrence, step, shape.
fn open_stages(job: &Job, unix: u64) -> Vec<(u32, u16, Arc<Step>)> {
    let mut open = Vec::new();
    for (number, occurrence) in (0..).zip(&job.occurrences) {
        if occurrence.due_at_ms > unix {
            break;
        }
        for (step, stage) in (0..).zip(&occurrence.stages) {
            if !stage.waiting.is_empty() && occurrence.is_open(usize::from(step)) {
                open.push((number, step, stage.step.clone()));
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
