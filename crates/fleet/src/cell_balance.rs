//! Moves jobs and lasting tasks to cells that serve them sooner, by the loads in the cells' heads.

use {super::*, cell_record::LOAD_INTERVAL_MS};

/// Interval between searches for jobs to move, in milliseconds.
const REBALANCE_INTERVAL_MS: u64 = 200;
/// How long a job waits before it may be moved, in milliseconds.
const MOVE_AFTER_MS: u64 = 250;
/// How long lasting tasks wait before they may be moved, in milliseconds.
const SPLIT_AFTER_MS: u64 = 800;
/// How much sooner another cell must serve a job to get it, in milliseconds.
const MOVE_MARGIN_MS: u64 = 400;
/// Maximum number of jobs moved to be served sooner, and of jobs split, in one pass.
const MAX_MOVES: usize = 4;
/// Maximum size of the filling images of which the head tells figures, as they are written once. The head has to
/// fit into a value of the store.
const MAX_IMAGE_BYTES: usize = 256 << 10;
/// Maximum number of jobs moved in one pass, with those that can only wait in this cell.
const MAX_URGENT_MOVES: usize = 64;

/// Returns the size of images as they are written with their figures, in bytes.
fn size_of_images<'a>(images: impl Iterator<Item = &'a String>) -> usize {
    images.map(|image| pressure::image_bytes(image)).sum()
}

impl Cell {
    /// Every `LOAD_INTERVAL_MS`, updates the contention between images and the processors that
    /// tasks of each filling image could use.
    pub(crate) fn update_estimates(&mut self, clock: Clock) {
        if clock.now < self.estimated_at + LOAD_INTERVAL_MS {
            return;
        }
        self.estimated_at = clock.now;
        self.observe_short_work(clock);
        self.loads.retain(|job, _| self.jobs.contains_key(job));
        // What filling tasks may use beside serving tasks changes with the serving load.
        self.placement_due = true;
        self.own_pressure.decay(LOAD_INTERVAL_MS as f64 / 1_000.0);
        self.pressure = self.own_pressure.clone();
        self.pressure.merge(&self.other_pressure);
        let mut images: BTreeMap<String, Arc<Step>> = BTreeMap::new();
        for job in self.jobs.values() {
            for stage in job.occurrences.iter().flat_map(|occurrence| &occurrence.stages) {
                if stage.step.fills {
                    images.insert(stage.step.image.clone(), stage.step.clone());
                }
            }
        }
        let mut bytes = size_of_images(images.keys());
        while bytes > MAX_IMAGE_BYTES
            && let Some((image, _)) = images.pop_last()
        {
            bytes -= pressure::image_bytes(&image);
        }
        let mut usable: BTreeMap<String, u64> = BTreeMap::new();
        for (image, step) in &images {
            let usable_at = |worker: &Worker| {
                let pace = u64::from(worker.pace_with(clock.now, &self.pressure, step));
                placement::unused_milli(worker).max(0) as u64 * pace / 100
            };
            let workers = self.workers.values().filter(|worker| worker.is_usable(clock.now));
            usable.insert(image.clone(), workers.map(usable_at).sum());
        }
        self.observe_rates(clock, &images);
        // An image without a job keeps its last value until the next job with it arrives.
        self.usable_milli.extend(usable);
        if size_of_images(self.usable_milli.keys()) > MAX_IMAGE_BYTES {
            self.usable_milli.retain(|image, _| images.contains_key(image));
        }
    }

    /// Updates how fast the cell gets through the work of each filling image: what its tasks use, and what
    /// more of them could use at workers that would take them.
    fn observe_rates(&mut self, clock: Clock, images: &BTreeMap<String, Arc<Step>>) {
        // What was measured before all its jobs were over says little about the next ones.
        self.rates.retain(|image, _| images.contains_key(image));
        for (image, step) in images {
            let own = |run: &&Run| run.step.fills && run.step.image == *image;
            let runs = self.workers.values().flat_map(|worker| worker.runs.values());
            let used: f64 = runs.filter(own).filter_map(|run| run.measurement).sum();
            let room_at = |worker: &Worker| {
                let pace = worker.pace_with(clock.now, &self.pressure, step);
                let unused = placement::unused_milli(worker) - worker.filling_milli as i64;
                if pace >= cell_schedule::MIN_PACE { unused.max(0) } else { 0 }
            };
            let workers = self.workers.values().filter(|worker| worker.is_usable(clock.now));
            let room: i64 = workers.map(room_at).sum();
            self.rates.entry(image.clone()).or_default().observe(used + room as f64);
        }
    }

