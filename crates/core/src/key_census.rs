//! Which members of the map are gone, as far as an entry can tell.

use super::*;
use {
    key::Now,
    key_map::{Map, Member},
};

/// How long a member must be without its lease to count as lost, so that members can return
/// together after an outage.
pub(crate) const LOST_LIMIT: Duration = Duration::from_millis(3_000);
/// How long the VM list, which lags, must lack an entry for it to count as gone.
pub(crate) const UNLISTED_LIMIT: Duration = Duration::from_secs(60);

/// Which members of the map are gone, as far as an entry can tell.
#[derive(Clone, Debug, Default)]
pub(crate) struct Census {
    /// Members of the map in hand whose place another process has taken.
    gone: BTreeSet<Member>,
    /// Since when members of the map in hand have been without their lease.
    missing: BTreeMap<Member, Instant>,
    /// Since when the VM list has lacked each entry.
    unlisted: BTreeMap<Name, Instant>,
}

impl Census {
    /// Forgets what was found of the map before.
    pub(crate) fn clear(&mut self) {
        self.gone.clear();
        self.missing.clear();
    }

    /// Returns whether `member` is proven to be gone: another process has its place, `me` among
    /// them, or the VM list has long lacked it.
    pub(crate) fn has_vanished(&self, now: Now, me: &Member, member: &Member) -> bool {
        let since = self.unlisted.get(&member.name);
        let unlisted = since.is_some_and(|since| now.at >= *since + UNLISTED_LIMIT);
        self.gone.contains(member) || member.name == me.name || unlisted
    }

    /// Takes the names on the VM list.
    pub(crate) fn list(&mut self, now: Now, map: Option<&Map>, names: &BTreeSet<Name>) {
        let members = map.into_iter().flat_map(|map| map.members.iter().map(|one| &one.name));
        let lacking = members.filter(|name| !names.contains(name));
        let since = |name: &Name| self.unlisted.get(name).copied().unwrap_or(now.at);
        self.unlisted = lacking.map(|name| (name.clone(), since(name))).collect();
    }

    /// Returns the members that have been without their lease for long enough.
    pub(crate) fn lost(
        &mut self,
        now: Now,
        map: &Map,
        present: &BTreeSet<Member>,
    ) -> BTreeSet<Member> {
        let missing = map.members.difference(present);
        let since = |member| self.missing.get(member).copied().unwrap_or(now.at);
        self.missing = missing.map(|member| (member.clone(), since(member))).collect();
        let lost = self.missing.iter().filter(|(_, since)| now.at >= **since + LOST_LIMIT);
        lost.map(|(member, _)| member.clone()).collect()
    }

    /// Notes that `from` answered at the address of the entry `to`.
    pub(crate) fn note(&mut self, map: Option<&Map>, from: &Member, to: &Name) {
        if from.name != *to {
            return;
        }
        let members = map.into_iter().flat_map(|map| &map.members);
        let replaced = members.filter(|member| member.name == *to && *member != from);
        self.gone.extend(replaced.cloned());
    }
}
