//! Time limits of a cell's owner.

/// Time limits set by the process that runs the cell.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// Length of the worker lease that an order or poll requests, in milliseconds.
    pub lease_ms: u64,
    /// The longest worker lease, to which longer ones are cut, in milliseconds.
    pub max_lease_ms: u64,
    /// How long an owner continues after the last confirmed renewal of its lease, in milliseconds.
    pub owner_silence_ms: u64,
    /// Length of the worker lease that an order or poll requests while the store is silent, in milliseconds.
    pub silent_lease_ms: u64,
}

impl Limits {
    /// Returns how long after an owner has sent its last order a worker's lease can last, in milliseconds.
    pub fn longest_lease_ms(&self) -> u64 {
        longest_ms(self.lease_ms)
    }

    /// Returns how long after the store has last confirmed an owner the leases can last that it grants without
    /// hearing most workers, in milliseconds.
    pub fn longest_confirmed_ms(&self) -> u64 {
        longest_ms(self.lease_ms + CONFIRMED_SLACK_MS)
    }

    /// Returns how long after most workers have rejected an owner the leases can last that it grants because it hears
    /// them, in milliseconds.
    pub fn longest_heard_ms(&self) -> u64 {
        HEARD_MS + longest_ms(self.silent_lease_ms)
    }

    /// Returns how long after the store has last confirmed an owner any lease of it can last, in milliseconds.
    pub fn longest_silence_ms(&self) -> u64 {
        self.longest_confirmed_ms().max(self.owner_silence_ms + longest_ms(self.silent_lease_ms))
    }
}

/// Returns how long a lease can last, in milliseconds.
fn longest_ms(lease_ms: u64) -> u64 {
    lease_ms * 100 / (100 - CLOCK_SLOW_PERCENT) + LEASE_SLACK_MS
}

/// By how much a lease may end later than one granted when the store last confirmed the owner, in milliseconds.
pub const CONFIRMED_SLACK_MS: u64 = 300;
/// How long ago a poll was sent at the most, in milliseconds, for its answer to show that the worker still takes
/// orders of its sender. While the store is silent, a worker that answers is polled more than twice in this time.
pub const HEARD_MS: u64 = 1_300;
/// Time since the last confirmation after which polls wait for `SILENT_POLL_WAIT_MS` at the most, in milliseconds.
pub const SILENT_AFTER_MS: u64 = 1_000;
/// How long a poll waits for a run to end while the store is silent, in milliseconds.
pub const SILENT_POLL_WAIT_MS: u64 = 400;

/// By how much a worker's clock may run slow, in percent.
pub const CLOCK_SLOW_PERCENT: u64 = 2;
/// Margin after the computed end of a lease for delays of the worker's timers, in milliseconds.
pub const LEASE_SLACK_MS: u64 = 150;
/// How long a poll waits for a run to end, in milliseconds: much less than a lease, since polls
/// renew the lease.
pub const POLL_WAIT_MS: u64 = 1_000;
/// The same for workers with both filling and serving tasks, in milliseconds: the serving load
/// changes within seconds.
pub const SHARED_POLL_WAIT_MS: u64 = 400;
/// Interval between polls while ends are not recorded yet, or after a missed poll, in milliseconds.
pub const POLL_PAUSE_MS: u64 = 200;
/// Delay before an unanswered order is sent again, in milliseconds.
pub const ORDER_RETRY_DELAY_MS: u64 = 100;
/// How long a worker that refused a start for lack of resources gets no new runs, in milliseconds.
pub const NO_ROOM_PAUSE_MS: u64 = 150;
/// How long a worker that is unhealthy or does not answer gets no new runs, in milliseconds.
pub const UNHEALTHY_PAUSE_MS: u64 = 1_000;
/// How long a new owner waits for the lists of workers whose leases are over, in milliseconds. They may hold
/// ends that the last owner could not record. After an outage of the store, entries of workers come back
/// within 2 s, and a poll may take another 0.8 s.
pub const LISTING_WAIT_MS: u64 = 3_000;
/// Interval between [`Event::Tick`](crate::Event::Tick) events, in milliseconds.
pub const TICK_MS: u64 = 100;
