//! State charts read from JSON with comments, checked as they are read, and interpreted.

use {super::*, std::fmt::Debug};

/// A life cycle: what each event does in each state.
#[derive(Clone, Debug, Deserialize)]
#[serde(
    deny_unknown_fields,
    bound = "S: Deserialize<'de> + Ord, E: Deserialize<'de> + Ord, A: Deserialize<'de>"
)]
pub struct Chart<S, E, A> {
    start: S,
    states: BTreeMap<S, State<S, E, A>>,
}

/// What each event does in one state. Without either list, the state is final.
#[derive(Clone, Debug, Deserialize)]
#[serde(
    deny_unknown_fields,
    bound = "S: Deserialize<'de> + Ord, E: Deserialize<'de> + Ord, A: Deserialize<'de>"
)]
struct State<S, E, A> {
    /// Events that change nothing here; disjoint from `on`.
    #[serde(default)]
    ignore: BTreeSet<E>,
    /// Events that lead somewhere.
    #[serde(default = "BTreeMap::new")]
    on: BTreeMap<E, Step<S, A>>,
}

/// What one event does in one state.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct Step<S, A> {
    /// What to do.
    pub action: A,
    /// The state that follows.
    pub to: S,
}

/// Why a chart was not taken.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Error(String);

impl<S, E, A> Chart<S, E, A>
where
    S: Copy + Debug + Ord + DeserializeOwned,
    E: Copy + Debug + Ord + DeserializeOwned,
    A: Copy + DeserializeOwned,
{
    /// Reads and checks a chart: every state of it is reachable, every target exists, and every
    /// state that is not final says what each of `events` does.
    pub fn read(text: &str, events: &[E]) -> Result<Self, Error> {
        let chart: Self = jsonc_parser::parse_to_serde_value(text, &Default::default())
            .map_err(|cause| Error(format!("the chart is malformed: {cause}")))?;
        chart.check_targets()?;
        chart.check_reachable()?;
        chart.check_handled(events)?;
        Ok(chart)
    }

    /// Returns the first state.
    pub fn start(&self) -> S {
        self.start
    }

    /// Returns what `event` does in `state`, or `None` when it changes nothing.
    pub fn step(&self, state: S, event: E) -> Option<Step<S, A>> {
        self.states.get(&state)?.on.get(&event).copied()
    }

    fn check_handled(&self, events: &[E]) -> Result<(), Error> {
        for (name, state) in self.states.iter().filter(|(_, state)| !state.is_final()) {
            for event in events {
                let times = usize::from(state.on.contains_key(event))
                    + usize::from(state.ignore.contains(event));
                if times != 1 {
                    let text = format!("state `{name:?}` names event `{event:?}` {times} times");
                    return Err(Error(format!("{text}: put it into `on` or `ignore` once")));
                }
            }
        }
        Ok(())
    }

    fn check_reachable(&self) -> Result<(), Error> {
        let mut reached = BTreeSet::from([self.start]);
        let mut open = vec![self.start];
        while let Some(state) = open.pop() {
            let steps = self.states.get(&state).into_iter().flat_map(|state| state.on.values());
            open.extend(steps.map(|step| step.to).filter(|to| reached.insert(*to)));
        }
        match self.states.keys().find(|state| !reached.contains(state)) {
            Some(state) => {
                Err(Error(format!("state `{state:?}` is unreachable: remove it or lead to it")))
            }
            None => Ok(()),
        }
    }

    fn check_targets(&self) -> Result<(), Error> {
        let steps = self.states.values().flat_map(|state| state.on.values().map(|step| step.to));
        match steps.chain([self.start]).find(|to| !self.states.contains_key(to)) {
            Some(to) => Err(Error(format!("state `{to:?}` is missing: add it to `states`"))),
            None => Ok(()),
        }
    }
}

impl<S, E, A> State<S, E, A> {
    fn is_final(&self) -> bool {
        self.on.is_empty() && self.ignore.is_empty()
    }
}

impl Display for Error {
    fn fmt(&self, f: &mut Formatter) -> fmt::Result {
        f.write_str(&self.0)
    }
}

impl std::error::Error for Error {}
