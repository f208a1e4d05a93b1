//! An owner's hold on its cell: a lease of the key-value service, kept alive.

use super::*;

/// Length of the lease of a cell.
pub const LEASE: Duration = Duration::from_secs(10);
/// How much two clocks may drift apart within a lease.
pub const DRIFT_MARGIN: Duration = Duration::from_millis(500);
/// How often the lease is kept alive.
pub const KEEP_ALIVE: Duration = Duration::from_secs(3);
/// Longest pause between two attempts while the key-value service is away.
pub const MAX_PAUSE: Duration = Duration::from_secs(5);

/// An owner's hold on its cell.
#[derive(Clone, Debug)]
pub struct Tenure {
    /// The lease.
    pub lease: i64,
    /// When the call under way was made; its answer is awaited.
    asked: Option<Instant>,
    /// Counted from before the call that last kept the lease alive.
    deadline: Instant,
    next: Instant,
    pause: Duration,
}

impl Tenure {
    /// Returns the hold by a lease that was asked for at `asked`.
    pub fn new(lease: i64, asked: Instant) -> Self {
        Self {
            asked: None,
            deadline: asked + LEASE,
            lease,
            next: asked + KEEP_ALIVE,
            pause: MAX_PAUSE / 10,
        }
    }

    /// Returns whether an action that takes effect within `span` is covered by the lease.
    pub fn covers(&self, now: Instant, span: Duration) -> bool {
        now + span + DRIFT_MARGIN < self.deadline
    }

    /// Returns the end of the lease, by the local clock.
    pub fn deadline(&self) -> Instant {
        self.deadline
    }

    /// Returns whether to keep the lease alive now, and counts the call as made.
    pub fn poll(&mut self, now: Instant) -> bool {
        let due = self.asked.is_none() && now >= self.next;
        if due {
            self.asked = Some(now);
        }
        due
    }

    /// Takes the answer to the call under way: whether the lease was kept alive. `jitter` is from
    /// 0 to 1.
    pub fn reply(&mut self, now: Instant, kept: bool, jitter: f64) {
        let Some(asked) = self.asked.take() else { return };
        if kept {
            self.deadline = self.deadline.max(asked + LEASE);
            self.next = asked + KEEP_ALIVE;
            self.pause = MAX_PAUSE / 10;
            return;
        }
        self.next = now + self.pause.mul_f64(0.5 + jitter);
        self.pause = (self.pause * 2).min(MAX_PAUSE);
    }
}
