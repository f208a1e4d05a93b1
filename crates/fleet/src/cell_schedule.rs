//! Places waiting tasks on workers: by queue priority, then by whether the job can still meet its
//! latency objective, then by age.

use {super::*, shortage::Shortage, window::Window};

/// Run numbers reserved for each owner of a recovered task, so that a new owner's numbers are
/// higher than those of starts that earlier owners did not record.
const RUNS_PER_GENERATION: u32 = 65_536;

/// Lowest pace at which a filling task is placed, in percent. A task runs at full pace until its
/// first pace order takes effect, so one that needs a lower pace would slow serving tasks at once;
/// the margin below 100 allows for rounding.
pub(crate) const MIN_PACE: u32 = 75;
/// Lowest pace of a job's first task once the job has waited for `FULL_PACE_WAIT_MS` in a cell with spare
/// capacity, in percent. Each task that starts so slows those beside it.
const MIN_PACE_AFTER_WAIT: u32 = 5;
/// How long a job waits for a worker at `MIN_PACE` in a cell with spare capacity, in milliseconds.
const FULL_PACE_WAIT_MS: u64 = 2_000;

/// What a placement pass goes by.
pub(crate) struct Pass {
    /// The steps for which room to hold was searched for; at most `window::MAX_MISSES`.
    held_for: usize,
    /// Whether it is at the lasting tasks that have run, which it places first, or at all others.
    pub(crate) restarts: bool,
    /// Room that is held for tasks that fit nowhere.
    pub(crate) reservations: reservation::Book,
    /// Whether a lasting task waits for room below the limit, which no younger one may take then.
    pub(crate) lasting_closed: bool,
    /// What lasting tasks hold and may hold, once a task has asked.
    pub(crate) quota: Option<Quota>,
    /// What has found no worker.
    shortage: Shortage,
    /// Whether the cell has spare capacity.
    spare: bool,
}

/// The outcome of a search for workers of a step's waiting tasks.
enum Search {
    /// None is left waiting for a worker.
    Placed,
    /// A task found no worker.
    Missed {
        /// Whether nothing but its constraint and its size kept the task from one.
        general: bool,
    },
}

impl Cell {
    /// Places waiting tasks if free resources or work have changed since the last pass.
    pub(crate) fn place_tasks(&mut self, clock: Clock) {
        let may_start = self.lease_ms(clock.now).is_some();
        if !self.placement_due || self.leaving || self.view_stale || !may_start {
            return;
        }
        self.placement_due = false;
        self.reserved.retain(|_, job| self.jobs.contains_key(job));
        self.unheld.retain(|(job, _)| self.jobs.contains_key(job));
        self.delays.retain(|job, _| self.jobs.contains_key(job));
        let mut pass = Pass {
            held_for: 0,
            restarts: true,
            reservations: reservation::Book::default(),
            lasting_closed: false,
            quota: None,
            shortage: Shortage::default(),
            spare: self.policy.waits && self.quota().is_spare(),
        };
        let ranked = self.jobs_by_rank(clock);
        let restarting = |id: &job::Id| self.jobs.get(id).is_some_and(Job::has_restarts);
        let restarting: Vec<job::Id> = ranked.iter().copied().filter(restarting).collect();
        let resume_at = self.resume_restarts_at.take();
        self.resume_restarts_at = self.place_jobs(clock, &restarting, resume_at, &mut pass);
        pass.lasting_closed |= self.policy.turns && self.resume_restarts_at.is_some();
        pass.restarts = false;
        let resume_at = self.resume_at.take();
        self.resume_at = self.place_jobs(clock, &ranked, resume_at, &mut pass);
    }

