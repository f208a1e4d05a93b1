//! The time at which an event is handled.

/// A moment on both clocks of this VM.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Clock {
    /// Milliseconds on a steady clock that also advances while the VM is suspended.
    pub now: u64,
    /// Milliseconds since 1970.
    pub unix: u64,
}