    /// Returns the filling work of each image whose rate is known.
    pub(crate) fn throughput(&self, clock: Clock) -> BTreeMap<String, Throughput> {
        let known = |(image, rate): (&String, &throughput::Rate)| {
            Some((image.clone(), Throughput { backlog: 0, milli: rate.milli()? }))
        };
        let mut throughput: BTreeMap<String, Throughput> =
            self.rates.iter().filter_map(known).collect();
        for (_, _, id) in &self.unfinished_jobs {
            let Some(job) = self.jobs.get(id) else { continue };
            if Lateness::of(job, clock.unix, &self.forecast) != Lateness::InTime {
                continue;
            }
            let stages = job.occurrences.iter().flat_map(|occurrence| &occurrence.stages);
            let counts = |step: &Step| step.fills && self.holds(job, step);
            for stage in stages.filter(|stage| counts(&stage.step)) {
                let Some(entry) = throughput.get_mut(&stage.step.image) else { continue };
                let task_ms = self.forecast.step_ms(&job.queue.name, stage.step.estimate_ms);
                let work = stage.step.work(stage.remaining as u64, task_ms);
                entry.backlog = entry.backlog.saturating_add(work);
            }
        }
        throughput
    }

    /// Updates how much of the cell lasting jobs may hold, by the short work that runs and waits.
    fn observe_short_work(&mut self, clock: Clock) {
        let mut demand = headroom::Demand::default();
        let open = || self.workers.values().filter(|worker| !worker.evacuated);
        for run in open().flat_map(|worker| worker.runs.values()).filter(|run| !run.step.lasting) {
            demand.add(&run.step, 1);
        }
        for (_, _, id) in &self.unfinished_jobs {
            let Some(job) = self.jobs.get(id).filter(|job| !job.is_lasting()) else { continue };
            for (occurrence, number, step) in cell_schedule::ready_stages(job, clock.unix) {
                if !self.holds(job, &step) {
                    continue;
                }
                let waiting = job.stage(occurrence, number).map_or(0, |stage| stage.waiting.len());
                demand.add_waiting(&step, waiting as u64);
            }
        }
        let total_milli = open().map(|worker| worker.capacity().processors_milli).sum();
        self.headroom.observe(clock.now, demand, total_milli);
    }

    /// Moves jobs that have not begun to cells that serve them sooner, and jobs whose next steps no worker of
    /// this cell can hold to cells that can.
    pub(crate) fn move_jobs(&mut self, clock: Clock) {
        if self.leaving || clock.now < self.rebalanced_at + REBALANCE_INTERVAL_MS {
            return;
        }
        self.rebalanced_at = clock.now;
        let without_room =
            !self.workers.is_empty() && self.workers.values().all(|worker| worker.evacuated);
        let mut moves = Vec::new();
        let mut sooner = 0;
        for (_, _, id) in self.unfinished_jobs.iter().filter(|_| self.policy.moves) {
            if moves.len() >= MAX_URGENT_MOVES {
                break;
            }
            let Some(job) = self.jobs.get(id) else { continue };
            if job.moving_to.is_some() || self.is_unsettled(job) {
                continue;
            }
            let waited = clock.unix.saturating_sub(job.accepted_at_ms);
            let urgent = without_room && !job.begun || self.is_stuck(clock, *id, job);
            let may_wait_less = !job.begun
                && !job.record.submission.is_timed()
                && waited >= MOVE_AFTER_MS
                && sooner < MAX_MOVES;
            if !urgent && !may_wait_less {
                continue;
            }
            let demand = admission::Demand::of_rest(*id, job);
            let found = self.balancer.find_better_cell(self.head.cell, &demand, MOVE_MARGIN_MS);
            if let Some(cell) = found {
                moves.push((*id, cell));
                sooner += usize::from(!urgent);
            }
        }
        self.split_waiting_jobs(clock);
        for (id, cell) in moves {
            self.plan_move(id, cell);
        }
    }