    /// Places the waiting tasks of ranked jobs as far as the window of the pass goes, and returns the job with which
    /// the next pass goes on.
    fn place_jobs(
        &mut self,
        clock: Clock,
        ranked: &[job::Id],
        resume_at: Option<job::Id>,
        pass: &mut Pass,
    ) -> Option<job::Id> {
        let resume_at = resume_at.and_then(|job| ranked.iter().position(|id| *id == job));
        let mut window = Window::new(resume_at.unwrap_or(0));
        let mut position = 0;
        while let Some(&id) = ranked.get(position) {
            let misses = self.place_job(clock, id, pass);
            let Some(next) = window.next(position, misses) else {
                return ranked.get(position + 1).copied();
            };
            let skipped = ranked.get(position + 1..next).unwrap_or_default();
            let waits =
                |id: &job::Id| pass.restarts || self.jobs.get(id).is_some_and(Job::has_unstarted);
            pass.lasting_closed |= self.policy.turns && skipped.iter().any(waits);
            position = next;
        }
        None
    }

    /// Places the waiting tasks of a job and returns how many searches found no worker. Those for filling tasks
    /// don't count: each image has few of them.
    fn place_job(&mut self, clock: Clock, id: job::Id, pass: &mut Pass) -> usize {
        let Some(job) = self.jobs.get(&id) else { return 0 };
        let moving = job.moving_to.is_some() || job.splitting.is_some();
        let unsettled = self.is_unsettled(job);
        if moving || unsettled {
            if job.moving_to.is_none() && !pass.restarts && job.has_unstarted() {
                let step = job.unstarted_tasks().first().map_or(0, |&(step, _)| step);
                let milli =
                    job.stage(0, step).map_or(0, |stage| stage.step.reserved().processors_milli);
                // Younger jobs wait behind it.
                self.may_start_lasting(milli, pass);
            }
            return 0;
        }
        if !job.has_unstarted() {
            self.delays.remove(&id);
        }
        let waited = clock.unix.saturating_sub(job.accepted_at_ms);
        let slowly = pass.spare && waited >= FULL_PACE_WAIT_MS && !job.is_active();
        let mut misses = 0;
        for (occurrence, number, step) in ready_stages(job, clock.unix) {
            let stage = self.jobs.get(&id).and_then(|job| job.stage(occurrence, number));
            let is_due = stage.is_some_and(|stage| stage.to_place(pass.restarts).next().is_some());
            if !is_due || !self.is_held(id, number, &step) {
                continue;
            }
            let Some((mut constraint, request)) = self.request(id, &step, slowly, pass) else {
                break;
            };
            let stage = (id, occurrence, number);
            if !pass.shortage.covers(&constraint, &request) {
                let search = self.place_stage(clock, stage, slowly, pass);
                let Search::Missed { general } = search else { continue };
                // Only the first task of a job starts slowly.
                constraint.slowly &= !self.jobs.get(&id).is_some_and(Job::is_active);
                if general {
                    pass.shortage.add(constraint, request);
                }
                misses += usize::from(!step.fills);
            }
            if step.lasting && !step.gang {
                self.reserve_for_lasting(clock, id, number, pass);
            } else if !step.fills && pass.held_for < window::MAX_MISSES {
                pass.held_for += 1;
                self.reserve(clock, id, occurrence, number, &mut pass.reservations);
            }
            if misses >= window::MAX_MISSES {
                break;
            }
        }
        misses
    }

    /// Returns whether a worker of the cell can hold tasks of a step, and reports it once if none can.
    fn is_held(&mut self, id: job::Id, number: u16, step: &Step) -> bool {
        let Some(job) = self.jobs.get(&id) else { return false };
        if self.holds(job, step) {
            self.unheld.remove(&(id, number));
            return true;
        }
        let service = job.queue.service.clone();
        if self.unheld.insert((id, number)) {
            self.report(action::Report::Unheld {
                job: id,
                step: number,
                service,
                label: step.label.clone(),
                resources: step.reserved(),
                members: if step.gang { step.count } else { 1 },
            });
        }
        false
    }

