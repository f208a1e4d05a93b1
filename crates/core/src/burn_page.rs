//! Counts of one entry, as returned by `GET /report`.

use super::*;

/// Largest number of VMs that a page or a report lists for a service.
pub const MAX_VMS: usize = 10;

/// Counts of one entry.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct Page {
    /// Time since the entry's process started, in milliseconds; nothing earlier is counted.
    pub covered_ms: u64,
    /// Counts of each service.
    pub services: Vec<Service>,
}

/// Counts of one entry for one service.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Service {
    /// Latencies of answers since the process started.
    pub latencies: Vec<Latency>,
    /// Requests of the long window by cause.
    pub long: Vec<Count>,
    /// The service.
    pub name: Name,
    /// The objective in force at the entry.
    pub objective: Objective,
    /// Time slots of the long window; those without requests are left out.
    pub series: Vec<Slot>,
    /// Requests of the short window by cause.
    pub short: Vec<Count>,
    /// VMs with late answers or failed attempts in the long window, most first, at most `MAX_VMS`.
    pub vms: Vec<VmCount>,
}

/// Number of requests of one cause.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Count {
    /// The cause.
    pub cause: Cause,
    /// Number of requests.
    pub requests: u64,
}

/// Number of late answers and failed attempts of one VM.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct VmCount {
    /// Number of late answers and failed attempts. The request of a failed attempt may still have
    /// been answered in time by another VM.
    pub requests: u64,
    /// The VM.
    pub vm: Name,
}

/// Number of answers with one latency.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Latency {
    /// Number of answers.
    pub answers: u64,
    /// The latency, in microseconds, to two significant digits.
    pub us: u64,
}

/// Requests of one time slot of the long window.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Slot {
    /// Age in slots of `LONG_SLOT`; the current slot is 0.
    pub age: u64,
    /// Requests that did not meet the objective.
    pub bad: u64,
    /// Requests with any cause.
    pub requests: u64,
}

/// Returns the `MAX_VMS` VMs with the highest counts, highest first.
pub(super) fn highest_counts(counts: BTreeMap<Name, u64>) -> Vec<VmCount> {
    let mut vms: Vec<_> =
        counts.into_iter().map(|(vm, requests)| VmCount { requests, vm }).collect();
    vms.sort_by_key(|count| std::cmp::Reverse(count.requests));
    vms.truncate(MAX_VMS);
    vms
}

/// Returns the recorded latencies with the number of answers of each.
pub(super) fn latencies(histogram: &Histogram<u64>) -> Vec<Latency> {
    let latency = |value: hdrhistogram::iterators::IterationValue<u64>| Latency {
        answers: value.count_at_value(),
        us: value.value_iterated_to(),
    };
    histogram.iter_recorded().map(latency).collect()
}
