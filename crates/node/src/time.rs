//! The clocks of this VM.

use super::*;

/// Returns the time of `CLOCK_BOOTTIME`, which advances while the VM is suspended, and the time of
/// day.
pub(crate) fn clock() -> Clock {
    let boottime = rustix::time::clock_gettime(rustix::time::ClockId::Boottime);
    let now = boottime.tv_sec as u64 * 1_000 + boottime.tv_nsec as u64 / 1_000_000;
    let unix = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    Clock { now, unix: unix.as_millis() as u64 }
}

/// Returns the time of `CLOCK_BOOTTIME` in milliseconds.
pub(crate) fn now() -> u64 {
    clock().now
}
