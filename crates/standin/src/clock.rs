//! Timestamps of the ledgers, comparable between the processes of one machine.

use super::*;

/// Converts monotonic time to microseconds since the Unix epoch. The system clock is read once, at
/// creation.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    origin: Instant,
    origin_us: u64,
}

impl Clock {
    /// Returns the microseconds since the Unix epoch at `instant`; an instant before the clock's
    /// creation counts as the creation.
    pub fn at(&self, instant: Instant) -> u64 {
        self.origin_us + instant.saturating_duration_since(self.origin).as_micros() as u64
    }

    /// Returns the microseconds since the Unix epoch now.
    pub fn now(&self) -> u64 {
        self.at(Instant::now())
    }

    /// Returns a clock that is set by the system clock.
    pub fn start() -> Self {
        let origin_us = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .map_or(0, |elapsed| elapsed.as_micros() as u64);
        Self { origin: Instant::now(), origin_us }
    }
}
