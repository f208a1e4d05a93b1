//! The lease in the key-value service that an owner holds on its cell.

use super::*;

/// Time to live of the lease of a cell.
pub const TTL: Duration = Duration::from_secs(10);
/// Maximum drift between two clocks during a lease.
pub const DRIFT_MARGIN: Duration = Duration::from_millis(500);
/// How often a keep-alive is sent.
pub const KEEP_ALIVE_INTERVAL: Duration = Duration::from_secs(3);
/// Maximum mean pause between two attempts while the key-value service does not answer.
pub const MAX_RETRY_PAUSE: Duration = Duration::from_secs(5);

/// A cell's lease, with the schedule of its keep-alives.
#[derive(Clone, Debug)]
pub struct Lease {
    /// The id of the lease in the key-value service.
    pub id: i64,
    /// When the keep-alive in progress was sent.
    keep_alive_sent: Option<Instant>,
    /// End of the lease, counted from the sending of the last keep-alive that succeeded.
    deadline: Instant,
    /// When the next keep-alive is due.
    next_keep_alive: Instant,
    /// The mean pause after the next failure.
    pause: Duration,
}

impl Lease {
    /// Returns a lease that was requested at `requested`.
    pub fn new(id: i64, requested: Instant) -> Self {
        Self {
            keep_alive_sent: None,
            deadline: requested + TTL,
            id,
            next_keep_alive: requested + KEEP_ALIVE_INTERVAL,
            pause: MAX_RETRY_PAUSE / 10,
        }
    }

    /// Returns whether the lease is certain to be valid for `span` from `now`.
    pub fn covers(&self, now: Instant, span: Duration) -> bool {
        now + span + DRIFT_MARGIN < self.deadline
    }

    /// Returns the end of the lease by the local clock.
    pub fn deadline(&self) -> Instant {
        self.deadline
    }

    /// Returns whether a keep-alive is due, and records it as sent.
    pub fn poll(&mut self, now: Instant) -> bool {
        let due = self.keep_alive_sent.is_none() && now >= self.next_keep_alive;
        if due {
            self.keep_alive_sent = Some(now);
        }
        due
    }

    /// Records the answer to the keep-alive in progress. `kept` says whether it succeeded;
    /// `jitter`, from 0 to 1, spreads the retries.
    pub fn on_reply(&mut self, now: Instant, kept: bool, jitter: f64) {
        let Some(sent) = self.keep_alive_sent.take() else { return };
        if kept {
            self.deadline = self.deadline.max(sent + TTL);
            self.next_keep_alive = sent + KEEP_ALIVE_INTERVAL;
            self.pause = MAX_RETRY_PAUSE / 10;
            return;
        }
        self.next_keep_alive = now + self.pause.mul_f64(0.5 + jitter);
        self.pause = (self.pause * 2).min(MAX_RETRY_PAUSE);
    }
}
