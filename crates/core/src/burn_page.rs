//! What one entry has counted, as `GET /report` shows it.

use super::*;

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
}

/// Requests of one cause.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Count {
    /// The cause.
    pub cause: Cause,
    /// How many.
    pub requests: u64,
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

pub(super) fn latencies(histogram: &Histogram<u64>) -> Vec<Latency> {
    let latency = |value: hdrhistogram::iterators::IterationValue<u64>| Latency {
        answers: value.count_at_value(),
        us: value.value_iterated_to(),
    };
    histogram.iter_recorded().map(latency).collect()
}
