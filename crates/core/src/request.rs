//! State machine of one urgent request: the outcome that its caller gets, and whether another
//! attempt is allowed.
//!
//! A request is sent again only after proof that the last attempt did not run, or, if it is
//! idempotent, that it is over: an attempt whose response is lost may still be running. A response
//! to an earlier attempt or to another request is never forwarded.

use {super::*, chart::Chart, std::sync::LazyLock};

/// Identifies a request on every hop; an endpoint echoes it.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(transparent)]
pub struct Id(pub u128);

/// Number of an attempt of a request, from 1.
#[derive(
    Clone, Copy, Debug, Default, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize,
)]
#[serde(transparent)]
pub struct Attempt(pub u32);

/// Input of the state machine.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case", tag = "event")]
pub enum Event {
    /// The status and headers of a response arrived.
    Answered {
        /// The attempt that was answered.
        attempt: Attempt,
        /// The id that the endpoint echoed, if any.
        request: Option<Id>,
    },
    /// The response broke off while it was forwarded.
    Broken,
    /// The attempt ran and is proven over, but its response is lost.
    Ended {
        /// The attempt.
        attempt: Attempt,
    },
    /// The deadline passed.
    Expired,
    /// The retry budget, the deadline or a body that is not kept rules out another attempt.
    GiveUp,
    /// The caller disconnected.
    Gone,
    /// The connection failed after the request may have been sent.
    Lost {
        /// The attempt.
        attempt: Attempt,
    },
    /// No endpoint has a free slot.
    NoneFree,
    /// The attempt is proven not to have run.
    NotRun {
        /// The attempt.
        attempt: Attempt,
    },
    /// An endpoint was picked.
    Picked,
    /// Another attempt is allowed.
    Retry,
    /// The whole response was forwarded.
    Whole,
}

/// Output of the state machine.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Action {
    /// Abandon the attempt without a response.
    Cancel,
    /// Abort the response, so that the caller detects that it is incomplete.
    Cut,
    /// Check whether another attempt is allowed.
    Decide,
    /// Ignore the event: it belongs to an earlier attempt, or changes nothing in this state.
    Drop,
    /// Count the request as answered.
    Finish,
    /// Respond with the outcome `unknown`.
    Lose,
    /// Forward the response.
    Pass,
    /// Pick an endpoint.
    Pick,
    /// Respond with the outcome `not-run`.
    Refuse,
    /// Send the request to the endpoint picked.
    Send,
}

/// State of a request.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum State {
    /// The last attempt is over; another may follow.
    Deciding,
    /// An attempt may be running.
    Dispatched,
    /// The request is over.
    Over,
    /// The response is being forwarded.
    Passing,
    /// An endpoint is needed.
    Picking,
}

/// State machine of one request. At most one attempt may be running at any time.
#[derive(Clone, Debug)]
pub struct Machine {
    attempt: Attempt,
    id: Id,
    idempotent: bool,
    /// Events dropped because they belong to an earlier attempt.
    stale_events: u32,
    /// Whether some attempt ran; from then on the outcome is never `not-run`.
    ran: bool,
    state: State,
}

/// Name of an event in `charts/request.jsonc`. Splits `Event::Answered` by the echoed id, and
/// `Event::Ended` by whether the request is idempotent.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd)]
#[serde(rename_all = "snake_case")]
enum Kind {
    Answered,
    Broken,
    Ended,
    Expired,
    Foreign,
    GiveUp,
    Gone,
    Lost,
    NoneFree,
    NotRun,
    Picked,
    Retry,
    Whole,
}

const KINDS: [Kind; 13] = [
    Kind::Answered,
    Kind::Broken,
    Kind::Ended,
    Kind::Expired,
    Kind::Foreign,
    Kind::GiveUp,
    Kind::Gone,
    Kind::Lost,
    Kind::NoneFree,
    Kind::NotRun,
    Kind::Picked,
    Kind::Retry,
    Kind::Whole,
];

static CHART: LazyLock<Chart<State, Kind, Action>> = LazyLock::new(|| {
    Chart::read(include_str!("../charts/request.jsonc"), &KINDS)
        .unwrap_or_else(|error| panic!("charts/request.jsonc is invalid: {error}"))
});

impl Machine {
    /// Returns the machine of a request that needs its first endpoint.
    pub fn new(id: Id, idempotent: bool) -> Self {
        let state = CHART.start();
        Self { attempt: Attempt(1), id, idempotent, stale_events: 0, ran: false, state }
    }

    /// Returns the current attempt.
    pub fn attempt(&self) -> Attempt {
        self.attempt
    }

    /// Returns how many events of earlier attempts were dropped.
    pub fn stale_events(&self) -> u32 {
        self.stale_events
    }

    /// Returns the state.
    pub fn state(&self) -> State {
        self.state
    }

    /// Processes an event and returns the action to carry out.
    pub fn handle(&mut self, event: Event) -> Action {
        if event.attempt().is_some_and(|attempt| attempt != self.attempt) {
            self.stale_events += 1;
            return Action::Drop;
        }
        let kind = self.kind(event);
        let Some(transition) = CHART.transition(self.state, kind) else { return Action::Drop };
        self.state = transition.to;
        match (kind, transition.action) {
            (Kind::Ended, _) => self.ran = true,
            (Kind::Retry, _) => self.attempt.0 += 1,
            (_, Action::Refuse) if self.ran => return Action::Lose,
            _ => {}
        }
        transition.action
    }

    fn kind(&self, event: Event) -> Kind {
        match event {
            Event::Answered { request, .. } if request == Some(self.id) => Kind::Answered,
            Event::Answered { .. } => Kind::Foreign,
            Event::Broken => Kind::Broken,
            Event::Ended { .. } if self.idempotent => Kind::Ended,
            Event::Ended { .. } | Event::Lost { .. } => Kind::Lost,
            Event::Expired => Kind::Expired,
            Event::GiveUp => Kind::GiveUp,
            Event::Gone => Kind::Gone,
            Event::NoneFree => Kind::NoneFree,
            Event::NotRun { .. } => Kind::NotRun,
            Event::Picked => Kind::Picked,
            Event::Retry => Kind::Retry,
            Event::Whole => Kind::Whole,
        }
    }
}

impl Event {
    fn attempt(&self) -> Option<Attempt> {
        match self {
            Self::Answered { attempt, .. }
            | Self::Ended { attempt }
            | Self::Lost { attempt }
            | Self::NotRun { attempt } => Some(*attempt),
            _ => None,
        }
    }
}

impl FromStr for Id {
    type Err = std::num::ParseIntError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        u128::from_str_radix(text, 16).map(Self)
    }
}

impl Display for Id {
    fn fmt(&self, f: &mut Formatter) -> fmt::Result {
        write!(f, "{:032x}", self.0)
    }
}
