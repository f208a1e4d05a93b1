//! An urgent request in progress.

use super::*;

/// An urgent request in progress.
#[derive(Clone, Debug)]
pub(crate) struct Request {
    pub(crate) arrived: Instant,
    pub(crate) caller: usize,
    /// Whether the last attempt is proven not to have run.
    pub(crate) not_run: bool,
    /// Time on the worker, in milliseconds.
    pub(crate) service_ms: f64,
    /// VMs already tried.
    pub(crate) tried: Vec<Name>,
    pub(crate) vm: usize,
    pub(crate) zone: usize,
}
