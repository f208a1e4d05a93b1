//! The clocks of this VM.

use super::*;

/// Returns the time on a clock that counts suspensions, and the time of day.
pub(crate) fn clock() -> Clock {
    let since = rustix::time::clock_gettime(rustix::time::ClockId::Boottime);
    let now = since.tv_sec as u64 * 1_000 + since.tv_nsec as u64 / 1_000_000;
    let unix = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    Clock { now, unix: unix.as_millis() as u64 }
}

/// Returns the milliseconds of the clock that counts suspensions.
pub(crate) fn now() -> u64 {
    clock().now
}
