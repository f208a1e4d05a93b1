//! The ground truth of a test: what ran, as recorded by the simulated workers themselves.

use super::*;

/// The ground truth of a test: what ran on the workers. Cheap to clone; clones share it, and
/// several workers may write to one.
#[derive(Clone, Debug, Default)]
pub struct Ledger(Arc<Mutex<Record>>);

/// The contents of a ledger, as carried over HTTP.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Record {
    /// Peak use and capacity of each VM.
    pub peaks: BTreeMap<Name, Peak>,
    /// Urgent requests that ran, in the order of their starts.
    pub requests: Vec<Request>,
    /// Runs of tasks, in the order of their starts.
    pub runs: Vec<Run>,
    /// Starts of tasks refused because they came with an epoch older than the highest seen.
    pub stale_starts: u64,
    /// Urgent requests that a worker refused: service not hosted, no free slot, excess connection
    /// or unreadable body.
    pub turned_away: u64,
}

/// Peak use of a VM.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Peak {
    /// Capacity of the VM.
    pub capacity: Resources,
    /// The highest amount of each resource that runs reserved at once, taken separately.
    pub most: Resources,
    /// The highest number of slots in use at once.
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
    /// Its request id.
    pub request: String,
    /// The service.
    pub service: Name,
    /// When it started, in microseconds since the Unix epoch.
    pub start_us: u64,
    /// The VM that it ran on.
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
    /// Epoch of the owner that started it.
    pub epoch: cell::Epoch,
    /// The task and the attempt.
    pub run: protocol::Run,
    /// When it started, in microseconds since the Unix epoch.
    pub start_us: u64,
    /// The VM that it ran on.
    pub vm: Name,
}

impl Ledger {
    /// Returns a copy of the contents.
    pub fn record(&self) -> Record {
        lock(&self.0).clone()
    }

    /// Counts the work done and the violations of the scheduler's guarantees.
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

    pub(crate) fn count_stale_starts(&self, count: u64) {
        lock(&self.0).stale_starts += count;
    }

    pub(crate) fn count_refused_request(&self) {
        lock(&self.0).turned_away += 1;
    }

    pub(crate) fn record_slots(&self, vm: &Name, slots: u32) {
        let mut record = lock(&self.0);
        let peak = record.peaks.entry(vm.clone()).or_default();
        peak.slots = peak.slots.max(slots);
    }

    pub(crate) fn record_resources(&self, vm: &Name, reserved: &Resources, capacity: &Resources) {
        let mut record = lock(&self.0);
        let peak = record.peaks.entry(vm.clone()).or_default();
        peak.capacity = *capacity;
        peak.most = Resources {
            accelerators: peak.most.accelerators.max(reserved.accelerators),
            memory_mib: peak.most.memory_mib.max(reserved.memory_mib),
            processors_milli: peak.most.processors_milli.max(reserved.processors_milli),
        };
    }
}

impl Record {
    /// Adds the record of another process's workers.
    pub fn merge(&mut self, other: Self) {
        self.peaks.extend(other.peaks);
        self.requests.extend(other.requests);
        self.runs.extend(other.runs);
        self.stale_starts += other.stale_starts;
        self.turned_away += other.turned_away;
    }
}
