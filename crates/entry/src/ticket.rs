//! The right of an admitted request to be in progress, given back when dropped.

use super::*;
use service::State;

/// The right of an admitted request to be in progress, given back when dropped.
#[derive(Debug)]
pub(crate) struct Ticket {
    caller: String,
    latency: Option<Duration>,
    state: Arc<State>,
}

impl Ticket {
    /// Admits a request of `caller` that has `left` to be answered.
    pub(crate) fn admit(
        state: &Arc<State>,
        caller: &str,
        left: Duration,
    ) -> Result<Self, admission::Refusal> {
        lock(&state.limiter).admit(caller, left)?;
        Ok(Self { caller: caller.into(), latency: None, state: state.clone() })
    }

    /// Notes that an endpoint answered within `latency`.
    pub(crate) fn answered(&mut self, latency: Duration) {
        self.latency = Some(latency);
    }
}

impl Drop for Ticket {
    fn drop(&mut self) {
        lock(&self.state.limiter).end(&self.caller, self.latency);
    }
}
