//! An urgent request of the simulation.

use super::*;

/// An urgent request in progress at the entry of a zone.
#[derive(Clone, Debug)]
pub(crate) struct Request {
    pub(crate) arrived: Instant,
    /// Index of the caller.
    pub(crate) caller: usize,
    /// Whether the last attempt is proven not to have run.
    pub(crate) not_run: bool,
    /// Time spent on the worker, in milliseconds.
    pub(crate) service_ms: f64,
    /// VMs already tried.
    pub(crate) tried: Vec<Name>,
    pub(crate) vm: usize,
    pub(crate) zone: usize,
}
