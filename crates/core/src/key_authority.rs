//! Proof that an entry still owns its partitions: its lease, or the confirmations of all others.

use super::*;
use {
    key::Now,
    key_map::{Map, Member},
    key_owner::{LEASE_TTL, RENEW_INTERVAL},
};

/// How much earlier than the key-value service an entry ends its lease, to allow for clock drift.
pub(crate) const DRIFT_MARGIN: Duration = Duration::from_millis(500);
/// How long a confirmation is valid, counted from its request.
pub(crate) const CONFIRMATION_VALIDITY: Duration = Duration::from_millis(1_000);
/// How long a fenced map may stay without a new version. After this it is rewritten under the next
/// version, which can be confirmed again.
pub(crate) const FENCE_TIMEOUT: Duration = Duration::from_millis(3_000);

/// An entry's proof that the map it has read is still valid for it.
#[derive(Clone, Debug, Default)]
pub(crate) struct Authority {
    /// Whether a member of the current map has agreed never to confirm that map again.
    pub(crate) fence_acknowledged: bool,
    /// When the last request was sent that each member confirmed the current map to.
    confirmations: BTreeMap<Member, Instant>,
    /// Whether the membership key is under the lease.
    registered: bool,
    /// The highest version that this process must not confirm again.
    fenced: u64,
    /// When it was fenced.
    fenced_at: Instant,
    /// When the lease ends, less the drift margin; `None` without a lease.
    lease_until: Option<Instant>,
}

impl Authority {
    /// Discards what other members answered about an earlier map.
    pub(crate) fn clear(&mut self) {
        self.confirmations.clear();
        self.fence_acknowledged = false;
    }

    /// Records that `from` confirmed the current map in answer to a request sent at `sent`.
    pub(crate) fn record_confirmation(&mut self, from: Member, sent: Instant) {
        let latest = self.confirmations.entry(from).or_default();
        *latest = sent.max(*latest);
    }

    /// Records that the membership key is under the lease.
    pub(crate) fn register(&mut self) {
        self.registered = true;
    }

    /// Returns whether the membership key is under the lease, as far as is known.
    pub(crate) fn registered(&self) -> bool {
        self.registered
    }

    /// Stops this process from ever confirming `version` or an earlier one again.
    pub(crate) fn fence(&mut self, now: Now, version: u64) {
        if version > self.fenced {
            self.fenced = version;
            self.fenced_at = now.at;
        }
    }

    /// Records that the lease is gone.
    pub(crate) fn lose_lease(&mut self) {
        self.registered = false;
        self.lease_until = None;
    }

    /// Returns whether `me` may act as an owner under `map`: its lease is valid, or every other
    /// member has confirmed the map lately and `me` has not fenced it itself.
    pub(crate) fn is_valid(&self, now: Now, me: &Member, map: Option<&Map>) -> bool {
        if self.registered && self.lease_until.is_some_and(|until| now.at < until) {
            return true;
        }
        let Some(map) = map.filter(|map| map.members.contains(me)) else { return false };
        let fresh = |member: &Member| {
            let sent = self.confirmations.get(member);
            sent.is_some_and(|sent| now.at < *sent + CONFIRMATION_VALIDITY)
        };
        let mut others = map.members.iter().filter(|member| *member != me).peekable();
        !self.is_fenced(map.version) && others.peek().is_some() && others.all(fresh)
    }

    /// Returns whether this process must not confirm `version`.
    pub(crate) fn is_fenced(&self, version: u64) -> bool {
        self.fenced >= version
    }

    /// Returns whether the last renewal of the lease is less than 1.5 `RENEW_INTERVAL` old.
    pub(crate) fn is_recently_renewed(&self, now: Now) -> bool {
        let late = RENEW_INTERVAL + RENEW_INTERVAL / 2;
        let renewed = |until: Instant| now.at + LEASE_TTL < until + DRIFT_MARGIN + late;
        self.registered && self.lease_until.is_some_and(renewed)
    }

    /// Returns whether `version` was fenced for a change that did not follow within
    /// `FENCE_TIMEOUT`.
    pub(crate) fn is_fence_expired(&self, now: Now, version: u64) -> bool {
        self.is_fenced(version) && now.at >= self.fenced_at + FENCE_TIMEOUT
    }

    /// Records a renewal of the lease that was requested at `sent`.
    pub(crate) fn renew(&mut self, sent: Instant) {
        self.lease_until = Some(sent + (LEASE_TTL - DRIFT_MARGIN));
    }
}
