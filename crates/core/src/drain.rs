//! How an entry leaves without cutting off a request.

use {super::*, chart::Chart, std::sync::LazyLock};

/// How long an entry that is leaving takes requests, so that the balancer can turn away from it.
pub const GRACE: Duration = Duration::from_millis(1_500);

/// What happened to an entry.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Event {
    /// `GRACE` has passed since the announcement.
    GraceOver,
    /// Nothing is in progress.
    Idle,
    /// It was told to leave.
    Told,
}

/// What the entry does next.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Action {
    /// Say in health checks and probes that it is leaving.
    Announce,
    /// Refuse what is new, and end idle connections.
    Close,
    /// End the process.
    Exit,
}

/// Where an entry stands.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum State {
    /// It says that it is leaving, and takes requests still.
    Announcing,
    /// It takes nothing new.
    Closing,
    /// Nothing is in progress.
    Over,
    /// It takes requests.
    Serving,
}

/// The life of an entry.
#[derive(Clone, Debug)]
pub struct Machine {
    state: State,
}

static CHART: LazyLock<Chart<State, Event, Action>> = LazyLock::new(|| {
    let events = [Event::GraceOver, Event::Idle, Event::Told];
    Chart::read(include_str!("../charts/drain.jsonc"), &events)
        .unwrap_or_else(|error| panic!("the chart of drains: {error}"))
});

impl Machine {
    /// Starts an entry that takes requests.
    pub fn new() -> Self {
        Self { state: CHART.start() }
    }

    /// Returns where the entry stands.
    pub fn state(&self) -> State {
        self.state
    }

    /// Takes an event and returns what to do, if anything.
    pub fn take(&mut self, event: Event) -> Option<Action> {
        let step = CHART.step(self.state, event)?;
        self.state = step.to;
        Some(step.action)
    }
}

impl Default for Machine {
    fn default() -> Self {
        Self::new()
    }
}

impl State {
    /// Returns whether the balancer is told that the entry is healthy.
    pub fn is_healthy(self) -> bool {
        self == Self::Serving
    }

    /// Returns whether new requests are taken.
    pub fn takes(self) -> bool {
        matches!(self, Self::Announcing | Self::Serving)
    }
}