    /// Returns what a waiting task of a step asks for.
    fn request(
        &self,
        id: job::Id,
        step: &Step,
        slowly: bool,
        pass: &Pass,
    ) -> Option<(shortage::Constraint, shortage::Request)> {
        let job = self.jobs.get(&id)?;
        let constraint = shortage::Constraint {
            service: job.queue.service.clone(),
            label: step.label.clone(),
            filling: step.fills.then(|| step.image.clone()),
            slowly,
            takes_reserved: pass.restarts,
        };
        // Reservations hold no filling task back.
        let duration_ms = self.duration_ms(job, step).filter(|_| !step.fills);
        Some((constraint, shortage::Request { duration_ms, resources: step.resources }))
    }

    /// Returns the jobs in the order in which their tasks are placed: by queue priority, then by
    /// expected lateness, then by age.
    fn jobs_by_rank(&self, clock: Clock) -> Vec<job::Id> {
        let rank = |&(priority, _, id): &(u32, u64, job::Id)| {
            let job = self.jobs.get(&id)?;
            let lateness = match self.policy.lateness {
                true => Lateness::of(job, clock.unix, &self.forecast),
                false => Lateness::InTime,
            };
            Some((priority, lateness, id))
        };
        let mut ranked: Vec<(u32, Lateness, job::Id)> =
            self.unfinished_jobs.iter().filter_map(rank).collect();
        ranked.sort_by_key(|&(priority, lateness, _)| (priority, lateness));
        ranked.into_iter().map(|(.., id)| id).collect()
    }

    /// Places the waiting tasks of a step. With `slowly`, the first task may start where its pace is low.
    fn place_stage(
        &mut self,
        clock: Clock,
        (id, occurrence, step_number): (job::Id, u32, u16),
        mut slowly: bool,
        pass: &mut Pass,
    ) -> Search {
        let Some(job) = self.jobs.get(&id) else { return Search::Placed };
        let Some(stage) = job.stage(occurrence, step_number) else { return Search::Placed };
        let step = stage.step.clone();
        let duration_ms = self.duration_ms(job, &step);
        let none = reservation::Book::default();
        let service = job.queue.service.clone();
        let recovered = job.recovered;
        let mut placed = tasks_per_worker(stage);
        let waiting: Vec<u16> = stage.to_place(pass.restarts).collect();
        let starts = step.lasting && !pass.restarts;
        if step.gang {
            let milli = step.reserved().processors_milli.saturating_mul(step.count.into());
            if starts && !self.may_start_lasting(milli, pass) {
                self.note_delay(clock, id);
                return Search::Placed;
            }
            // Lasting tasks that have run start in reserved room, too.
            let reservations = if pass.restarts { &none } else { &pass.reservations };
            return match self.place_gang(clock, id, occurrence, step_number, reservations) {
                true => {
                    pass.quota = None;
                    Search::Placed
                }
                false => Search::Missed { general: false },
            };
        }
        self.note_ready(clock.now, id, occurrence, step_number);
        // The crashes under a suspect that found no worker, and whether it keeps apart: one with fewer may find some.
        let mut missed: Option<(usize, bool)> = None;
        for index in waiting {
            let name = task::Name { job: id, occurrence, step: step_number, index };
            self.resolve_trace(&name);
            let Some(job) = self.jobs.get(&id).filter(|job| job.final_state.is_none()) else {
                return Search::Placed;
            };
            let Some(task) = job.task(&name) else { continue };
            let apart = self.is_kept_apart(clock.now, &step, task);
            let level = task.suspicion.level();
            let is_missed =
                missed.is_some_and(|(least, kept_apart)| level >= least && (apart || !kept_apart));
            if is_missed || apart && self.waits_for_trial(&name) {
                continue;
            }
            let milli = step.reserved().processors_milli;
            if starts && !self.may_start_lasting(milli, pass) {
                self.note_delay(clock, id);
                return Search::Placed;
            }
            let criteria = placement::Criteria {
                apart,
                suspicion: &task.suspicion,
                now: clock.now,
                service: &service,
                step: &step,
                avoid: task.last_failed_worker.as_deref(),
                policy: self.policy,
                pressure: &self.pressure,
                min_pace: if slowly { MIN_PACE_AFTER_WAIT } else { MIN_PACE },
                placed: &placed,
                reservations: if pass.restarts { &none } else { &pass.reservations },
                duration_ms,
            };
            let Some(worker) = placement::choose(&self.workers, &criteria).cloned() else {
                if level > 0 {
                    missed = Some((level, apart));
                    continue;
                }
                return Search::Missed { general: step.per_worker == 0 };
            };
            pass.reservations.take(&worker, clock.now, &step, duration_ms);
            if let Some(quota) = pass.quota.as_mut().filter(|_| !pass.restarts) {
                quota.add(&step);
            }
            let run = self.next_run(task.last_run, recovered);
            *placed.entry(worker.clone()).or_default() += 1;
            self.start(clock, &worker, name, run);
            slowly = false;
        }
        match missed {
            Some(_) => Search::Missed { general: false },
            None => Search::Placed,
        }
    }

