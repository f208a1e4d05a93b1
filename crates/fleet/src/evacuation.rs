//! The availability zones that the operator evacuates. Their workers get no new runs from the moment
//! that the request is known, and what runs there goes on: an evacuation begins at any time, also
//! while an owner is paused, takes a cell over, or has lost the history of its watch, so an owner
//! whose knowledge of the requests is too old starts nothing.

use super::*;

/// The evacuated zones, as one VM has read them.
#[derive(Debug, Default)]
pub struct Evacuation {
    /// Since when the requests are known to be complete: the time at which the last read that
    /// included every change was sent, in milliseconds.
    confirmed_at: Option<u64>,
    zones: BTreeSet<Arc<str>>,
    /// Counts changes of the zones.
    version: u64,
}

/// A request of the operator in an answer of the store.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Request {
    /// The zone.
    pub zone: Arc<str>,
    /// Whether the zone is to be evacuated; otherwise the request was removed.
    pub evacuated: bool,
}

impl Evacuation {
    /// Replaces all requests by those of a full read that was sent at `sent_at`, in milliseconds.
    /// Returns the zones that changed.
    pub fn replace(&mut self, sent_at: u64, zones: BTreeSet<Arc<str>>) -> Vec<Request> {
        let taken_back = self.zones.difference(&zones).cloned();
        let changes: Vec<Request> = taken_back
            .map(|zone| Request { zone, evacuated: false })
            .chain(zones.iter().cloned().map(|zone| Request { zone, evacuated: true }))
            .collect();
        self.apply(Some(sent_at), changes)
    }

    /// Applies the changes of a watch in their order, and returns those that changed a zone.
    /// `sent_at` is the time at which the watch was sent, in milliseconds, if its answer included
    /// every change since.
    pub fn apply(&mut self, sent_at: Option<u64>, requests: Vec<Request>) -> Vec<Request> {
        let changes: Vec<Request> =
            requests.into_iter().filter(|request| self.set(request)).collect();
        self.version += changes.len() as u64;
        self.confirmed_at = self.confirmed_at.max(sent_at);
        changes
    }

    fn set(&mut self, request: &Request) -> bool {
        match request.evacuated {
            true => self.zones.insert(request.zone.clone()),
            false => self.zones.remove(&request.zone),
        }
    }

    /// Forgets how current the requests are, since this VM no longer follows them.
    pub fn invalidate(&mut self) {
        self.confirmed_at = None;
    }

    /// Returns whether the requests lack changes of more than `max_age_ms` milliseconds. While the
    /// store is away nothing changes, so the time counts from its return at `store_back_at`.
    pub fn is_stale(&self, now: u64, store_back_at: u64, max_age_ms: u64) -> bool {
        self.confirmed_at.is_none_or(|at| now > at.max(store_back_at) + max_age_ms)
    }

    /// Returns the age of the requests, in milliseconds.
    pub fn age_ms(&self, now: u64) -> u64 {
        now.saturating_sub(self.confirmed_at.unwrap_or(0))
    }

    /// Returns the zones to be evacuated.
    pub fn zones(&self) -> &BTreeSet<Arc<str>> {
        &self.zones
    }

    /// Returns a number that rises with each change of a zone.
    pub fn version(&self) -> u64 {
        self.version
    }
}
