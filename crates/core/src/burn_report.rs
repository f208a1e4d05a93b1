//! Report on all services, merged from the pages of all entries.

use super::*;

/// Merged counts of the entries that answered.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Report {
    /// Time covered by the counts of every entry that answered, in milliseconds.
    pub covered_ms: u64,
    /// Entries that did not answer, each with the reason; their requests are not counted.
    pub missing: Vec<Missing>,
    /// Entries that answered.
    pub answered: Vec<String>,
    /// Report on each service, sorted by name.
    pub services: Vec<Service>,
}

/// An entry that did not answer.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Missing {
    /// Its address.
    pub entry: String,
    /// Why it did not answer.
    pub reason: String,
}

/// Report on one service.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Service {
    /// Share of the long window's error budget that is left: 1 when nothing failed, below 0 when
    /// overdrawn.
    pub budget_left: f64,
    /// Latencies of answers of all entries.
    pub latencies: Vec<page::Latency>,
    /// The long window.
    pub long: Window,
    /// The service.
    pub name: Name,
    /// The objective, as in force at the first entry that answered.
    pub objective: Objective,
    /// Median latency of the answers, in microseconds.
    pub p50_us: u64,
    /// 99th percentile of the latency of the answers, in microseconds.
    pub p99_us: u64,
    /// Time slots of the long window.
    pub series: Vec<page::Slot>,
    /// The short window.
    pub short: Window,
    /// VMs with late answers or failed attempts in the long window, most first.
    pub vms: Vec<page::VmCount>,
}

/// Requests of one window.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct Window {
    /// Requests that did not meet the objective.
    pub bad: u64,
    /// Failed requests over those that the objective allows: how many times faster than allowed the
    /// error budget is used up.
    pub burn_rate: f64,
    /// Causes of failed requests, most frequent first.
    pub causes: Vec<page::Count>,
    /// Requests with any cause.
    pub requests: u64,
}

impl Report {
    /// Merges the pages of the entries that answered.
    pub fn merge(pages: &[(String, Page)], missing: Vec<Missing>) -> Self {
        let mut services: BTreeMap<&Name, Vec<&page::Service>> = BTreeMap::new();
        for service in pages.iter().flat_map(|(_, page)| &page.services) {
            services.entry(&service.name).or_default().push(service);
        }
        Self {
            answered: pages.iter().map(|(entry, _)| entry.clone()).collect(),
            covered_ms: pages.iter().map(|(_, page)| page.covered_ms).min().unwrap_or_default(),
            missing,
            services: services.values().filter_map(|pages| Service::merge(pages)).collect(),
        }
    }
}

impl Service {
    fn merge(pages: &[&page::Service]) -> Option<Self> {
        let first = pages.first()?;
        let mut histogram = histogram();
        for latency in pages.iter().flat_map(|page| &page.latencies) {
            histogram.saturating_record_n(latency.us, latency.answers);
        }
        let long = Window::merge(pages.iter().flat_map(|page| &page.long), &first.objective);
        let short = Window::merge(pages.iter().flat_map(|page| &page.short), &first.objective);
        Some(Self {
            budget_left: 1.0 - long.burn_rate,
            latencies: page::latencies(&histogram),
            long,
            name: first.name.clone(),
            objective: first.objective.clone(),
            p50_us: histogram.value_at_quantile(0.5),
            p99_us: histogram.value_at_quantile(0.99),
            series: series(pages),
            short,
            vms: vms(pages),
        })
    }
}

fn series(pages: &[&page::Service]) -> Vec<page::Slot> {
    let mut sums: BTreeMap<u64, page::Slot> = BTreeMap::new();
    for slot in pages.iter().flat_map(|page| &page.series) {
        let empty = page::Slot { age: slot.age, bad: 0, requests: 0 };
        let sum = sums.entry(slot.age).or_insert(empty);
        sum.bad += slot.bad;
        sum.requests += slot.requests;
    }
    sums.into_values().collect()
}

fn vms(pages: &[&page::Service]) -> Vec<page::VmCount> {
    let mut sums: BTreeMap<Name, u64> = BTreeMap::new();
    for count in pages.iter().flat_map(|page| &page.vms) {
        *sums.entry(count.vm.clone()).or_default() += count.requests;
    }
    page::highest_counts(sums)
}

impl Window {
    fn merge<'a>(counts: impl Iterator<Item = &'a page::Count>, objective: &Objective) -> Self {
        let mut sum: BTreeMap<Cause, u64> = BTreeMap::new();
        for count in counts {
            *sum.entry(count.cause).or_default() += count.requests;
        }
        let requests: u64 = sum.values().sum();
        let bad = requests - sum.remove(&Cause::Good).unwrap_or_default();
        let mut causes: Vec<_> =
            sum.into_iter().map(|(cause, requests)| page::Count { cause, requests }).collect();
        causes.sort_by_key(|count| std::cmp::Reverse(count.requests));
        let allowed = requests as f64 * (1.0 - objective.share);
        let burn_rate = if bad == 0 { 0.0 } else { bad as f64 / allowed };
        Self { bad, burn_rate, causes, requests }
    }
}
