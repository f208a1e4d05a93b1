//! The process's monotonic clock.

use super::*;

/// The process's monotonic clock.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Clock {
    origin: std::time::Instant,
}

impl Clock {
    pub(crate) fn new() -> Self {
        Self { origin: std::time::Instant::now() }
    }

    /// Returns the time since the clock was created.
    pub(crate) fn now(&self) -> Instant {
        Instant(self.origin.elapsed().as_micros() as u64)
    }

    /// Returns the time by the monotonic clock and the wall clock.
    pub(crate) fn key_now(&self) -> oleanderstage_core::key::Now {
        let wall = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH);
        let wall_ms = wall.map_or(0, |time| time.as_millis() as u64);
        oleanderstage_core::key::Now { at: self.now(), wall_ms }
    }

    /// Converts an instant for the timers of tokio.
    pub(crate) fn tokio_instant(&self, instant: Instant) -> tokio::time::Instant {
        (self.origin + Duration::from_micros(instant.0)).into()
    }
}
