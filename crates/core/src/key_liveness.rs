//! Detection of members of the map that are lost or gone.

use super::*;
use {
    key::Now,
    key_map::{Map, Member},
};

/// How long a member must be without its lease to count as lost. Long enough that all members can
/// return after an outage.
pub(crate) const LOST_DELAY: Duration = Duration::from_millis(3_000);
/// How long the VM list, which lags, must lack an entry for the entry to count as gone.
pub(crate) const GONE_DELAY: Duration = Duration::from_secs(60);

/// Signs that members of the map are lost or gone, as this entry sees them.
#[derive(Clone, Debug, Default)]
pub(crate) struct Liveness {
    /// Members of the current map that another process of the same entry has replaced.
    replaced: BTreeSet<Member>,
    /// Since when members of the current map have been without their lease.
    leaseless_since: BTreeMap<Member, Instant>,
    /// Since when the VM list has not contained an entry.
    unlisted_since: BTreeMap<Name, Instant>,
}

impl Liveness {
    /// Discards what was observed under an earlier map.
    pub(crate) fn clear(&mut self) {
        self.replaced.clear();
        self.leaseless_since.clear();
    }

    /// Returns whether `member` is proven to be gone: another process of the same entry has
    /// replaced it, possibly `me`, or the VM list has lacked its entry for `GONE_DELAY`.
    pub(crate) fn is_gone(&self, now: Now, me: &Member, member: &Member) -> bool {
        let since = self.unlisted_since.get(&member.name);
        let unlisted = since.is_some_and(|since| now.at >= *since + GONE_DELAY);
        self.replaced.contains(member) || member.name == me.name || unlisted
    }

    /// Updates the state from the names on the VM list.
    pub(crate) fn update_vm_list(&mut self, now: Now, map: Option<&Map>, names: &BTreeSet<Name>) {
        let members = map.into_iter().flat_map(|map| map.members.iter().map(|one| &one.name));
        let unlisted = members.filter(|name| !names.contains(name));
        let since = |name: &Name| self.unlisted_since.get(name).copied().unwrap_or(now.at);
        self.unlisted_since = unlisted.map(|name| (name.clone(), since(name))).collect();
    }

    /// Updates the state from the members in `present`, which have a lease, and returns the members
    /// that have been without theirs for `LOST_DELAY`.
    pub(crate) fn lost(
        &mut self,
        now: Now,
        map: &Map,
        present: &BTreeSet<Member>,
    ) -> BTreeSet<Member> {
        let leaseless = map.members.difference(present);
        let since = |member| self.leaseless_since.get(member).copied().unwrap_or(now.at);
        self.leaseless_since = leaseless.map(|member| (member.clone(), since(member))).collect();
        let lost = self.leaseless_since.iter().filter(|(_, since)| now.at >= **since + LOST_DELAY);
        lost.map(|(member, _)| member.clone()).collect()
    }

    /// Records that the process `from` answered at the address of the entry `to`.
    pub(crate) fn record_answer(&mut self, map: Option<&Map>, from: &Member, to: &Name) {
        if from.name != *to {
            return;
        }
        let members = map.into_iter().flat_map(|map| &map.members);
        let replaced = members.filter(|member| member.name == *to && *member != from);
        self.replaced.extend(replaced.cloned());
    }
}
