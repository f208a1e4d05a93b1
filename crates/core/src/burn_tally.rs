//! Counting of requests at one entry.

use super::*;

/// Counts the finished requests of one entry by service and cause.
#[derive(Clone, Debug, Default)]
pub struct Tally {
    services: BTreeMap<Name, Counts>,
}

#[derive(Clone, Debug)]
struct Counts {
    latencies: Histogram<u64>,
    long: Counter<Cause>,
    short: Counter<Cause>,
    /// Late answers and failed attempts, by VM.
    vms: Counter<Name>,
}

impl Tally {
    /// Counts a request of `service` that was answered by `vm` after `latency`: good if that is
    /// within the latency of `objective`, otherwise late.
    pub fn count_answer(
        &mut self,
        now: Instant,
        service: &Name,
        vm: Option<&Name>,
        latency: Duration,
        objective: &Objective,
    ) {
        let objective_latency = Duration::from_millis(objective.latency_ms);
        let cause = if latency <= objective_latency { Cause::Good } else { Cause::Late };
        self.count_request(now, service, cause);
        if let Some(vm) = vm.filter(|_| cause == Cause::Late) {
            self.count_bad_attempt(now, service, vm);
        }
        let counts = self.counts(service);
        counts.latencies.saturating_record(latency.as_micros() as u64);
    }

    /// Counts a late answer or a failed attempt of `service` at `vm`.
    pub fn count_bad_attempt(&mut self, now: Instant, service: &Name, vm: &Name) {
        self.counts(service).vms.count(now, vm.clone());
    }

    /// Counts a finished request of `service`.
    pub fn count_request(&mut self, now: Instant, service: &Name, cause: Cause) {
        let counts = self.counts(service);
        counts.long.count(now, cause);
        counts.short.count(now, cause);
    }

    /// Returns the counts of the `services` in force, in the windows that end now.
    pub fn page<'a>(
        &self,
        now: Instant,
        services: impl IntoIterator<Item = &'a config::Service>,
    ) -> Page {
        let covered_ms = now.since(Instant::default()).as_millis() as u64;
        let empty = Counts::new();
        let page = |service: &config::Service| {
            let counts = self.services.get(&service.name).unwrap_or(&empty);
            counts.page(now, service)
        };
        Page { covered_ms, services: services.into_iter().map(page).collect() }
    }

    fn counts(&mut self, service: &Name) -> &mut Counts {
        if !self.services.contains_key(service) {
            self.services.insert(service.clone(), Counts::new());
        }
        self.services.get_mut(service).expect("the service was inserted")
    }
}

impl Counts {
    fn new() -> Self {
        Self {
            latencies: histogram(),
            long: Counter::new(LONG, LONG_SLOT),
            short: Counter::new(SHORT, SHORT_SLOT),
            vms: Counter::new(LONG, LONG_SLOT),
        }
    }

    fn page(&self, now: Instant, service: &config::Service) -> page::Service {
        page::Service {
            latencies: page::latencies(&self.latencies),
            long: counts(&self.long.sum(now)),
            name: service.name.clone(),
            objective: service.objective.clone(),
            series: self.long.series(now).into_iter().map(slot).collect(),
            short: counts(&self.short.sum(now)),
            vms: page::highest_counts(self.vms.sum(now)),
        }
    }
}

fn counts(sum: &BTreeMap<Cause, u64>) -> Vec<page::Count> {
    sum.iter().map(|(&cause, &requests)| page::Count { cause, requests }).collect()
}

fn slot((age, counts): (u64, &BTreeMap<Cause, u64>)) -> page::Slot {
    let requests = counts.values().sum();
    let good = counts.get(&Cause::Good).copied().unwrap_or_default();
    page::Slot { age, bad: requests - good, requests }
}