    /// Returns whether a job has nothing running, and all steps that could start now are ones that no worker of
    /// this cell can hold.
    fn is_stuck(&self, clock: Clock, id: job::Id, job: &Job) -> bool {
        let noted = self.unheld.range((id, 0)..=(id, u16::MAX)).next().is_some();
        if !noted || job.record.tasks.is_some() || job.begun && job.is_lasting() {
            return false;
        }
        let ready = cell_schedule::ready_stages(job, clock.unix);
        let unheld = |(_, _, step): &(u32, u16, Arc<Step>)| !self.holds(job, step);
        !ready.is_empty() && ready.iter().all(unheld) && !self.has_runs(id)
    }

    /// Returns whether a worker holds or may hold a run of a job.
    fn has_runs(&self, id: job::Id) -> bool {
        let names = task::Name::all_of(id);
        let has_run = |worker: &Worker| worker.runs.range(names.clone()).next().is_some();
        self.workers.values().any(has_run)
    }

    /// Plans the move of a job to another cell.
    fn plan_move(&mut self, id: job::Id, cell: u32) {
        // The other cell could not tell what became of workers of this one.
        let waiting = self.jobs.get(&id).map(|job| job.waiting_names(id));
        for name in waiting.unwrap_or_default() {
            self.resolve_trace(&name);
        }
        let open = |job: &&mut Job| job.final_state.is_none();
        if let Some(job) = self.jobs.get_mut(&id).filter(open) {
            job.moving_to = Some(cell);
            self.mark_dirty(id);
        }
    }

    /// Moves lasting tasks that do not fit on a worker of this cell to cells with enough free
    /// resources.
    fn split_waiting_jobs(&mut self, clock: Clock) {
        if !self.policy.splits {
            return;
        }
        let mut splits = Vec::new();
        for (_, _, id) in &self.unfinished_jobs {
            let is_unsettled = self.jobs.get(id).is_some_and(|job| self.is_unsettled(job));
            let Some(job) = self.jobs.get_mut(id) else { continue };
            if !job.begun || !job.is_lasting() || job.splitting.is_some() {
                continue;
            }
            let waiting = job.waiting_tasks();
            if waiting.is_empty() || is_unsettled {
                job.waiting_since = None;
                continue;
            }
            if job.is_outdated(self.head.cell) {
                continue;
            }
            let since = *job.waiting_since.get_or_insert(clock.now);
            if clock.now < since + SPLIT_AFTER_MS {
                continue;
            }
            let mut excluded = vec![self.head.cell];
            if job.division(self.head.cell).is_none() {
                excluded.extend(job.other_cells(self.head.cell));
            }
            splits
                .extend(find_split(&mut self.balancer, job, &waiting, &excluded).map(|s| (*id, s)));
            if splits.len() >= MAX_MOVES {
                break;
            }
        }
        for (id, split) in splits {
            if let Some(job) = self.jobs.get_mut(&id) {
                job.splitting = Some(split);
                self.mark_dirty(id);
            }
        }
    }

    /// Gives up a planned split.
    pub(crate) fn drop_split(&mut self, id: job::Id) {
        let Some(job) = self.jobs.get_mut(&id) else { return };
        let Some(split) = job.splitting.take() else { return };
        let step = split.tasks.first().and_then(|&(step, _)| job.stage(0, step));
        if let Some(stage) = step {
            let milli = stage.step.reserved().processors_milli;
            self.balancer.return_room(split.to, milli, split.tasks.len());
        }
    }
}

/// Returns a cell with room for waiting lasting tasks of one step of a job, with the tasks to move there.
fn find_split(
    balancer: &mut admission::Balancer,
    job: &Job,
    waiting: &BTreeSet<(u16, u16)>,
    excluded: &[u32],
) -> Option<job::Split> {
    let unstarted = job.unstarted_tasks();
    // Those that have run first.
    let groups: BTreeSet<(bool, u16)> =
        waiting.iter().map(|task| (unstarted.contains(task), task.0)).collect();
    groups.into_iter().find_map(|(never_ran, number)| {
        let step = &job.stage(0, number)?.step;
        let of_group =
            |task: &(u16, u16)| task.0 == number && unstarted.contains(task) == never_ran;
        let tasks = || waiting.iter().copied().filter(of_group);
        let (service, wanted) = (&job.queue.service, tasks().count());
        let (to, count) = balancer.find_room(excluded, service, step, wanted, never_ran)?;
        Some(job::Split { to, tasks: tasks().take(count).collect() })
    })
}
