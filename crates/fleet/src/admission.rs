//! Chooses the cell of a new job from the loads that cells publish in their heads. Heads are
//! slightly out of date, and bursts of wide jobs arrive at many entry processes at once, so each
//! process adds the jobs that it has sent to a cell since its last head. With many processes most
//! jobs are sent by others: all of them would choose the same cell, so each spreads its jobs over
//! the cells in proportion to their room.

use super::*;

/// Estimated loads of all cells: their last heads plus the jobs sent since.
#[derive(Debug, Default)]
pub struct Balancer {
    cells: BTreeMap<u32, Load>,
    /// The number of processes that choose cells at the same time.
    processes: usize,
}

#[derive(Debug, Default)]
struct Load {
    head: Head,
    revision: u64,
    /// Processors reserved by jobs sent since the head was read, in thousandths of a core.
    sent_milli: u64,
    /// Work of jobs sent since the head was read, in core-milliseconds by priority.
    sent_work: BTreeMap<u32, u64>,
    /// Filling work of jobs sent since the head was read, in core-milliseconds by image.
    sent_filling: BTreeMap<String, u64>,
    /// When the head was read, in milliseconds.
    observed_at: u64,
}

/// The demand of a job on a cell.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Demand<'a> {
    /// The image of its filling step with the most work, if any.
    pub filling: Option<&'a str>,
    /// The job's ID, by which jobs are spread over cells.
    pub id: job::Id,
    /// Whether its tasks last.
    pub lasting: bool,
    /// Its queue's priority; 0 is placed first.
    pub priority: u32,
    /// Processors that its widest step reserves, in thousandths of a core.
    pub reserved_milli: u64,
    /// Processors that its largest task reserves, in thousandths of a core.
    pub task_milli: u64,
    /// Its estimated work, in core-milliseconds.
    pub work: u64,
}

/// Expected wait of a job for reserved processors that are in use, in milliseconds: about the
/// duration of a short task.
const RESERVED_WAIT_MS: u64 = 1_000;
/// Expected wait of a lasting job without room for any of its tasks, in milliseconds: other lasting
/// tasks hold the processors, for minutes.
const LASTING_WAIT_MS: u64 = 20_000;
/// From this many processes on, jobs are spread over cells in proportion to their room.
const MANY_PROCESSES: usize = 11;

/// Age of a head from which nothing follows from it, in milliseconds: under load each owner writes its own
/// several times a second.
const MAX_HEAD_AGE_MS: u64 = 2_000;
/// Maximum slowdown assumed for an image: a cell counts with at least 1/20 of its processors, since
/// its tasks end and free resources.
const MAX_SLOWDOWN: u64 = 20;
/// Resolution of expected waits, in milliseconds: cells with about the same wait are compared by
/// reserved share.
const WAIT_RESOLUTION_MS: u64 = 100;

impl<'a> Demand<'a> {
    /// Returns the demand of a job that was submitted to a queue.
    pub fn new(id: job::Id, submission: &'a Submission, queue: &Queue) -> Self {
        let work = |step: &Step| step.work(step.count.into(), step.estimate_ms);
        let reserved =
            |step: &Step| u64::from(step.count).saturating_mul(step.reserved().processors_milli);
        let filling = submission.steps.iter().filter(|step| step.fills).max_by_key(|s| work(s));
        let task = |step: &Step| step.reserved().processors_milli;
        Self {
            filling: filling.map(|step| step.image.as_str()),
            id,
            lasting: submission.steps.iter().any(|step| step.lasting),
            priority: queue.priority,
            reserved_milli: submission.steps.iter().map(reserved).max().unwrap_or(0),
            task_milli: submission.steps.iter().map(task).max().unwrap_or(0),
            work: submission.steps.iter().filter(|step| !step.lasting).map(work).sum(),
        }
    }
}

impl Balancer {
    /// Sets the number of processes that choose cells at the same time.
    pub fn set_processes(&mut self, processes: usize) {
        self.processes = processes;
    }

    /// Updates a cell's load from its head as read at `now`, in milliseconds; ignores a head that is not
    /// newer than the last one.
    pub fn observe(&mut self, now: u64, head: Head, revision: u64) {
        let load = self.cells.entry(head.cell).or_default();
        if revision <= load.revision {
            return;
        }
        *load = Load { head, observed_at: now, revision, ..Load::default() };
    }

