//! Bounds the leases that an owner grants while the store is silent, so that a new owner doesn't wait long for
//! workers that it can't reach. An owner can't tell whether all VMs have lost the store, or it alone, so that another
//! one has its cell: it goes on only as long as it hears most of the workers. A new owner that most workers have
//! answered then knows that earlier ones extend no lease any more, since workers reject them from then on. Answers
//! this load: workers and their owner are lost at the same time, and outages of the store.

use super::*;

impl Cell {
    /// Returns the length of a lease that may be granted now, in milliseconds; `None` if there may be none.
    pub(crate) fn lease_ms(&self, now: u64) -> Option<u64> {
        let silent_ms = now.saturating_sub(self.confirmed_at);
        let confirmed_ms =
            (self.limits.lease_ms + limits::CONFIRMED_SLACK_MS).saturating_sub(silent_ms);
        if confirmed_ms >= self.limits.silent_lease_ms {
            return Some(confirmed_ms.min(self.limits.lease_ms));
        }
        self.hears_most(now).then_some(self.limits.silent_lease_ms)
    }

    /// Returns whether more than half of the voters have lately answered in a life that was there when the store last
    /// confirmed this owner. A commit without an answer may have changed them.
    fn hears_most(&self, now: u64) -> bool {
        let is_heard = |id: &&String| {
            self.workers.get(id.as_str()).is_some_and(|worker| {
                let answered_at = worker.answered_poll_at.unwrap_or(0);
                worker.confirmed && now <= answered_at + limits::HEARD_MS
            })
        };
        let hears_most = |head: &Head| {
            head.voters.is_empty()
                || head.voters.iter().filter(is_heard).count() * 2 > head.voters.len()
        };
        hears_most(&self.head) && self.pending_head().is_none_or(hears_most)
    }

    /// Returns the longest time for which a poll may wait for the end of a run, in milliseconds.
    pub(crate) fn poll_wait_ms(&self, now: u64) -> u64 {
        match now > self.confirmed_at + limits::SILENT_AFTER_MS {
            true => limits::SILENT_POLL_WAIT_MS,
            false => limits::POLL_WAIT_MS,
        }
    }

    /// Returns the voters for the next head.
    pub(crate) fn next_voters(&self) -> BTreeSet<String> {
        if !self.unfenced.is_empty() {
            return self.head.voters.clone();
        }
        let members = self.workers.iter().filter(|(_, worker)| worker.is_member);
        members.filter(|_| self.policy.quorum).map(|(id, _)| (**id).to_owned()).collect()
    }

    /// Shortens the wait for leases of earlier owners once enough workers have answered this one.
    pub(crate) fn note_answer(&mut self, now: u64) {
        let answers = |id: &str| self.workers.get(id).is_some_and(|worker| worker.fenced);
        if self.has_quorum || !self.policy.quorum || !self.predecessor.is_quorum(answers) {
            return;
        }
        self.has_quorum = true;
        let confirmed_until = self.acquired_at + self.limits.longest_confirmed_ms();
        let heard_until = now + self.limits.longest_heard_ms();
        self.leases_over_at = self.leases_over_at.min(confirmed_until.max(heard_until));
    }
}
