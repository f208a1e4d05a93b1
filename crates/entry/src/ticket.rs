//! Permit of an admitted request to be in progress, released when dropped.

use super::*;
use service::State;

/// Permit of an admitted request to be in progress, released when dropped.
#[derive(Debug)]
pub(crate) struct Ticket {
    caller: String,
    latency: Option<Duration>,
    state: Arc<State>,
}

impl Ticket {
    /// Admits a request of `caller` that has `time_left` to be answered, or refuses it.
    pub(crate) fn admit(
        state: &Arc<State>,
        caller: &str,
        time_left: Duration,
    ) -> Result<Self, admission::Refusal> {
        lock(&state.limiter).admit(caller, time_left)?;
        Ok(Self { caller: caller.into(), latency: None, state: state.clone() })
    }

    /// Records the latency of an endpoint's answer.
    pub(crate) fn set_latency(&mut self, latency: Duration) {
        self.latency = Some(latency);
    }
}

impl Drop for Ticket {
    fn drop(&mut self) {
        lock(&self.state.limiter).end(&self.caller, self.latency);
    }
}
