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
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Demand<'a> {
    /// Whether its tasks have run, so that only a cell whose owner goes on with what is done may get it: one
    /// that tells its inventory. Owners of earlier versions would run them again.
    pub begun: bool,
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
    /// The service whose workers may run its tasks.
    pub service: &'a str,
    /// The steps that have tasks left.
    pub steps: Vec<Remainder<'a>>,
    /// Processors that its largest task reserves, in thousandths of a core.
    pub task_milli: u64,
    /// Its estimated work, in core-milliseconds.
    pub work: u64,
}

/// A step of a job that has tasks left.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Remainder<'a> {
    /// The step.
    pub step: &'a Step,
    /// Whether every step that it depends on is done.
    pub ready: bool,
}

/// A cell's rank for a job; the least one is the best.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
struct Rank {
    /// What the cell's workers can't hold of the job.
    gap: Gap,
    /// The expected time until the job is done, in units of `WAIT_RESOLUTION_MS`.
    wait: u64,
    /// The share of the processors that would be reserved, in thousandths.
    reserved: u64,
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
    pub fn new(id: job::Id, submission: &'a Submission, queue: &'a Queue) -> Self {
        let steps = submission.steps.iter();
        let steps = steps.map(|step| Remainder { step, ready: step.after.is_empty() });
        Self::with_steps(id, steps.collect(), queue)
    }

    /// Returns the demand of what is left of a job.
    pub fn of_rest(id: job::Id, job: &'a Job) -> Self {
        Self { begun: job.begun, ..Self::with_steps(id, job.remainders(), &job.queue) }
    }

