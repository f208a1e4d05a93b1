//! Admission of urgent requests: a limit on the requests in progress of each caller, and an
//! adaptive limit for the service.
//!
//! The limit of a caller keeps a flood from one caller from using up the capacity of the others.
//! The adaptive limit shrinks when latency grows, which shows that the endpoints are overloaded. A
//! request that can't be answered by its deadline is refused at once.

use super::*;

/// Lowest adaptive limit, in requests in progress.
pub const MIN_LIMIT: u32 = 4;
/// Answers in a window; the adaptive limit changes at its end.
pub const WINDOW_ANSWERS: u32 = 32;
/// Mean latency of a window, in percent of the best one, above which the limit shrinks.
pub const SHRINK_ABOVE_PERCENT: u64 = 200;
/// Percentage of the limit that is left after it shrinks.
pub const SHRINK_TO_PERCENT: u32 = 90;
/// The best latency is raised by one part in this many each window, so that it follows lasting
/// changes of latency.
const BEST_LATENCY_AGEING_PARTS: u64 = 64;
/// Random extra time in `Refusal::retry_after`, up to this percentage, so that refused callers
/// don't all return at the same time.
const RETRY_JITTER_PERCENT: u64 = 50;

/// Why a request was not admitted.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Reason {
    /// The caller has reached its limit of requests in progress at this entry.
    CallerLimit,
    /// The time left is below the best mean latency of the service.
    Deadline,
    /// The service has reached its limit of requests in progress at this entry.
    ServiceLimit,
}

/// A final refusal: the request did not run.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Refusal {
    /// Why the request was refused.
    pub reason: Reason,
    /// Time after which the caller should retry.
    pub retry_after: Duration,
}

/// Limits on the requests of one service in progress at one entry.
#[derive(Debug)]
pub struct Limiter {
    /// Lowest mean latency of a window, in microseconds, raised a little each window.
    best_latency_us: Option<u64>,
    /// Limit on the requests in progress of one caller.
    caller_concurrency: u32,
    /// Requests in progress of each caller; a caller with none has no entry.
    callers: BTreeMap<String, u32>,
    ceiling: u32,
    in_progress: u32,
    /// Adaptive limit, between `MIN_LIMIT` and `ceiling`.
    limit: u32,
    /// Moving mean of latency, in microseconds; 0 before the first answer.
    mean_latency_us: u64,
    random: Pcg64Mcg,
    window: Window,
}

/// The current window, a sequence of `WINDOW_ANSWERS` answers.
#[derive(Debug, Default)]
struct Window {
    answers: u32,
    /// Whether the limit was reached.
    limit_reached: bool,
    /// Sum of the latencies, in microseconds.
    latency_sum_us: u64,
}

impl Reason {
    /// Returns the header value.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::CallerLimit => "caller-limit",
            Self::Deadline => "deadline",
            Self::ServiceLimit => "service-limit",
        }
    }
}

impl Limiter {
    /// Returns a limiter for at most `ceiling` requests in progress, of which one caller may have
    /// `caller_concurrency`. `seed` seeds the jitter of `Refusal::retry_after`.
    pub fn new(caller_concurrency: u32, ceiling: u32, seed: u64) -> Self {
        let ceiling = ceiling.max(1);
        Self {
            best_latency_us: None,
            caller_concurrency,
            callers: BTreeMap::new(),
            ceiling,
            in_progress: 0,
            limit: ceiling,
            mean_latency_us: 0,
            random: Pcg64Mcg::seed_from_u64(seed),
            window: Window::default(),
        }
    }

    /// Admits a request of `caller` that has `time_left` to be answered, or refuses it; a refused
    /// request never runs.
    pub fn admit(&mut self, caller: &str, time_left: Duration) -> Result<(), Refusal> {
        if self.callers.get(caller).is_some_and(|count| *count >= self.caller_concurrency) {
            return Err(self.refuse(Reason::CallerLimit));
        }
        if self.in_progress >= self.limit {
            self.window.limit_reached = true;
            return Err(self.refuse(Reason::ServiceLimit));
        }
        if (time_left.as_micros() as u64) < self.best_latency_us.unwrap_or(0) {
            return Err(self.refuse(Reason::Deadline));
        }
        *self.callers.entry(caller.into()).or_default() += 1;
        self.in_progress += 1;
        Ok(())
    }

    /// Ends an admitted request; `latency` is `None` if no endpoint answered.
    pub fn end(&mut self, caller: &str, latency: Option<Duration>) {
        self.in_progress = self.in_progress.saturating_sub(1);
        if let Some(count) = self.callers.get_mut(caller) {
            *count -= 1;
            if *count == 0 {
                self.callers.remove(caller);
            }
        }
        if let Some(latency) = latency {
            self.answered(latency.as_micros() as u64);
        }
    }

    /// Returns the requests in progress.
    pub fn in_progress(&self) -> u32 {
        self.in_progress
    }

    /// Returns the adaptive limit on requests in progress.
    pub fn limit(&self) -> u32 {
        self.limit
    }

    /// Applies the limits of a new configuration. An adaptive limit at the old ceiling moves to
    /// the new one; a lower one is kept and only bounded by it.
    pub fn reconfigure(&mut self, caller_concurrency: u32, ceiling: u32) {
        let was_at_ceiling = self.limit >= self.ceiling;
        self.caller_concurrency = caller_concurrency;
        self.ceiling = ceiling.max(1);
        self.limit = if was_at_ceiling { self.ceiling } else { self.limit.min(self.ceiling) };
    }

    fn answered(&mut self, latency_us: u64) {
        self.mean_latency_us = if self.mean_latency_us == 0 {
            latency_us
        } else {
            self.mean_latency_us - self.mean_latency_us / 8 + latency_us / 8
        };
        self.window.answers += 1;
        self.window.latency_sum_us += latency_us;
        if self.window.answers >= WINDOW_ANSWERS {
            self.end_window();
        }
    }

    /// Ends a window: shrinks the limit if latency has grown, otherwise raises it by a sixteenth
    /// up to the ceiling.
    fn end_window(&mut self) {
        let window = std::mem::take(&mut self.window);
        let mean_us = window.latency_sum_us / u64::from(window.answers);
        let best_us = self
            .best_latency_us
            .map_or(mean_us, |best_us| mean_us.min(best_us + best_us / BEST_LATENCY_AGEING_PARTS));
        self.best_latency_us = Some(best_us);
        let limit_min = MIN_LIMIT.min(self.ceiling);
        if mean_us > best_us * SHRINK_ABOVE_PERCENT / 100 {
            self.limit = (self.limit * SHRINK_TO_PERCENT / 100).max(limit_min);
        } else if window.limit_reached || self.limit < self.ceiling {
            self.limit = (self.limit + (self.limit / 16).max(1)).min(self.ceiling);
        }
    }

    /// Returns a refusal with the mean latency, at least 1 ms, plus jitter as the time to retry.
    fn refuse(&mut self, reason: Reason) -> Refusal {
        let base_us = self.mean_latency_us.max(1_000);
        let jitter_us = self.random.random_range(0..=base_us * RETRY_JITTER_PERCENT / 100);
        Refusal { reason, retry_after: Duration::from_micros(base_us + jitter_us) }
    }
}
