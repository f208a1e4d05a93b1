//! The time of an event.

/// A moment on both clocks of this VM.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Clock {
    /// Milliseconds of a steady clock that counts suspensions of the VM.
    pub now: u64,
    /// Milliseconds since 1970.
    pub unix: u64,
}