    /// Reserves a worker for each waiting task of a step that fits nowhere now, as far as the pass
    /// allows. Gangs reserve nothing: they would hold room for too long.
    fn reserve(
        &mut self,
        clock: Clock,
        id: job::Id,
        occurrence: u32,
        step_number: u16,
        reservations: &mut reservation::Book,
    ) {
        let Some(job) = self.jobs.get(&id) else { return };
        let Some(stage) = job.stage(occurrence, step_number) else { return };
        let step = &stage.step;
        if step.gang || !self.policy.backfill {
            return;
        }
        let placed = tasks_per_worker(stage);
        let none = Suspicion::default();
        let mut reserved: Vec<(Arc<str>, u64)> = Vec::new();
        for _ in &stage.waiting {
            if reservations.is_full() {
                break;
            }
            let criteria = placement::Criteria {
                apart: true,
                suspicion: &none,
                now: clock.now,
                service: &job.queue.service,
                step,
                avoid: None,
                policy: self.policy,
                pressure: &self.pressure,
                min_pace: 0,
                placed: &placed,
                reservations,
                duration_ms: self.duration_ms(job, step),
            };
            let ends = |worker: &Worker| self.expected_ends(clock.now, worker);
            let found = placement::reserve(&self.workers, &criteria, ends);
            let Some((worker, reservation)) = found else { break };
            reserved.push((worker.clone(), reservation.ready_at));
            reservations.insert(worker, reservation);
        }
        for (worker, ready_at) in reserved {
            self.note_reserved(clock, id, worker, Some(ready_at));
        }
    }

    /// Reports that a worker's room is held for a job: once, not in each pass.
    pub(crate) fn note_reserved(
        &mut self,
        clock: Clock,
        id: job::Id,
        worker: Arc<str>,
        ready_at: Option<u64>,
    ) {
        if self.reserved.insert(worker.clone(), id) != Some(id) {
            let ready_ms = ready_at.map(|at| at.saturating_sub(clock.now));
            self.report(action::Report::Reserved { job: id, worker, ready_ms });
        }
    }

    /// Returns the expected ends of a worker's runs that reserve resources, with what each frees.
    pub(crate) fn expected_ends(&self, now: u64, worker: &Worker) -> Vec<(u64, Resources)> {
        let end = |(name, run): (&task::Name, &Run)| {
            let queue = &self.jobs.get(&name.job)?.queue.name;
            Some((self.forecast.end(now, queue, run)?, run.step.reserved()))
        };
        worker.runs.iter().filter(|(_, run)| !run.step.fills).filter_map(end).collect()
    }

    /// Returns how long a task of a step is expected to run, in milliseconds; `None` if it lasts.
    fn duration_ms(&self, job: &Job, step: &Step) -> Option<u64> {
        let expected = || self.forecast.duration_ms(&job.queue.name, step.estimate_ms);
        (!step.lasting).then(expected)
    }

