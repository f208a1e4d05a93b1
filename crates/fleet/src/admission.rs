//! Chooses the cell of a new job. Answers bursts of wide jobs at many fronts at once, each of which
//! knows the cells only as they were a moment ago: what this front has sent since counts too.

use super::*;

/// The cells as their owners last told, and what this front has sent since.
#[derive(Debug, Default)]
pub struct Board {
    cells: BTreeMap<u32, Seen>,
}

#[derive(Debug, Default)]
struct Seen {
    head: Head,
    revision: u64,
    /// Processors that jobs sent since reserve, in thousandths of a core.
    sent_milli: u64,
    /// Core-milliseconds of jobs sent since, by priority.
    sent_work: BTreeMap<u32, u64>,
}

/// What a job asks of a cell.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Demand<'a> {
    /// The image of its largest filling step.
    pub filling: Option<&'a str>,
    /// Its queue's priority.
    pub priority: u32,
    /// Processors that its widest step reserves, in thousandths of a core.
    pub reserved_milli: u64,
    /// Its work, in core-milliseconds by the estimates.
    pub work: u64,
}

/// How long a job waits for reserved processors that are in use, in milliseconds: about the time
/// that a short task holds them.
const RESERVED_WAIT_MS: u64 = 1_000;

/// A cell counts as at least this part of its size for any image: its tasks end and make room.
const SLOWEST: u64 = 20;
/// Waits that differ by less than this count as equal, in milliseconds.
const WAIT_STEP_MS: u64 = 100;

impl<'a> Demand<'a> {
    /// Returns what a submission to a queue asks for.
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

impl Board {
    /// Takes in a cell's head.
    pub fn observe(&mut self, head: Head, revision: u64) {
        let seen = self.cells.entry(head.cell).or_default();
        if revision <= seen.revision {
            return;
        }
        *seen = Seen { head, revision, ..Seen::default() };
    }

    /// Returns a cell other than `own` that serves a job sooner by `margin_ms`, and counts the job
    /// there.
    pub fn better(&mut self, own: u32, demand: Demand<'_>, margin_ms: u64) -> Option<u32> {
        let here = self.cells.get(&own)?.rank(demand).0 * WAIT_STEP_MS;
        let (cell, seen) = self.soonest(demand, Some(own))?;
        if seen.rank(demand).0 * WAIT_STEP_MS + margin_ms > here {
            return None;
        }
        seen.count(demand);
        Some(cell)
    }

    /// Returns a cell that is not among `cells` and has this much free on one worker, with the
    /// number of `tasks` that find room there, and counts them there.
    pub fn room(&mut self, cells: &[u32], task_milli: u64, tasks: usize) -> Option<(u32, usize)> {
        let (&cell, seen) = self
            .cells
            .iter_mut()
            .filter(|(cell, seen)| {
                let sent = seen.sent_milli;
                !cells.contains(cell) && seen.head.largest_milli >= task_milli + sent
            })
            .max_by_key(|(_, seen)| seen.head.largest_milli)?;
        let left = seen.head.largest_milli - seen.sent_milli;
        let fitting = (left / task_milli.max(1)).max(1) as usize;
        let taken = tasks.min(fitting);
        seen.sent_milli += task_milli * taken as u64;
        Some((cell, taken))
    }

    /// Returns the jobs without a started task in a queue.
    pub fn pending(&self, queue: &str) -> u64 {
        self.cells.values().filter_map(|seen| seen.head.pending.get(queue)).sum()
    }

    /// Chooses the cell that serves the job soonest, and counts the job there.
    pub fn choose(&mut self, demand: Demand<'_>) -> Option<u32> {
        let (cell, seen) = self.soonest(demand, None)?;
        seen.count(demand);
        Some(cell)
    }

    /// Returns the cell with workers that serves the job soonest, leaving one out.
    fn soonest(&mut self, demand: Demand<'_>, but: Option<u32>) -> Option<(u32, &mut Seen)> {
        self.cells
            .iter_mut()
            .map(|(cell, seen)| (*cell, seen))
            .filter(|(cell, seen)| Some(*cell) != but && seen.head.total_milli > 0)
            .min_by_key(|(cell, seen)| (seen.rank(demand), *cell))
    }
}

impl Seen {
    fn count(&mut self, demand: Demand<'_>) {
        self.sent_milli += demand.reserved_milli;
        *self.sent_work.entry(demand.priority).or_default() += demand.work;
    }

    /// Returns how badly the cell suits: how long the job is likely to wait, in milliseconds, then
    /// the share of the processors that would be reserved, in thousandths.
    fn rank(&self, demand: Demand<'_>) -> (u64, u64) {
        let ahead =
            |work: &BTreeMap<u32, u64>| work.range(..=demand.priority).map(|(_, w)| w).sum();
        let backlog: u64 = ahead(&self.head.backlog);
        let sent: u64 = ahead(&self.sent_work);
        let total = self.head.total_milli.max(1);
        let used = total.saturating_sub(self.head.free_milli) + self.sent_milli;
        let reserved = used + demand.reserved_milli;
        let usable = demand.filling.and_then(|image| self.head.usable_milli.get(image));
        let speed = usable.copied().unwrap_or(total).max(total / SLOWEST).max(1);
        let wait = (backlog + sent + demand.work) * 1_000 / speed
            + reserved.saturating_sub(total) * RESERVED_WAIT_MS / total;
        (wait / WAIT_STEP_MS, reserved * 1_000 / total)
    }
}
