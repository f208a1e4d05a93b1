//! Counts of what became of requests, by service and cause.

use super::*;

/// What became of a request, or happened on its way.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "kebab-case")]
pub(crate) enum Cause {
    /// Answered within the deadline.
    Answered,
    /// Answered after the deadline.
    AnsweredLate,
    /// The answer broke off.
    Broken,
    /// An answer to another request came, and was not passed on.
    Foreign,
    /// The caller went away.
    Gone,
    /// The answer of the run before was given to a repetition.
    Joined,
    /// Not run, for the reason given.
    NotRun(refusal::Reason),
    /// Another attempt was made.
    Retry,
    /// Unknown, for the reason given.
    Unknown(refusal::Reason),
}

/// Counts of what became of requests.
#[derive(Debug, Default)]
pub(crate) struct Counters {
    /// What counts against objectives.
    burn: Mutex<burn::Tally>,
    requests: Mutex<BTreeMap<Name, BTreeMap<Cause, u64>>>,
    /// Pool generations taken out for silence.
    retired: AtomicU64,
}

/// The counts of one service.
#[derive(Debug, Serialize)]
pub(crate) struct Page {
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
    /// Counts an answer passed on whole against the service's objective.
    pub(crate) fn answered(
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
    pub(crate) fn blame(&self, now: Instant, service: &Name, vm: &Name) {
        lock(&self.burn).count_bad_attempt(now, service, vm);
    }

    /// Counts an answer that broke off on its way.
    pub(crate) fn broken(&self, now: Instant, service: &Name) {
        self.count(service, Cause::Broken);
        lock(&self.burn).count_request(now, service, burn::Cause::Broken);
    }

    /// Returns what counts against the objectives of `services`.
    pub(crate) fn burn<'a>(
        &self,
        now: Instant,
        services: impl IntoIterator<Item = &'a config::Service>,
    ) -> burn::Page {
        lock(&self.burn).page(now, services)
    }

    pub(crate) fn count(&self, service: &Name, cause: Cause) {
        let mut requests = lock(&self.requests);
        if !requests.contains_key(service) {
            requests.insert(service.clone(), BTreeMap::new());
        }
        if let Some(causes) = requests.get_mut(service) {
            *causes.entry(cause).or_default() += 1;
        }
    }

    /// Counts an answer that the entry gave itself.
    pub(crate) fn refused(&self, now: Instant, service: &Name, refusal: &refusal::Refusal) {
        let cause = match refusal.outcome {
            Outcome::Answered | Outcome::NotRun => Cause::NotRun(refusal.reason),
            Outcome::Unknown => Cause::Unknown(refusal.reason),
        };
        self.count(service, cause);
        if let Some(cause) = refusal.burns() {
            lock(&self.burn).count_request(now, service, cause);
        }
    }

    pub(crate) fn retired(&self) {
        self.retired.fetch_add(1, Ordering::Relaxed);
    }

    pub(crate) fn generations_retired(&self) -> u64 {
        self.retired.load(Ordering::Relaxed)
    }

    pub(crate) fn pages(&self) -> Vec<Page> {
        let page = |(service, causes): (&Name, &BTreeMap<Cause, u64>)| Page {
            causes: causes.iter().map(|(&cause, &count)| Count { cause, count }).collect(),
            service: service.clone(),
        };
        lock(&self.requests).iter().map(page).collect()
    }
}
