//! The attempts of one urgent request: which outcome the caller is told, and whether it may run
//! again.

use {super::*, chart::Chart, std::sync::LazyLock};

/// Names a request on every hop; an endpoint echoes it.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(transparent)]
pub struct Id(pub u128);

/// Counts the attempts of a request, from 1.
#[derive(
    Clone, Copy, Debug, Default, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize,
)]
#[serde(transparent)]
pub struct Attempt(pub u32);

/// What happened to a request.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case", tag = "event")]
pub enum Event {
    /// The head of an answer arrived.
    Answered {
        /// The attempt that it came to.
        attempt: Attempt,
        /// The id that the endpoint echoed, if any.
        request: Option<Id>,
    },
    /// The answer broke off while it was passed on.
    Broken,
    /// The attempt ran and is proven over, and its answer can't be had.
    Ended {
        /// The attempt.
        attempt: Attempt,
    },
    /// The deadline passed.
    Expired,
    /// No further attempt: the retry budget, the deadline or the body forbids it.
    GiveUp,
    /// The caller went away.
    Gone,
    /// The connection failed after the request may have been sent.
    Lost {
        /// The attempt.
        attempt: Attempt,
    },
    /// No endpoint has a free slot.
    NoneFree,
    /// Proven: nothing of the attempt ran.
    NotRun {
        /// The attempt.
        attempt: Attempt,
    },
    /// An endpoint was picked.
    Picked,
    /// Another attempt is allowed.
    Retry,
    /// The whole answer was passed on.
    Whole,
}

/// What to do next.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Action {
    /// Drop the attempt, and tell nobody.
    Cancel,
    /// Break the answer off, so that the caller sees that it is not whole.
    Cut,
    /// Ask the retry budget.
    Decide,
    /// Drop what arrived: it belongs to an attempt that is over.
    Drop,
    /// Count the request as answered.
    Finish,
    /// Tell the caller that the outcome is unknown.
    Lose,
    /// Pass the answer on.
    Pass,
    /// Pick an endpoint.
    Pick,
    /// Tell the caller that it did not run.
    Refuse,
    /// Send the request to the endpoint picked.
    Send,
}

/// Where a request stands.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum State {
    /// The last attempt is over; another may follow.
    Deciding,
    /// An attempt may be running.
    Dispatched,
    /// Nothing follows.
    Over,
    /// The answer is passed on.
    Passing,
    /// An endpoint is wanted.
    Picking,
}

/// The attempts of one request.
///
/// At most one attempt may be running at any time.
#[derive(Clone, Debug)]
pub struct Machine {
    attempt: Attempt,
    id: Id,
    idempotent: bool,
    /// Answers dropped because they came to an earlier attempt.
    late: u32,
    /// Whether some attempt ran: the request is never called not run from then on.
    ran: bool,
    state: State,
}

/// An event as the chart names it.
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
        .unwrap_or_else(|error| panic!("the chart of requests: {error}"))
});

impl Machine {
    /// Starts a request that wants an endpoint.
    pub fn new(id: Id, idempotent: bool) -> Self {
        let state = CHART.start();
        Self { attempt: Attempt(1), id, idempotent, late: 0, ran: false, state }
    }

    /// Returns the current attempt.
    pub fn attempt(&self) -> Attempt {
        self.attempt
    }

    /// Returns how many events of earlier attempts were dropped.
    pub fn late(&self) -> u32 {
        self.late
    }

    /// Returns where the request stands.
    pub fn state(&self) -> State {
        self.state
    }

    /// Takes an event and returns what to do.
    pub fn take(&mut self, event: Event) -> Action {
        if event.attempt().is_some_and(|attempt| attempt != self.attempt) {
            self.late += 1;
            return Action::Drop;
        }
        let kind = self.kind(event);
        let Some(step) = CHART.step(self.state, kind) else { return Action::Drop };
        self.state = step.to;
        match (kind, step.action) {
            (Kind::Ended, _) => self.ran = true,
            (Kind::Retry, _) => self.attempt.0 += 1,
            (_, Action::Refuse) if self.ran => return Action::Lose,
            _ => {}
        }
        step.action
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
