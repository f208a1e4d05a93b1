//! Times that bound what a cell does.

/// Times and sizes, from the settings and from constants of this crate.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// Lease of a worker that an order or poll asks for, in milliseconds.
    pub lease_ms: u64,
    /// How long an owner goes on without a word from the store, in milliseconds.
    pub owner_silence_ms: u64,
}

/// How much slower than true time a worker's clock may run, in percent.
pub const CLOCK_SLOW_PERCENT: u64 = 2;
/// Added to the computed end of a lease for the worker's own timers, in milliseconds.
pub const LEASE_SLACK_MS: u64 = 150;
/// How long a poll waits for an end, in milliseconds; well under a lease, so that it renews it.
pub const POLL_WAIT_MS: u64 = 1_000;
/// The same beside serving tasks, whose load moves within seconds, in milliseconds.
pub const SHARED_POLL_WAIT_MS: u64 = 400;
/// Between polls while ends wait for their record, in milliseconds.
pub const POLL_PAUSE_MS: u64 = 200;
/// Before an unanswered order is sent again, in milliseconds.
pub const RETRY_MS: u64 = 100;
/// How long a worker that refused for want of room gets nothing, in milliseconds.
pub const FULL_PAUSE_MS: u64 = 150;
/// How long a worker that is unhealthy or does not answer gets nothing new, in milliseconds.
pub const UNHEALTHY_PAUSE_MS: u64 = 1_000;
/// Between checks without an event, in milliseconds.
pub const TICK_MS: u64 = 100;