    fn with_steps(id: job::Id, steps: Vec<Remainder<'a>>, queue: &'a Queue) -> Self {
        let work = |step: &Step| step.work(step.count.into(), step.estimate_ms);
        let reserved =
            |step: &Step| u64::from(step.count).saturating_mul(step.reserved().processors_milli);
        let task = |step: &Step| step.reserved().processors_milli;
        let all = || steps.iter().map(|rest| rest.step);
        let filling = all().filter(|step| step.fills).max_by_key(|step| work(step));
        Self {
            begun: false,
            filling: filling.map(|step| step.image.as_str()),
            id,
            lasting: all().any(|step| step.lasting),
            priority: queue.priority,
            reserved_milli: all().map(reserved).max().unwrap_or(0),
            service: &queue.service,
            task_milli: all().map(task).max().unwrap_or(0),
            work: all().filter(|step| !step.lasting).map(work).fold(0, u64::saturating_add),
            steps,
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

    /// Returns a cell other than `own` whose workers can hold more of a job, or as much of it and serve it
    /// sooner by at least `margin_ms`, and adds the job to its load.
    pub fn find_better_cell(
        &mut self,
        own: u32,
        demand: &Demand<'_>,
        margin_ms: u64,
    ) -> Option<u32> {
        let here = self.cells.get(&own)?;
        // The head counts the job among those that wait.
        let own_milli = if demand.lasting { demand.reserved_milli } else { 0 };
        let (gap, wait_ms) = (here.gap(demand), here.wait_ms(demand, own_milli));
        let (cell, load) = self.best(demand, Some(own))?;
        let is_better = match load.gap(demand).cmp(&gap) {
            Ordering::Less => true,
            Ordering::Equal => load.wait_ms(demand, 0).saturating_add(margin_ms) <= wait_ms,
            Ordering::Greater => false,
        };
        if !is_better {
            return None;
        }
        load.add_job(demand);
        Some(cell)
    }

    /// Returns the cell that has the most processors free on one worker, among those with workers that can
    /// hold a task of the step, if such a task fits there, and how many of `tasks` such tasks fit on that
    /// worker. If they have never run, they also have to be allowed to start there. Skips `excluded`; adds the
    /// tasks to the load of the returned cell.
    pub fn find_room(
        &mut self,
        excluded: &[u32],
        service: &str,
        step: &Step,
        tasks: usize,
        unstarted: bool,
    ) -> Option<(u32, usize)> {
        let task_milli = step.reserved().processors_milli;
        let allowed = |load: &Load| match unstarted {
            true => usize::try_from(load.quota(0).tasks(task_milli)).unwrap_or(usize::MAX),
            false => usize::MAX,
        };
        let (&cell, load) = self
            .cells
            .iter_mut()
            .filter(|(cell, load)| {
                let sent = load.sent_milli;
                !excluded.contains(cell)
                    && load.head.largest_milli >= task_milli.saturating_add(sent)
                    && load.holds(service, step)
                    && allowed(load) > 0
            })
            .max_by_key(|(_, load)| load.head.largest_milli)?;
        let left = load.head.largest_milli - load.sent_milli;
        let fitting = (left / task_milli.max(1)).max(1) as usize;
        let count = tasks.min(fitting).min(allowed(load));
        load.sent_milli = load.sent_milli.saturating_add(task_milli.saturating_mul(count as u64));
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
        demand: &Demand<'_>,
        submission: &Submission,
        queue: &Queue,
    ) -> Option<gate::Outlook> {
        let image = demand.filling?;
        let all = || self.cells.values().filter(|load| load.head.total_milli > 0);
        let least = all().map(|load| load.gap(demand)).min()?;
        let loads = || all().filter(|load| load.gap(demand) == least);
        let step_ms = |step: &Step| {
            let fit = loads().find_map(|load| load.head.steps.get(&queue.name));
            fit.map_or(step.estimate_ms, |fit| fit.expected_ms(step.estimate_ms))
        };
        let path = submission.steps.iter().map(|step| (step, step_ms(step)));
        let path_ms = submission::critical_path_ms(path);
        let filling = submission.steps.iter().filter(|step| step.fills);
        let work = filling.map(|step| step.work(step.count.into(), step_ms(step)));
        let work = work.fold(0, u64::saturating_add);
        let expected: Option<Vec<u64>> =
            loads().map(|load| load.filling_ms(now, image, work)).collect();
        let expected_ms = expected?.into_iter().min()?.max(path_ms);
        Some(gate::Outlook { expected_ms, objective_ms: queue.latency_objective_ms(path_ms) })
    }

    /// Returns the number of a queue's jobs without a started task, over all cells.
    pub fn pending(&self, queue: &str) -> u64 {
        self.cells.values().filter_map(|load| load.head.pending.get(queue)).sum()
    }

    /// Returns the cell whose workers can hold the most of the job, among equal ones that which serves it
    /// soonest, and adds the job to its load.
    pub fn choose(&mut self, demand: &Demand<'_>) -> Option<u32> {
        let (cell, load) = self.best(demand, None)?;
        load.add_job(demand);
        Some(cell)
    }

    /// Returns the cell with the best rank among those with workers that answer, except `excluded`. With
    /// many processes, one of the cells that hold as much of the job and serve it about as soon.
    fn best(&mut self, demand: &Demand<'_>, excluded: Option<u32>) -> Option<(u32, &mut Load)> {
        let spread = self.processes >= MANY_PROCESSES;
        let cells = self.cells.iter_mut().map(|(cell, load)| (*cell, load));
        let mut cells: Vec<(Rank, u32, &mut Load)> = cells
            .filter(|(cell, load)| Some(*cell) != excluded && load.head.total_milli > 0)
            .filter(|(_, load)| !demand.begun || load.head.inventory.is_some())
            .map(|(cell, load)| (load.rank(demand), cell, load))
            .collect();
        let best = if spread {
            let least = cells.iter().map(|(rank, ..)| *rank).min()?;
            cells.retain(|(rank, ..)| {
                rank.gap == least.gap && rank.wait <= least.wait.saturating_add(1)
            });
            cells.into_iter().min_by(|(_, a, left), (_, b, right)| {
                left.draw(demand, *a).total_cmp(&right.draw(demand, *b))
            })
        } else {
            cells.into_iter().min_by_key(|(rank, cell, _)| (*rank, *cell))
        };
        best.map(|(_, cell, load)| (cell, load))
    }
}

impl Load {
    /// Adds a job sent to the cell.
    fn add_job(&mut self, demand: &Demand<'_>) {
        self.sent_milli = self.sent_milli.saturating_add(demand.reserved_milli);
        let sent = self.sent_work.entry(demand.priority).or_default();
        *sent = sent.saturating_add(demand.work);
        if let Some(image) = demand.filling {
            let sent = self.sent_filling.entry(image.to_owned()).or_default();
            *sent = sent.saturating_add(demand.work);
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

    /// Returns whether a worker of the cell can hold a task of the step; true if that is not known.
    fn holds(&self, service: &str, step: &Step) -> bool {
        self.head.inventory.as_ref().is_none_or(|inventory| inventory.holds(service, step))
    }

    /// Returns what the cell's workers can't hold of the job.
    fn gap(&self, demand: &Demand<'_>) -> Gap {
        Gap::new(self.head.inventory.as_ref(), demand)
    }

    fn rank(&self, demand: &Demand<'_>) -> Rank {
        let total = self.head.total_milli.max(1);
        let reserved = self.reserved_milli().saturating_add(demand.reserved_milli);
        Rank {
            gap: self.gap(demand),
            wait: self.wait_ms(demand, 0) / WAIT_RESOLUTION_MS,
            reserved: reserved.saturating_mul(1_000) / total,
        }
    }

    /// Returns the expected time until the job is done, or until it runs if it lasts, in
    /// milliseconds. `own_milli` of the head's waiting tasks are those of the job.
    fn wait_ms(&self, demand: &Demand<'_>, own_milli: u64) -> u64 {
        let total = self.head.total_milli.max(1);
        let missing = demand.reserved_milli.saturating_sub(self.room(demand, own_milli));
        if demand.lasting {
            return missing.saturating_mul(LASTING_WAIT_MS) / demand.reserved_milli.max(1);
        }
        let ahead = |work: &BTreeMap<u32, u64>| {
            work.range(..=demand.priority).fold(0, |sum: u64, (_, work)| sum.saturating_add(*work))
        };
        let work = ahead(&self.head.backlog)
            .saturating_add(ahead(&self.sent_work))
            .saturating_add(demand.work);
        let usable = demand.filling.and_then(|image| self.head.usable_milli.get(image));
        let least = (total / MAX_SLOWDOWN).max(1);
        let speed = usable.copied().unwrap_or(total).max(least);
        // Only processors that no lasting task holds become free while the job waits.
        let turnover = total.saturating_sub(self.head.lasting_milli).max(least);
        let work_ms = work.saturating_mul(1_000) / speed;
        work_ms.saturating_add(missing.saturating_mul(RESERVED_WAIT_MS) / turnover)
    }

    /// Returns the reserved processors, with those of jobs sent since the head was read, in
    /// thousandths of a core.
    fn reserved_milli(&self) -> u64 {
        let reserved = self.head.total_milli.saturating_sub(self.head.free_milli);
        reserved.saturating_add(self.sent_milli)
    }

    /// Returns what lasting tasks hold of the cell and what they may hold, as though those that wait had started
    /// but `own_milli` of them.
    fn quota(&self, own_milli: u64) -> Quota {
        let waiting_milli = self.head.lasting_waiting_milli.saturating_sub(own_milli);
        let ahead_milli = waiting_milli.saturating_add(self.sent_milli);
        let reserved_milli = self.reserved_milli().saturating_add(waiting_milli);
        let base = self.head.total_milli.saturating_mul(headroom::BASE_PERCENT) / 100;
        Quota {
            held_milli: self.head.lasting_milli.saturating_add(ahead_milli),
            limit_milli: self.head.lasting_limit_milli.max(base),
            reserved_milli,
            total_milli: self.head.total_milli,
        }
    }

    /// Returns the processors that the job could reserve now, in thousandths of a core. `own_milli` of the
    /// head's waiting tasks are those of the job.
    fn room(&self, demand: &Demand<'_>, own_milli: u64) -> u64 {
        if self.head.largest_milli < demand.task_milli {
            return 0;
        }
        let free = self.head.total_milli.saturating_sub(self.reserved_milli());
        if demand.lasting {
            return free.min(self.quota(own_milli).room_milli());
        }
        free
    }

    /// Returns the cell's draw for the job, the lowest wins: exponentially distributed by the job's
    /// ID, with a rate that is the cell's room, so that cells win in proportion to it.
    fn draw(&self, demand: &Demand<'_>, cell: u32) -> f64 {
        let room = match demand.filling {
            Some(image) => self.head.usable_milli.get(image).copied().unwrap_or(0),
            None => self.room(demand, 0),
        };
        let hash = xxhash_rust::xxh3::xxh3_64_with_seed(demand.id.as_str().as_bytes(), cell.into());
        // From the upper half of the hash, as a fraction in (0, 1].
        let uniform = ((hash >> 32) + 1) as f64 / (1_u64 << 32) as f64;
        -uniform.ln() / room.max(1) as f64
    }
}
