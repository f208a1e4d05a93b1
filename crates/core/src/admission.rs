//! Admits urgent requests: a limit for each caller and an adaptive one for the service. What can't
//! be answered in time is refused at once.

use super::*;

/// The lowest adaptive limit, in requests in progress.
pub const LIMIT_FLOOR: u32 = 4;
/// Answers between two changes of the adaptive limit.
pub const WINDOW_ANSWERS: u32 = 32;
/// The limit shrinks when the window's mean latency is above this multiple of the best, in percent.
pub const SHRINK_ABOVE_PERCENT: u64 = 200;
/// What a shrinking limit keeps, in percent.
pub const SHRINK_KEEP_PERCENT: u32 = 90;
/// The best latency grows by one part in this many each window, so that it follows shifts.
const BEST_AGEING_PARTS: u64 = 64;
/// Pauses told to callers are spread by up to this share, in percent, so that they don't return at once.
const SPREAD_PERCENT: u64 = 50;

/// Why a request was not admitted.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Reason {
    /// The caller has its limit in progress at this entry.
    CallerLimit,
    /// The time left is below what an answer takes now.
    Deadline,
    /// The service has its limit in progress at this entry.
    ServiceLimit,
}

/// A final answer: not run, and when to come back.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Refusal {
    /// Why.
    pub reason: Reason,
    /// When to come back.
    pub retry: Duration,
}

/// Limits on the requests of one service in progress at one entry.
#[derive(Debug)]
pub struct Limiter {
    /// Best mean latency of a window, in microseconds, slowly raised.
    best: Option<u64>,
    caller_concurrency: u32,
    /// Requests in progress of each caller; a caller with none has no item.
    callers: BTreeMap<String, u32>,
    ceiling: u32,
    in_progress: u32,
    /// Between `LIMIT_FLOOR` and `ceiling`.
    limit: u32,
    /// Moving mean of latency, in microseconds.
    mean: u64,
    random: Pcg64Mcg,
    window: Window,
}

#[derive(Debug, Default)]
struct Window {
    answers: u32,
    full: bool,
    micros: u64,
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
    /// Makes a limiter for at most `ceiling` requests in progress, of which one caller may have
    /// `caller_concurrency`. `seed` feeds the spread of pauses.
    pub fn new(caller_concurrency: u32, ceiling: u32, seed: u64) -> Self {
        let ceiling = ceiling.max(1);
        Self {
            best: None,
            caller_concurrency,
            callers: BTreeMap::new(),
            ceiling,
            in_progress: 0,
            limit: ceiling,
            mean: 0,
            random: Pcg64Mcg::seed_from_u64(seed),
            window: Window::default(),
        }
    }

    /// Admits a request of `caller` that has `time_left` to be answered, or refuses it for good.
    pub fn admit(&mut self, caller: &str, time_left: Duration) -> Result<(), Refusal> {
        if self.callers.get(caller).is_some_and(|count| *count >= self.caller_concurrency) {
            return Err(self.refuse(Reason::CallerLimit));
        }
        if self.in_progress >= self.limit {
            self.window.full = true;
            return Err(self.refuse(Reason::ServiceLimit));
        }
        if (time_left.as_micros() as u64) < self.best.unwrap_or(0) {
            return Err(self.refuse(Reason::Deadline));
        }
        *self.callers.entry(caller.into()).or_default() += 1;
        self.in_progress += 1;
        Ok(())
    }

    /// Ends an admitted request; `latency` is given when an endpoint answered.
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

    /// Returns the limit on requests in progress.
    pub fn limit(&self) -> u32 {
        self.limit
    }

    /// Changes the limits, as a new configuration has them.
    pub fn revise(&mut self, caller_concurrency: u32, ceiling: u32) {
        let was_open = self.limit >= self.ceiling;
        self.caller_concurrency = caller_concurrency;
        self.ceiling = ceiling.max(1);
        self.limit = if was_open { self.ceiling } else { self.limit.min(self.ceiling) };
    }

    fn answered(&mut self, micros: u64) {
        self.mean = if self.mean == 0 { micros } else { self.mean - self.mean / 8 + micros / 8 };
        self.window.answers += 1;
        self.window.micros += micros;
        if self.window.answers >= WINDOW_ANSWERS {
            self.turn();
        }
    }

    /// Ends a window: shrinks the limit when latency has grown, and raises it when it was reached.
    fn turn(&mut self) {
        let window = std::mem::take(&mut self.window);
        let mean = window.micros / u64::from(window.answers);
        let best = self.best.map_or(mean, |best| mean.min(best + best / BEST_AGEING_PARTS));
        self.best = Some(best);
        let floor = LIMIT_FLOOR.min(self.ceiling);
        if mean > best * SHRINK_ABOVE_PERCENT / 100 {
            self.limit = (self.limit * SHRINK_KEEP_PERCENT / 100).max(floor);
        } else if window.full || self.limit < self.ceiling {
            self.limit = (self.limit + (self.limit / 16).max(1)).min(self.ceiling);
        }
    }

    fn refuse(&mut self, reason: Reason) -> Refusal {
        let base = self.mean.max(1_000);
        let spread = self.random.random_range(0..=base * SPREAD_PERCENT / 100);
        Refusal { reason, retry: Duration::from_micros(base + spread) }
    }
}
