//! What found no room in a placement pass. Answers this load: many steps wait that fit nowhere now. A larger
//! request with the same constraints doesn't fit either, so that it costs no search, and holds up nothing
//! behind it.

use super::*;

/// The requests of one placement pass that found no worker.
#[derive(Debug, Default)]
pub(crate) struct Shortage {
    /// For each constraint the requests of which none is at least as large as another.
    missed: BTreeMap<Constraint, Vec<Request>>,
}

/// What restricts the workers of a task apart from the size of its request. Tasks of other constraints may
/// find room where these did not.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub(crate) struct Constraint {
    /// The service of its queue.
    pub(crate) service: String,
    /// The label that the worker must carry.
    pub(crate) label: Option<String>,
    /// The image of a filling task, on which its pace depends.
    pub(crate) filling: Option<String>,
    /// Whether it may start at a low pace.
    pub(crate) slowly: bool,
    /// Whether it may take room that is held for other tasks.
    pub(crate) takes_reserved: bool,
}

/// The size of a request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) struct Request {
    /// How long it is expected to run, in milliseconds; `None` if it lasts.
    pub(crate) duration_ms: Option<u64>,
    /// The resources of one task.
    pub(crate) resources: Resources,
}

impl Shortage {
    /// Adds a request that found no worker although nothing but its constraint restricts it.
    pub(crate) fn add(&mut self, constraint: Constraint, request: Request) {
        let missed = self.missed.entry(constraint).or_default();
        missed.retain(|known| !known.is_at_least(&request));
        missed.push(request);
    }

    /// Returns whether a request finds no worker because a smaller one with the same constraint did not.
    pub(crate) fn covers(&self, constraint: &Constraint, request: &Request) -> bool {
        let missed = self.missed.get(constraint);
        missed.is_some_and(|missed| missed.iter().any(|known| request.is_at_least(known)))
    }
}

impl Request {
    /// Returns whether it needs at least as much of everything as `other`.
    fn is_at_least(&self, other: &Self) -> bool {
        let lasts_as_long = match (self.duration_ms, other.duration_ms) {
            (None, _) => true,
            (Some(_), None) => false,
            (Some(own), Some(other)) => own >= other,
        };
        lasts_as_long && other.resources.fits(&self.resources)
    }
}
