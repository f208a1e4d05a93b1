//! A worker as the owner of its cell believes it to be.

use super::*;

/// A worker of a cell.
#[derive(Debug)]
pub struct Worker {
    /// Ends up to this number are recorded; the next poll says so.
    pub acknowledged: u64,
    /// When the listed life began, in milliseconds since 1970.
    pub born: Option<u64>,
    /// The worker's clock at a moment of ours: its milliseconds, our milliseconds.
    pub clock: Option<(u64, u64)>,
    /// It has answered a poll under this owner's fencing token.
    pub fenced: bool,
    /// It gets no new run before this time, in milliseconds.
    pub paused_until: u64,
    /// The latest end of a lease that an order asked for, on the worker's clock.
    pub granted_until: u64,
    /// A poll is under way.
    pub polling: bool,
    /// When the next poll is due, in milliseconds.
    pub poll_at: u64,
    /// Polls without an answer in a row.
    pub missed: u32,
    /// The highest end that was taken in.
    pub processed: u64,
    /// Ends taken in and the change that records them: number, change.
    pub unrecorded: VecDeque<(u64, u64)>,
    /// Its entry, when it has one.
    pub registration: Option<Registration>,
    /// Runs that it listed last of jobs that this cell does not know.
    pub unknown_runs: Vec<(task::Name, u32)>,
    /// Runs that it holds or may hold.
    pub runs: BTreeMap<task::Name, Run>,
    /// What its runs reserve.
    pub reserved: Resources,
    /// Processors that filling tasks ask for, in thousandths of a core.
    pub filling_milli: u64,
    /// Processors of serving tasks, in thousandths of a core.
    pub serving_milli: u64,
    /// When tails and loads were last learned from its figures, in milliseconds.
    pub learned_at: u64,
    /// Filling runs that ended a moment ago: when, their image, the cores that they used.
    pub ended: Vec<(u64, String, f64)>,
    /// Ends in a row that failed.
    pub failures: u32,
    /// When it was first seen without an entry, in milliseconds.
    pub missing_since: Option<u64>,
}

/// Polls in a row that a leaving worker without an entry leaves unanswered before it counts as
/// gone.
const MISSED_TO_LEAVE: u32 = 2;

impl Worker {
    /// Returns a worker that has not been heard.
    pub fn new(registration: Option<Registration>) -> Self {
        Self {
            acknowledged: 0,
            born: None,
            clock: None,
            fenced: false,
            paused_until: 0,
            granted_until: 0,
            polling: false,
            poll_at: 0,
            missed: 0,
            processed: 0,
            unrecorded: VecDeque::new(),
            registration,
            unknown_runs: Vec::new(),
            runs: BTreeMap::new(),
            reserved: Resources::default(),
            filling_milli: 0,
            serving_milli: 0,
            learned_at: 0,
            ended: Vec::new(),
            failures: 0,
            missing_since: None,
        }
    }

    /// Returns the end of a lease of `lease_ms` from `now`, on the worker's clock, and notes it.
    pub fn grant(&mut self, now: u64, lease_ms: u64) -> Option<u64> {
        let (clock, at) = self.clock?;
        let until = clock + now.saturating_sub(at) + lease_ms;
        self.granted_until = self.granted_until.max(until);
        Some(until)
    }

    /// Returns when every lease that this owner asked for is surely over, in milliseconds.
    pub fn lapsed_at(&self) -> Option<u64> {
        let (clock, at) = self.clock?;
        let left = self.granted_until.saturating_sub(clock);
        Some(at + left * 100 / (100 - limits::CLOCK_SLOW_PERCENT) + limits::LEASE_SLACK_MS)
    }

    /// Returns what the worker can hold.
    pub fn capacity(&self) -> Resources {
        self.registration.as_ref().map(|entry| entry.capacity).unwrap_or_default()
    }

    /// Returns what new runs may reserve.
    pub fn room(&self) -> Resources {
        self.capacity().saturating_sub(&self.reserved)
    }

    /// Returns whether the worker may get new runs.
    pub fn is_usable(&self, now: u64) -> bool {
        self.fenced
            && self.missed == 0
            && self.paused_until <= now
            && self.registration.as_ref().is_some_and(|entry| !entry.draining)
    }

    /// Adds a run and its reservation.
    pub fn insert(&mut self, name: task::Name, run: Run) {
        self.remove(&name);
        self.reserved = self.reserved + run.step.reserved();
        if run.step.fills {
            self.filling_milli += run.step.resources.processors_milli;
        }
        if run.step.target_ms > 0 {
            self.serving_milli += run.step.resources.processors_milli;
        }
        self.runs.insert(name, run);
    }

    /// Returns the run of a task with this number.
    pub fn run_mut(&mut self, name: &task::Name, number: u32) -> Option<&mut Run> {
        self.runs.get_mut(name).filter(|run| run.number == number)
    }

    /// Takes a run out, and its reservation.
    pub fn remove(&mut self, name: &task::Name) -> Option<Run> {
        let run = self.runs.remove(name)?;
        self.reserved = self.reserved.saturating_sub(&run.step.reserved());
        let milli = run.step.resources.processors_milli;
        if run.step.fills {
            self.filling_milli = self.filling_milli.saturating_sub(milli);
        }
        if run.step.target_ms > 0 {
            self.serving_milli = self.serving_milli.saturating_sub(milli);
        }
        Some(run)
    }

    /// Returns whether it said that it leaves, and neither its entry nor itself is there any more.
    pub fn has_left(&self) -> bool {
        let said = self.registration.as_ref().is_some_and(|entry| entry.draining);
        said && self.missing_since.is_some() && self.missed >= MISSED_TO_LEAVE
    }

    /// Returns whether filling tasks run beside serving ones.
    pub fn is_shared(&self) -> bool {
        self.filling_milli > 0 && self.serving_milli > 0
    }

    /// Returns whether it carries a label.
    pub fn is_labelled(&self, label: &str) -> bool {
        self.registration.as_ref().is_some_and(|entry| entry.labels.iter().any(|l| l == label))
    }
}