    /// Returns a cell other than `own` that serves a job sooner by at least `margin_ms`, and adds
    /// the job to its load.
    pub fn find_sooner_cell(
        &mut self,
        own: u32,
        demand: Demand<'_>,
        margin_ms: u64,
    ) -> Option<u32> {
        let here = self.cells.get(&own)?.wait_ms(demand);
        let (cell, load) = self.soonest(demand, Some(own))?;
        if load.wait_ms(demand) + margin_ms > here {
            return None;
        }
        load.add_job(demand);
        Some(cell)
    }

    /// Returns the cell that has the most processors free on one worker, if a task of `task_milli`
    /// thousandths of a core fits there, and how many of `tasks` such tasks fit on that worker.
    /// Skips `excluded`; adds the tasks to the load of the returned cell.
    pub fn find_room(
        &mut self,
        excluded: &[u32],
        task_milli: u64,
        tasks: usize,
    ) -> Option<(u32, usize)> {
        let (&cell, load) = self
            .cells
            .iter_mut()
            .filter(|(cell, load)| {
                let sent = load.sent_milli;
                !excluded.contains(cell) && load.head.largest_milli >= task_milli + sent
            })
            .max_by_key(|(_, load)| load.head.largest_milli)?;
        let left = load.head.largest_milli - load.sent_milli;
        let fitting = (left / task_milli.max(1)).max(1) as usize;
        let count = tasks.min(fitting);
        load.sent_milli += task_milli * count as u64;
        Some((cell, count))
    }

    /// Takes tasks that `find_room` has added to the load of a cell, and that were not sent, off it again.
    pub fn return_room(&mut self, cell: u32, task_milli: u64, tasks: usize) {
        if let Some(load) = self.cells.get_mut(&cell) {
            load.sent_milli = load.sent_milli.saturating_sub(task_milli * tasks as u64);
        }
    }

    /// Returns when a job with filling work would be done in the cell that is fastest. `None` without such
    /// work, and if too little is known of some cell: it may have room.
    pub fn outlook(
        &self,
        now: u64,
        demand: Demand<'_>,
        submission: &Submission,
        queue: &Queue,
    ) -> Option<gate::Outlook> {
        let image = demand.filling?;
        let loads = || self.cells.values().filter(|load| load.head.total_milli > 0);
        let step_ms = |step: &Step| {
            let fit = loads().find_map(|load| load.head.steps.get(&queue.name));
            fit.map_or(step.estimate_ms, |fit| fit.expected_ms(step.estimate_ms))
        };
        let path = submission.steps.iter().map(|step| (step, step_ms(step)));
        let path_ms = submission::critical_path_ms(path);
        let filling = submission.steps.iter().filter(|step| step.fills);
        let work = filling.map(|step| step.work(step.count.into(), step_ms(step))).sum();
        let expected: Option<Vec<u64>> =
            loads().map(|load| load.filling_ms(now, image, work)).collect();
        let expected_ms = expected?.into_iter().min()?.max(path_ms);
        Some(gate::Outlook { expected_ms, objective_ms: queue.latency_objective_ms(path_ms) })
    }

    /// Returns the number of a queue's jobs without a started task, over all cells.
    pub fn pending(&self, queue: &str) -> u64 {
        self.cells.values().filter_map(|load| load.head.pending.get(queue)).sum()
    }

    /// Returns the cell that serves the job soonest and adds the job to its load.
    pub fn choose(&mut self, demand: Demand<'_>) -> Option<u32> {
        let (cell, load) = self.soonest(demand, None)?;
        load.add_job(demand);
        Some(cell)
    }

    /// Returns the cell that serves the job soonest among those with workers that answer, except
    /// `excluded`. With many processes, one of the cells that serve it about as soon.
    fn soonest(&mut self, demand: Demand<'_>, excluded: Option<u32>) -> Option<(u32, &mut Load)> {
        let spread = self.processes >= MANY_PROCESSES;
        let mut cells: Vec<(u32, &mut Load)> = self
            .cells
            .iter_mut()
            .map(|(cell, load)| (*cell, load))
            .filter(|(cell, load)| Some(*cell) != excluded && load.head.total_milli > 0)
            .collect();
        if !spread {
            return cells.into_iter().min_by_key(|(cell, load)| (load.rank(demand), *cell));
        }
        let least = cells.iter().map(|(_, load)| load.rank(demand).0).min()?;
        cells.retain(|(_, load)| load.rank(demand).0 <= least + 1);
        cells.into_iter().min_by(|(a, left), (b, right)| {
            left.draw(demand, *a).total_cmp(&right.draw(demand, *b))
        })
    }
}

