//! What an entry's ownership of partitions rests on: its lease, or the word of all other members.

use super::*;
use {
    key::Now,
    key_map::{Map, Member},
    key_owner::{LEASE, RENEW_INTERVAL},
};

/// Taken off the end of the lease, for clocks that drift.
pub(crate) const DRIFT_MARGIN: Duration = Duration::from_millis(500);
/// How long a confirmation holds, from the question on.
pub(crate) const CONFIRM_LIMIT: Duration = Duration::from_millis(1_000);
/// How long a promised change may take; the map is written anew after it, so that it can be
/// confirmed again.
pub(crate) const FENCE_LIMIT: Duration = Duration::from_millis(3_000);

/// What an entry's ownership of partitions rests on.
#[derive(Clone, Debug, Default)]
pub(crate) struct Trust {
    /// Whether a member of the map in hand has promised to confirm it no more.
    pub(crate) promised: bool,
    /// When each member confirmed the map in hand, by the time of the question.
    confirmations: BTreeMap<Member, Instant>,
    /// Whether the membership key is under the lease.
    entered: bool,
    /// The highest version that this process has promised to confirm no more.
    fenced: u64,
    /// When it promised so.
    fenced_at: Instant,
    /// When the lease ends, less the drift margin; `None` without one.
    lease_until: Option<Instant>,
}

impl Trust {
    /// Forgets what was said of the map before.
    pub(crate) fn clear(&mut self) {
        self.confirmations.clear();
        self.promised = false;
    }

    /// Notes that `from`, asked at `sent`, confirmed the map in hand.
    pub(crate) fn confirmed(&mut self, from: Member, sent: Instant) {
        let latest = self.confirmations.entry(from).or_default();
        *latest = sent.max(*latest);
    }

    /// Notes that the membership is under the lease.
    pub(crate) fn enter(&mut self) {
        self.entered = true;
    }

    /// Returns whether the membership is under the lease, as far as is known.
    pub(crate) fn entered(&self) -> bool {
        self.entered
    }

    /// Promises never to confirm `version`, or any before it, again.
    pub(crate) fn fence(&mut self, now: Now, version: u64) {
        if version > self.fenced {
            self.fenced = version;
            self.fenced_at = now.at;
        }
    }

    /// Notes that the lease is gone.
    pub(crate) fn forget_lease(&mut self) {
        self.entered = false;
        self.lease_until = None;
    }

    /// Returns whether `me` may rely on `map`: by its lease, or by the word of every other member,
    /// unless it has promised itself that the map may change.
    pub(crate) fn holds(&self, now: Now, me: &Member, map: Option<&Map>) -> bool {
        if self.entered && self.lease_until.is_some_and(|until| now.at < until) {
            return true;
        }
        let Some(map) = map.filter(|map| map.members.contains(me)) else { return false };
        let fresh = |member: &Member| {
            let sent = self.confirmations.get(member);
            sent.is_some_and(|sent| now.at < *sent + CONFIRM_LIMIT)
        };
        let mut others = map.members.iter().filter(|member| *member != me).peekable();
        !self.is_fenced(map.version) && others.peek().is_some() && others.all(fresh)
    }

    /// Returns whether this process has promised not to confirm `version`.
    pub(crate) fn is_fenced(&self, version: u64) -> bool {
        self.fenced >= version
    }

    /// Returns whether the lease was renewed at the last time that it was due.
    pub(crate) fn is_renewed(&self, now: Now) -> bool {
        let late = RENEW_INTERVAL + RENEW_INTERVAL / 2;
        let renewed = |until: Instant| now.at + LEASE < until + DRIFT_MARGIN + late;
        self.entered && self.lease_until.is_some_and(renewed)
    }

    /// Returns whether a change of `version` was promised for and did not come.
    pub(crate) fn is_stuck(&self, now: Now, version: u64) -> bool {
        self.is_fenced(version) && now.at >= self.fenced_at + FENCE_LIMIT
    }

    /// Notes a renewal of the lease that was asked for at `sent`.
    pub(crate) fn renew(&mut self, sent: Instant) {
        self.lease_until = Some(sent + (LEASE - DRIFT_MARGIN));
    }
}