    /// Places all members of a gang, or none; returns whether no member is left to place.
    fn place_gang(
        &mut self,
        clock: Clock,
        id: job::Id,
        occurrence: u32,
        step_number: u16,
        reservations: &reservation::Book,
    ) -> bool {
        let count = self.jobs.get(&id).and_then(|job| job.stage(occurrence, step_number));
        for index in 0..count.map_or(0, |stage| stage.step.count) {
            self.resolve_trace(&task::Name { job: id, occurrence, step: step_number, index });
        }
        let Some(job) = self.jobs.get(&id).filter(|job| job.final_state.is_none()) else {
            return true;
        };
        let Some(stage) = job.stage(occurrence, step_number) else { return true };
        if stage.waiting.len() < stage.tasks.len() {
            return true;
        }
        let suspicions: Vec<Suspicion> =
            stage.tasks.iter().map(|task| task.suspicion.clone()).collect();
        let step = stage.step.clone();
        let duration_ms = self.duration_ms(job, &step);
        let service = job.queue.service.clone();
        let last = stage.tasks.iter().map(|task| task.last_run).max().unwrap_or(0);
        let run = self.next_run(last, job.recovered);
        let mut placed = BTreeMap::new();
        let mut chosen: Vec<(Arc<str>, task::Name)> = Vec::new();
        for (index, suspicion) in (0..step.count).zip(&suspicions) {
            let name = task::Name { job: id, occurrence, step: step_number, index };
            let criteria = placement::Criteria {
                apart: true,
                suspicion,
                now: clock.now,
                service: &service,
                step: &step,
                avoid: None,
                policy: self.policy,
                pressure: &self.pressure,
                min_pace: 0,
                placed: &placed,
                reservations,
                duration_ms,
            };
            let Some(worker) = placement::choose(&self.workers, &criteria).cloned() else { break };
            // Reserves the resources, so that the next member finds them taken.
            if let Some(entry) = self.workers.get_mut(&worker) {
                let suspicion = suspicion.level();
                entry.insert(name, Run { suspicion, ..Run::new(clock.now, run, step.clone()) });
            }
            *placed.entry(worker.clone()).or_default() += 1;
            chosen.push((worker, name));
        }
        for (worker, name) in &chosen {
            if let Some(entry) = self.workers.get_mut(worker) {
                entry.remove(name);
            }
        }
        if chosen.len() < usize::from(step.count) {
            return false;
        }
        for (worker, name) in chosen {
            self.start(clock, &worker, name, run);
        }
        true
    }

    /// Returns the number of a task's next run. For a recovered task it skips numbers that earlier
    /// owners may have used without recording them.
    fn next_run(&self, last: u32, recovered: bool) -> u32 {
        let floor =
            if recovered { self.head.generation.saturating_mul(RUNS_PER_GENERATION) } else { 0 };
        last.max(floor).saturating_add(1)
    }
}

/// Returns the steps of a job with waiting tasks that may start now: occurrence, step number and
/// step.
pub(crate) fn ready_stages(job: &Job, unix: u64) -> Vec<(u32, u16, Arc<Step>)> {
    let mut open = Vec::new();
    for (number, occurrence) in (0..).zip(&job.occurrences) {
        if occurrence.due_at_ms > unix {
            break;
        }
        for (step, stage) in (0..).zip(&occurrence.stages) {
            if !stage.waiting.is_empty() && occurrence.is_ready(usize::from(step)) {
                open.push((number, step, stage.step.clone()));
            }
        }
    }
    open
}

/// Returns the number of the stage's tasks on each worker; empty when `per_worker` sets no limit.
pub(crate) fn tasks_per_worker(stage: &job::Stage) -> BTreeMap<Arc<str>, u16> {
    let mut tasks = BTreeMap::new();
    if stage.step.per_worker == 0 {
        return tasks;
    }
    for task in &stage.tasks {
        if let task::Status::Active { worker, .. } = &task.status {
            *tasks.entry(worker.clone()).or_default() += 1;
        }
    }
    tasks
}
