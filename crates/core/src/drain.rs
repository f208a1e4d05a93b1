//! Graceful shutdown of an entry: no request in progress is cut off.

use {super::*, chart::Chart, std::sync::LazyLock};

/// How long a leaving entry still accepts requests, so that the load balancer can stop sending them
/// to it.
pub const GRACE: Duration = Duration::from_millis(1_500);

/// Input of the state machine.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Event {
    /// `GRACE` has passed since the announcement.
    GraceOver,
    /// No request is in progress.
    Idle,
    /// The process was asked to shut down.
    Told,
}

/// Output of the state machine.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Action {
    /// Report in health checks and probes that the entry is leaving.
    Announce,
    /// Refuse new requests, and close idle connections.
    Close,
    /// Exit the process.
    Exit,
}

/// State of an entry.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum State {
    /// It reports that it is leaving, and still accepts requests.
    Announcing,
    /// It accepts no new requests and finishes those in progress.
    Closing,
    /// No request is in progress.
    Over,
    /// It accepts requests.
    Serving,
}

/// State machine of an entry's shutdown.
#[derive(Clone, Debug)]
pub struct Machine {
    state: State,
}

static CHART: LazyLock<Chart<State, Event, Action>> = LazyLock::new(|| {
    let events = [Event::GraceOver, Event::Idle, Event::Told];
    Chart::read(include_str!("../charts/drain.jsonc"), &events)
        .unwrap_or_else(|error| panic!("charts/drain.jsonc is invalid: {error}"))
});

impl Machine {
    /// Returns the machine of an entry that accepts requests.
    pub fn new() -> Self {
        Self { state: CHART.start() }
    }

    /// Returns the state.
    pub fn state(&self) -> State {
        self.state
    }

    /// Processes an event and returns the action to carry out, if any.
    pub fn handle(&mut self, event: Event) -> Option<Action> {
        let transition = CHART.transition(self.state, event)?;
        self.state = transition.to;
        Some(transition.action)
    }
}

impl Default for Machine {
    fn default() -> Self {
        Self::new()
    }
}

impl State {
    /// Returns whether health checks report the entry as healthy to the load balancer.
    pub fn is_healthy(self) -> bool {
        self == Self::Serving
    }

    /// Returns whether new requests are accepted.
    pub fn accepts_requests(self) -> bool {
        matches!(self, Self::Announcing | Self::Serving)
    }
}
