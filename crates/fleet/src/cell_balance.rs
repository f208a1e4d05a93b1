//! Passes jobs and lasting tasks on to cells that serve them sooner, by the load that heads tell.

use {super::*, cell_record::LOAD_MS};

/// Between searches for jobs to pass on, in milliseconds.
const REBALANCE_MS: u64 = 200;
/// A job is passed on after it has waited for this long, in milliseconds.
const MOVE_AFTER_MS: u64 = 250;
/// Lasting tasks are passed on after they have waited for this long, in milliseconds.
const SPLIT_AFTER_MS: u64 = 800;
/// How much sooner another cell must serve a job, in milliseconds.
const MOVE_MARGIN_MS: u64 = 400;
/// Jobs passed on at once.
const MOVES: usize = 4;

impl Cell {
    /// Works out what a task of each filling image would find, every `LOAD_MS`.
    pub(crate) fn gauge(&mut self, clock: Clock) {
        if clock.now < self.gauged_at + LOAD_MS {
            return;
        }
        self.gauged_at = clock.now;
        // Room beside serving tasks comes and goes with their load.
        self.unplaced = true;
        self.learned.fade(LOAD_MS as f64 / 1_000.0);
        self.pressure = self.learned.clone();
        self.pressure.add(&self.learned_elsewhere);
        let mut images: BTreeMap<&str, &Arc<Step>> = BTreeMap::new();
        for job in self.jobs.values() {
            for stage in job.occurrences.iter().flat_map(|occurrence| &occurrence.stages) {
                if stage.step.fills {
                    images.insert(&stage.step.image, &stage.step);
                }
            }
        }
        let mut usable: BTreeMap<String, u64> = BTreeMap::new();
        for (image, step) in images {
            let found = |worker: &Worker| {
                let pace = u64::from(worker.pace_with(clock.now, &self.pressure, step));
                placement::unused_milli(worker).max(0) as u64 * pace / 100
            };
            let workers = self.workers.values().filter(|worker| worker.is_usable(clock.now));
            usable.insert(image.into(), workers.map(found).sum());
        }
        // What is known of an image holds until a job with it comes again.
        self.usable.extend(usable);
    }

    /// Passes jobs that have not begun on to cells that serve them sooner.
    pub(crate) fn rebalance(&mut self, clock: Clock) {
        if self.leaving || clock.now < self.rebalanced_at + REBALANCE_MS {
            return;
        }
        self.rebalanced_at = clock.now;
        let fenced = self.unfenced.is_empty();
        let mut moves = Vec::new();
        for (_, _, id) in &self.order {
            let Some(job) = self.jobs.get(id) else { continue };
            let waited = clock.unix.saturating_sub(job.accepted_at_ms);
            let settled = fenced || !job.recovered;
            if job.begun || job.moving_to.is_some() || !settled || waited < MOVE_AFTER_MS {
                continue;
            }
            if job.record.submission.is_timed() {
                continue;
            }
            let demand = admission::Demand::new(&job.record.submission, &job.queue);
            if let Some(cell) = self.board.better(self.head.cell, demand, MOVE_MARGIN_MS) {
                moves.push((*id, cell));
            }
            if moves.len() >= MOVES {
                break;
            }
        }
        self.split_stuck(clock);
        for (id, cell) in moves {
            if let Some(job) = self.jobs.get_mut(&id) {
                job.moving_to = Some(cell);
                self.touch(id);
            }
        }
    }

    /// Passes lasting tasks that find no room here on to cells that have it.
    fn split_stuck(&mut self, clock: Clock) {
        let fenced = self.unfenced.is_empty();
        let mut splits = Vec::new();
        for (_, _, id) in &self.order {
            let Some(job) = self.jobs.get_mut(id) else { continue };
            if !job.begun || !job.is_lasting() || job.splitting.is_some() {
                continue;
            }
            let waiting = job.waiting();
            let Some(&(step, _)) = waiting.first().filter(|_| fenced || !job.recovered) else {
                job.waiting_since = None;
                continue;
            };
            let since = *job.waiting_since.get_or_insert(clock.now);
            if clock.now < since + SPLIT_AFTER_MS {
                continue;
            }
            let Some(step) = job.stage(0, step).map(|stage| stage.step.clone()) else { continue };
            let mut cells = job.also.clone();
            cells.extend(job.home);
            cells.push(self.head.cell);
            let milli = step.reserved().processors_milli;
            if let Some((to, taken)) = self.board.room(&cells, milli, waiting.len()) {
                let tasks = waiting.into_iter().take(taken).collect();
                splits.push((*id, job::Split { to, tasks }));
            }
            if splits.len() >= MOVES {
                break;
            }
        }
        for (id, split) in splits {
            if let Some(job) = self.jobs.get_mut(&id) {
                job.splitting = Some(split);
                self.touch(id);
            }
        }
    }
}
