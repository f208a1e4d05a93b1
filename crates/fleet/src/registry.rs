//! The workers' entries as a VM has read them. While a VM takes cells over, a full read and an older
//! watch of the same entries are in progress together, and the watch may be answered last: with many
//! workers it lags by seconds. Entries therefore only ever move to newer revisions.

use super::*;

/// The workers' entries, each at its newest revision.
#[derive(Debug, Default)]
pub struct Registry {
    /// Since when the entries are known to be complete: the time at which the last read that
    /// included every change was sent, in milliseconds.
    confirmed_at: Option<u64>,
    entries: BTreeMap<Arc<str>, Entry>,
    /// Every change up to this revision is included; 0 before the first full read.
    revision: u64,
    /// Counts changes of the entries.
    version: u64,
}

#[derive(Clone, Debug)]
struct Entry {
    registration: Registration,
    /// The revision at which it was written; may be above [`Registry::revision`], since the pages of
    /// a full read are no snapshot.
    revision: u64,
}

/// A worker's entry in an answer of the store; without a registration it was removed.
#[derive(Clone, Debug)]
pub struct Item {
    /// The worker's ID.
    pub worker: Arc<str>,
    /// The revision of the change.
    pub revision: u64,
    /// The entry.
    pub registration: Option<Registration>,
}

/// A change of a worker that decisions depend on.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Change {
    /// The worker is new, has restarted, or drains.
    Seen(Arc<str>),
    /// The worker has no entry any more.
    Gone(Arc<str>),
}

impl Registry {
    /// Replaces all entries by those of a full read that was sent at `sent_at`, in milliseconds, and
    /// includes every change up to `revision`. Ignores a read that is older than the entries.
    pub fn replace(&mut self, sent_at: u64, revision: u64, items: Vec<Item>) -> Vec<Change> {
        if revision < self.revision {
            return Vec::new();
        }
        let gone: Vec<Arc<str>> = {
            let found: BTreeSet<&Arc<str>> = items.iter().map(|item| &item.worker).collect();
            self.entries.keys().filter(|worker| !found.contains(worker)).cloned().collect()
        };
        let mut changes = Vec::new();
        for worker in gone {
            self.remove(worker, &mut changes);
        }
        for item in items {
            self.set(item, &mut changes);
        }
        self.confirm(sent_at, revision);
        changes
    }

    /// Applies the changes of a watch up to `revision`. `sent_at` is the time at which the watch was
    /// sent, in milliseconds, if its answer included every change since.
    pub fn apply(&mut self, sent_at: Option<u64>, revision: u64, items: Vec<Item>) -> Vec<Change> {
        let mut changes = Vec::new();
        for item in items {
            if item.revision > self.revision {
                self.set(item, &mut changes);
            }
        }
        match sent_at {
            Some(sent_at) => self.confirm(sent_at, revision),
            None => self.revision = self.revision.max(revision),
        }
        changes
    }

    /// Sets or removes an entry, unless a newer one is known.
    fn set(&mut self, item: Item, changes: &mut Vec<Change>) {
        let old = self.entries.get(&item.worker);
        if old.is_some_and(|old| old.revision >= item.revision) {
            return;
        }
        let Some(registration) = item.registration else {
            return self.remove(item.worker, changes);
        };
        let seen = old.is_none_or(|old| {
            let old = &old.registration;
            old.draining != registration.draining || old.born != registration.born
        });
        if old.is_none_or(|old| old.registration != registration) {
            self.version += 1;
        }
        if seen {
            changes.push(Change::Seen(item.worker.clone()));
        }
        self.entries.insert(item.worker, Entry { registration, revision: item.revision });
    }

    fn remove(&mut self, worker: Arc<str>, changes: &mut Vec<Change>) {
        if self.entries.remove(&worker).is_some() {
            self.version += 1;
            changes.push(Change::Gone(worker));
        }
    }

    fn confirm(&mut self, sent_at: u64, revision: u64) {
        self.revision = self.revision.max(revision);
        self.confirmed_at = self.confirmed_at.max(Some(sent_at));
    }

    /// Returns whether the entries include every change up to the time `since`, in milliseconds.
    pub fn is_current(&self, since: u64) -> bool {
        self.confirmed_at.is_some_and(|at| at >= since)
    }

    /// Returns whether the entries lack changes of more than `max_age_ms` milliseconds. While the
    /// store is away nothing changes, so the time counts from its return at `store_back_at`.
    pub fn is_stale(&self, now: u64, store_back_at: u64, max_age_ms: u64) -> bool {
        now > self.confirmed_at.unwrap_or(0).max(store_back_at) + max_age_ms
    }

    /// Returns the time since which the entries are known to be complete, in milliseconds.
    pub fn confirmed_at(&self) -> Option<u64> {
        self.confirmed_at
    }

    /// Returns the revision at which a worker's entry was written.
    pub fn entry_revision(&self, worker: &str) -> Option<u64> {
        self.entries.get(worker).map(|entry| entry.revision)
    }

    /// Returns a worker's entry.
    pub fn get(&self, worker: &str) -> Option<&Registration> {
        self.entries.get(worker).map(|entry| &entry.registration)
    }

    /// Returns the workers with their entries, in the order of their IDs.
    pub fn iter(&self) -> impl Iterator<Item = (&Arc<str>, &Registration)> {
        self.entries.iter().map(|(worker, entry)| (worker, &entry.registration))
    }

    /// Returns the number of workers.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Returns whether there are no workers.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Returns the revision up to which every change is included.
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// Returns a number that rises with each change of an entry.
    pub fn version(&self) -> u64 {
        self.version
    }
}
