//! What really ran, as the workers themselves saw it.

use super::*;

/// What really ran. Cheap to clone; clones share it, and several workers may write to one.
#[derive(Clone, Debug, Default)]
pub struct Ledger(Arc<Mutex<Record>>);

/// Everything that a ledger holds, as carried over HTTP.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Record {
    /// The most in use at once on each VM, and what the VM holds.
    pub peaks: BTreeMap<Name, Peak>,
    /// Urgent requests that ran, in the order of their starts.
    pub requests: Vec<Request>,
    /// Runs of tasks, in the order of their starts.
    pub runs: Vec<Run>,
    /// Starts of tasks that came from an owner whose epoch was over, and were refused.
    pub stale_starts: u64,
    /// Urgent requests refused by a guard.
    pub turned_away: u64,
}

/// The most in use at once on a VM.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Peak {
    /// What the VM holds.
    pub capacity: Resources,
    /// The most of each resource in use at once.
    pub most: Resources,
    /// The most slots in use at once.
    pub slots: u32,
}

/// An urgent request that ran.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Request {
    /// When it ended, in microseconds since the Unix epoch; `None` while it runs.
    pub end_us: Option<u64>,
    /// Whether it was marked as idempotent.
    pub idempotent: bool,
    /// Its idempotency key.
    pub key: Option<String>,
    /// Its id.
    pub request: String,
    /// The service.
    pub service: Name,
    /// When it started, in microseconds since the Unix epoch.
    pub start_us: u64,
    /// Where it ran.
    pub vm: Name,
}

/// A run of a task.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Run {
    /// The checkpoint that it resumed from.
    pub checkpoint: Option<String>,
    /// How it ended; `None` while it runs, or when its worker died.
    pub end: Option<protocol::End>,
    /// When it ended, in microseconds since the Unix epoch; `None` while it runs.
    pub end_us: Option<u64>,
    /// The epoch that started it.
    pub epoch: cell::Epoch,
    /// The run.
    pub run: protocol::Run,
    /// When it started, in microseconds since the Unix epoch.
    pub start_us: u64,
    /// Where it ran.
    pub vm: Name,
}

impl Ledger {
    /// Returns a copy of everything so far.
    pub fn record(&self) -> Record {
        lock(&self.0).clone()
    }

    /// Counts what is wrong, and what was done.
    pub fn summary(&self) -> summary::Summary {
        summary::Summary::from(&*lock(&self.0))
    }

    pub(crate) fn end_request(&self, index: usize, end_us: u64) {
        if let Some(request) = lock(&self.0).requests.get_mut(index) {
            request.end_us = Some(end_us);
        }
    }

    pub(crate) fn end_run(&self, index: usize, end_us: u64, end: Option<protocol::End>) {
        if let Some(run) = lock(&self.0).runs.get_mut(index) {
            run.end_us = Some(end_us);
            run.end = end;
        }
    }

    pub(crate) fn start_request(&self, request: Request) -> usize {
        let mut record = lock(&self.0);
        record.requests.push(request);
        record.requests.len() - 1
    }

    pub(crate) fn start_run(&self, run: Run) -> usize {
        let mut record = lock(&self.0);
        record.runs.push(run);
        record.runs.len() - 1
    }

    pub(crate) fn refuse_starts(&self, count: u64) {
        lock(&self.0).stale_starts += count;
    }

    pub(crate) fn turn_away(&self) {
        lock(&self.0).turned_away += 1;
    }

    pub(crate) fn use_slots(&self, vm: &Name, slots: u32) {
        let mut record = lock(&self.0);
        let peak = record.peaks.entry(vm.clone()).or_default();
        peak.slots = peak.slots.max(slots);
    }

    pub(crate) fn use_resources(&self, vm: &Name, used: &Resources, capacity: &Resources) {
        let mut record = lock(&self.0);
        let peak = record.peaks.entry(vm.clone()).or_default();
        peak.capacity = *capacity;
        peak.most = Resources {
            accelerators: peak.most.accelerators.max(used.accelerators),
            memory_mib: peak.most.memory_mib.max(used.memory_mib),
            processors_milli: peak.most.processors_milli.max(used.processors_milli),
        };
    }
}

impl Record {
    /// Adds what another process's workers saw.
    pub fn merge(&mut self, other: Self) {
        self.peaks.extend(other.peaks);
        self.requests.extend(other.requests);
        self.runs.extend(other.runs);
        self.stale_starts += other.stale_starts;
        self.turned_away += other.turned_away;
    }
}
