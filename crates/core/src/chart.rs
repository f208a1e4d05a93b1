//! State charts: parsed from JSON with comments, validated and interpreted.

use {super::*, std::fmt::Debug};

/// A state chart: the effect of each event in each state.
#[derive(Clone, Debug, Deserialize)]
#[serde(
    deny_unknown_fields,
    bound = "S: Deserialize<'de> + Ord, E: Deserialize<'de> + Ord, A: Deserialize<'de>"
)]
pub struct Chart<S, E, A> {
    start: S,
    states: BTreeMap<S, State<S, E, A>>,
}

/// The effect of each event in one state. A state with both lists empty is final.
#[derive(Clone, Debug, Deserialize)]
#[serde(
    deny_unknown_fields,
    bound = "S: Deserialize<'de> + Ord, E: Deserialize<'de> + Ord, A: Deserialize<'de>"
)]
struct State<S, E, A> {
    /// Events without effect in this state; disjoint from `on`.
    #[serde(default)]
    ignore: BTreeSet<E>,
    /// Transition of each other event.
    #[serde(default = "BTreeMap::new")]
    on: BTreeMap<E, Transition<S, A>>,
}

/// Transition caused by an event.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct Transition<S, A> {
    /// The action to carry out.
    pub action: A,
    /// The next state.
    pub to: S,
}

/// Why a chart is invalid.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Error(String);

impl<S, E, A> Chart<S, E, A>
where
    S: Copy + Debug + Ord + DeserializeOwned,
    E: Copy + Debug + Ord + DeserializeOwned,
    A: Copy + DeserializeOwned,
{
    /// Parses and validates a chart: every target exists, every state is reachable, and every state
    /// that is not final lists each of `events` exactly once.
    pub fn read(text: &str, events: &[E]) -> Result<Self, Error> {
        let chart: Self = jsonc_parser::parse_to_serde_value(text, &Default::default())
            .map_err(|cause| Error(format!("the chart is malformed: {cause}")))?;
        chart.check_targets()?;
        chart.check_reachable()?;
        chart.check_handled(events)?;
        Ok(chart)
    }

    /// Returns the initial state.
    pub fn start(&self) -> S {
        self.start
    }

    /// Returns the transition of `event` in `state`, or `None` if it has no effect.
    pub fn transition(&self, state: S, event: E) -> Option<Transition<S, A>> {
        self.states.get(&state)?.on.get(&event).copied()
    }

    fn check_handled(&self, events: &[E]) -> Result<(), Error> {
        for (name, state) in self.states.iter().filter(|(_, state)| !state.is_final()) {
            for event in events {
                let count = usize::from(state.on.contains_key(event))
                    + usize::from(state.ignore.contains(event));
                if count != 1 {
                    let text = format!("state `{name:?}` names event `{event:?}` {count} times");
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
            let transitions =
                self.states.get(&state).into_iter().flat_map(|state| state.on.values());
            open.extend(transitions.map(|next| next.to).filter(|to| reached.insert(*to)));
        }
        match self.states.keys().find(|state| !reached.contains(state)) {
            Some(state) => {
                Err(Error(format!("state `{state:?}` is unreachable: remove it or lead to it")))
            }
            None => Ok(()),
        }
    }

    fn check_targets(&self) -> Result<(), Error> {
        let targets = self.states.values().flat_map(|state| state.on.values().map(|next| next.to));
        match targets.chain([self.start]).find(|to| !self.states.contains_key(to)) {
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