impl Load {
    /// Adds a job sent to the cell.
    fn add_job(&mut self, demand: Demand<'_>) {
        self.sent_milli += demand.reserved_milli;
        *self.sent_work.entry(demand.priority).or_default() += demand.work;
        if let Some(image) = demand.filling {
            *self.sent_filling.entry(image.to_owned()).or_default() += demand.work;
        }
    }

    /// Returns the expected time until filling work of an image is done, in milliseconds; `None` if that is
    /// not known, or the cell may have no owner.
    fn filling_ms(&self, now: u64, image: &str, work: u64) -> Option<u64> {
        if now > self.observed_at + MAX_HEAD_AGE_MS {
            return None;
        }
        let throughput = self.head.throughput.get(image)?;
        let sent = self.sent_filling.get(image).copied().unwrap_or(0);
        let ahead = throughput.backlog.saturating_add(sent).saturating_add(work);
        Some(ahead.saturating_mul(1_000) / throughput.milli.max(1))
    }

    /// Returns the cell's rank, lower is better: the expected time until the job is done, in units
    /// of `WAIT_RESOLUTION_MS`, then the share of the processors that would be reserved, in
    /// thousandths.
    fn rank(&self, demand: Demand<'_>) -> (u64, u64) {
        let total = self.head.total_milli.max(1);
        let reserved = self.reserved_milli() + demand.reserved_milli;
        (self.wait_ms(demand) / WAIT_RESOLUTION_MS, reserved * 1_000 / total)
    }

    /// Returns the expected time until the job is done, or until it runs if it lasts, in
    /// milliseconds.
    fn wait_ms(&self, demand: Demand<'_>) -> u64 {
        let total = self.head.total_milli.max(1);
        let missing = demand.reserved_milli.saturating_sub(self.room(demand));
        if demand.lasting {
            return missing * LASTING_WAIT_MS / demand.reserved_milli.max(1);
        }
        let ahead =
            |work: &BTreeMap<u32, u64>| work.range(..=demand.priority).map(|(_, w)| w).sum();
        let backlog: u64 = ahead(&self.head.backlog);
        let sent: u64 = ahead(&self.sent_work);
        let usable = demand.filling.and_then(|image| self.head.usable_milli.get(image));
        let least = (total / MAX_SLOWDOWN).max(1);
        let speed = usable.copied().unwrap_or(total).max(least);
        // Only processors that no lasting task holds become free while the job waits.
        let turnover = total.saturating_sub(self.head.lasting_milli).max(least);
        (backlog + sent + demand.work) * 1_000 / speed + missing * RESERVED_WAIT_MS / turnover
    }

    /// Returns the reserved processors, with those of jobs sent since the head was read, in
    /// thousandths of a core.
    fn reserved_milli(&self) -> u64 {
        self.head.total_milli.saturating_sub(self.head.free_milli) + self.sent_milli
    }

    /// Returns the processors that the job could reserve now, in thousandths of a core.
    fn room(&self, demand: Demand<'_>) -> u64 {
        if self.head.largest_milli < demand.task_milli {
            return 0;
        }
        let free = self.head.total_milli.saturating_sub(self.reserved_milli());
        if demand.lasting {
            let lasting = self.head.lasting_milli + self.sent_milli;
            let base = self.head.total_milli * headroom::BASE_PERCENT / 100;
            let limit = self.head.lasting_limit_milli.max(base);
            return free.min(limit.saturating_sub(lasting));
        }
        free
    }

    /// Returns the cell's draw for the job, the lowest wins: exponentially distributed by the job's
    /// ID, with a rate that is the cell's room, so that cells win in proportion to it.
    fn draw(&self, demand: Demand<'_>, cell: u32) -> f64 {
        let room = match demand.filling {
            Some(image) => self.head.usable_milli.get(image).copied().unwrap_or(0),
            None => self.room(demand),
        };
        let hash = xxhash_rust::xxh3::xxh3_64_with_seed(demand.id.as_str().as_bytes(), cell.into());
        // From the upper half of the hash, as a fraction in (0, 1].
        let uniform = ((hash >> 32) + 1) as f64 / (1_u64 << 32) as f64;
        -uniform.ln() / room.max(1) as f64
    }
}
