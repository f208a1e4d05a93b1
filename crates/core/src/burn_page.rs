//! What one entry has counted, as `GET /report` shows it.

use super::*;

/// VMs that a page and a report name for a service.
pub const MAX_BLAMED: usize = 10;

/// What one entry has counted.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct Page {
    /// Time since the entry's process started, in milliseconds; nothing earlier is counted.
    pub covered_ms: u64,
    /// Each service's counts, by name.
    pub services: Vec<Service>,
}

/// What one entry has counted for one service.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Service {
    /// Latencies of answers, over the time covered.
    pub latencies: Vec<Latency>,
    /// Counts of the long window.
    pub long: Vec<Count>,
    /// The service.
    pub name: Name,
    /// The objective in force at the entry.
    pub objective: Objective,
    /// The long window, slot by slot; slots without requests are left out.
    pub series: Vec<Slot>,
    /// Counts of the short window.
    pub short: Vec<Count>,
    /// VMs with late answers or failed attempts in the long window, most first, `MAX_BLAMED` at
    /// most.
    pub vms: Vec<Blame>,
}

/// Requests of one cause.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Count {
    /// The cause.
    pub cause: Cause,
    /// How many.
    pub requests: u64,
}

/// Late answers and failed attempts of one VM.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Blame {
    /// How many. An attempt may fail and its request still be answered in time by another VM.
    pub requests: u64,
    /// The VM.
    pub vm: Name,
}

/// Answers of one latency.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Latency {
    /// How many.
    pub answers: u64,
    /// The latency, in microseconds, to two digits.
    pub us: u64,
}

/// One slot of the long window.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Slot {
    /// Whole slots of `LONG_SLOT` since then.
    pub age: u64,
    /// Requests that did not meet the objective.
    pub bad: u64,
    /// All requests that count.
    pub requests: u64,
}

/// Returns the VMs with the most, most first.
pub(super) fn blames(sum: BTreeMap<Name, u64>) -> Vec<Blame> {
    let mut blames: Vec<_> = sum.into_iter().map(|(vm, requests)| Blame { requests, vm }).collect();
    blames.sort_by_key(|blame| std::cmp::Reverse(blame.requests));
    blames.truncate(MAX_BLAMED);
    blames
}

pub(super) fn latencies(histogram: &Histogram<u64>) -> Vec<Latency> {
    let latency = |value: hdrhistogram::iterators::IterationValue<u64>| Latency {
        answers: value.count_at_value(),
        us: value.value_iterated_to(),
    };
    histogram.iter_recorded().map(latency).collect()
}
