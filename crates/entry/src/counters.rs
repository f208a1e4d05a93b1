//! Counters of request outcomes and events, by service.

use super::*;

/// The outcome of a request, or an event during it.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "kebab-case")]
pub(crate) enum Cause {
    /// Answered within the deadline.
    Answered,
    /// Answered after the deadline.
    AnsweredLate,
    /// The response broke off while it was forwarded.
    Broken,
    /// A response to another request arrived and was not forwarded.
    Foreign,
    /// The caller disconnected.
    Gone,
    /// A repetition got the answer of the earlier run.
    Joined,
    /// Not run, for the reason given.
    NotRun(refusal::Reason),
    /// Another attempt was made.
    Retry,
    /// Unknown, for the reason given.
    Unknown(refusal::Reason),
}

/// Counters of request outcomes and events.
#[derive(Debug, Default)]
pub(crate) struct Counters {
    /// Requests and attempts that count against the services' objectives.
    burn: Mutex<burn::Tally>,
    counts: Mutex<BTreeMap<Name, BTreeMap<Cause, u64>>>,
    /// Generations of connections retired because a response did not start in time.
    retired_generations: AtomicU64,
}

/// The counts of one service.
#[derive(Debug, Serialize)]
pub(crate) struct Summary {
    causes: Vec<Count>,
    service: Name,
}

/// One count.
#[derive(Debug, Serialize)]
struct Count {
    cause: Cause,
    count: u64,
}

impl Counters {
    /// Counts a completely forwarded answer for the service's objective.
    pub(crate) fn count_answer(
        &self,
        now: Instant,
        service: &Name,
        vm: Option<&Name>,
        latency: Duration,
        objective: &config::Objective,
    ) {
        lock(&self.burn).count_answer(now, service, vm, latency, objective);
    }

    /// Counts a failed attempt at `vm`.
    pub(crate) fn count_failed_attempt(&self, now: Instant, service: &Name, vm: &Name) {
        lock(&self.burn).count_bad_attempt(now, service, vm);
    }

    /// Counts a response that broke off while it was forwarded.
    pub(crate) fn count_broken_answer(&self, now: Instant, service: &Name) {
        self.count(service, Cause::Broken);
        lock(&self.burn).count_request(now, service, burn::Cause::Broken);
    }

    /// Returns the counts for the objectives of `services`.
    pub(crate) fn burn<'a>(
        &self,
        now: Instant,
        services: impl IntoIterator<Item = &'a config::Service>,
    ) -> burn::Page {
        lock(&self.burn).page(now, services)
    }

    pub(crate) fn count(&self, service: &Name, cause: Cause) {
        let mut counts = lock(&self.counts);
        if !counts.contains_key(service) {
            counts.insert(service.clone(), BTreeMap::new());
        }
        if let Some(causes) = counts.get_mut(service) {
            *causes.entry(cause).or_default() += 1;
        }
    }

    /// Counts a response of the entry itself.
    pub(crate) fn count_refusal(&self, now: Instant, service: &Name, refusal: &refusal::Refusal) {
        let cause = match refusal.outcome {
            Outcome::Answered | Outcome::NotRun => Cause::NotRun(refusal.reason),
            Outcome::Unknown => Cause::Unknown(refusal.reason),
        };
        self.count(service, cause);
        if let Some(cause) = refusal.burn_cause() {
            lock(&self.burn).count_request(now, service, cause);
        }
    }

    pub(crate) fn count_retirement(&self) {
        self.retired_generations.fetch_add(1, Ordering::Relaxed);
    }

    pub(crate) fn retired_generations(&self) -> u64 {
        self.retired_generations.load(Ordering::Relaxed)
    }

    pub(crate) fn summaries(&self) -> Vec<Summary> {
        let summary = |(service, causes): (&Name, &BTreeMap<Cause, u64>)| Summary {
            causes: causes.iter().map(|(&cause, &count)| Count { cause, count }).collect(),
            service: service.clone(),
        };
        lock(&self.counts).iter().map(summary).collect()
    }
}
