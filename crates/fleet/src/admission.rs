//! Chooses the cell of a new job from the loads that cells publish in their heads. Heads are
//! slightly out of date, and bursts of wide jobs arrive at many entry processes at once, so each
//! process adds the jobs that it has sent to a cell since its last head.

use super::*;

/// Estimated loads of all cells: their last heads plus the jobs sent since.
#[derive(Debug, Default)]
pub struct Balancer {
    cells: BTreeMap<u32, Load>,
}

#[derive(Debug, Default)]
struct Load {
    head: Head,
    revision: u64,
    /// Processors reserved by jobs sent since the head was read, in thousandths of a core.
    sent_milli: u64,
    /// Work of jobs sent since the head was read, in core-milliseconds by priority.
    sent_work: BTreeMap<u32, u64>,
}

/// The demand of a job on a cell.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Demand<'a> {
    /// The image of its filling step with the most work, if any.
    pub filling: Option<&'a str>,
    /// Its queue's priority; 0 is placed first.
    pub priority: u32,
    /// Processors that its widest step reserves, in thousandths of a core.
    pub reserved_milli: u64,
    /// Its estimated work, in core-milliseconds.
    pub work: u64,
}

/// Expected wait of a job for reserved processors that are in use, in milliseconds: about the
/// duration of a short task.
const RESERVED_WAIT_MS: u64 = 1_000;

/// Maximum slowdown assumed for an image: a cell counts with at least 1/20 of its processors, since
/// its tasks end and free resources.
const MAX_SLOWDOWN: u64 = 20;
/// Resolution of expected waits, in milliseconds: cells with about the same wait are compared by
/// reserved share.
const WAIT_RESOLUTION_MS: u64 = 100;

impl<'a> Demand<'a> {
    /// Returns the demand of a submission to a queue.
    pub fn new(submission: &'a Submission, queue: &Queue) -> Self {
        let work = |step: &Step| {
            u64::from(step.count) * step.estimate_ms * step.resources.processors_milli / 1_000
        };
        let reserved = |step: &Step| u64::from(step.count) * step.reserved().processors_milli;
        let filling = submission.steps.iter().filter(|step| step.fills).max_by_key(|s| work(s));
        Self {
            filling: filling.map(|step| step.image.as_str()),
            priority: queue.priority,
            reserved_milli: submission.steps.iter().map(reserved).max().unwrap_or(0),
            work: submission.steps.iter().filter(|step| !step.lasting).map(work).sum(),
        }
    }
}

impl Balancer {
    /// Updates a cell's load from its head; ignores a head that is not newer than the last one.
    pub fn observe(&mut self, head: Head, revision: u64) {
        let load = self.cells.entry(head.cell).or_default();
        if revision <= load.revision {
            return;
        }
        *load = Load { head, revision, ..Load::default() };
    }

    /// Returns a cell other than `own` that serves a job sooner by at least `margin_ms`, and adds
    /// the job to its load.
    pub fn find_sooner_cell(
        &mut self,
        own: u32,
        demand: Demand<'_>,
        margin_ms: u64,
    ) -> Option<u32> {
        let here = self.cells.get(&own)?.rank(demand).0 * WAIT_RESOLUTION_MS;
        let (cell, load) = self.soonest(demand, Some(own))?;
        if load.rank(demand).0 * WAIT_RESOLUTION_MS + margin_ms > here {
            return None;
        }
        load.add_job(demand);
        Some(cell)
    }

    /// Returns the cell that has the most processors free on one worker, if a task of `task_milli`
    /// thousandths of a core fits there, and how many of `tasks` such tasks fit on that worker.
    /// Skips `cells`; adds the tasks to the load of the returned cell.
    pub fn find_room(
        &mut self,
        cells: &[u32],
        task_milli: u64,
        tasks: usize,
    ) -> Option<(u32, usize)> {
        let (&cell, load) = self
            .cells
            .iter_mut()
            .filter(|(cell, load)| {
                let sent = load.sent_milli;
                !cells.contains(cell) && load.head.largest_milli >= task_milli + sent
            })
            .max_by_key(|(_, load)| load.head.largest_milli)?;
        let left = load.head.largest_milli - load.sent_milli;
        let fitting = (left / task_milli.max(1)).max(1) as usize;
        let count = tasks.min(fitting);
        load.sent_milli += task_milli * count as u64;
        Some((cell, count))
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
    /// `excluded`.
    fn soonest(&mut self, demand: Demand<'_>, excluded: Option<u32>) -> Option<(u32, &mut Load)> {
        self.cells
            .iter_mut()
            .map(|(cell, load)| (*cell, load))
            .filter(|(cell, load)| Some(*cell) != excluded && load.head.total_milli > 0)
            .min_by_key(|(cell, load)| (load.rank(demand), *cell))
    }
}

impl Load {
    /// Adds a job sent to the cell.
    fn add_job(&mut self, demand: Demand<'_>) {
        self.sent_milli += demand.reserved_milli;
        *self.sent_work.entry(demand.priority).or_default() += demand.work;
    }

    /// Returns the cell's rank, lower is better: the expected time until the job is done, in units
    /// of `WAIT_RESOLUTION_MS`, then the share of the processors that would be reserved, in
    /// thousandths.
    fn rank(&self, demand: Demand<'_>) -> (u64, u64) {
        let ahead =
            |work: &BTreeMap<u32, u64>| work.range(..=demand.priority).map(|(_, w)| w).sum();
        let backlog: u64 = ahead(&self.head.backlog);
        let sent: u64 = ahead(&self.sent_work);
        let total = self.head.total_milli.max(1);
        let used = total.saturating_sub(self.head.free_milli) + self.sent_milli;
        let reserved = used + demand.reserved_milli;
        let usable = demand.filling.and_then(|image| self.head.usable_milli.get(image));
        let speed = usable.copied().unwrap_or(total).max(total / MAX_SLOWDOWN).max(1);
        let wait = (backlog + sent + demand.work) * 1_000 / speed
            + reserved.saturating_sub(total) * RESERVED_WAIT_MS / total;
        (wait / WAIT_RESOLUTION_MS, reserved * 1_000 / total)
    }
}
