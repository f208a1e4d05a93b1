//! Holds back what an owner may conclude only if no later owner was there: that one may have renewed a
//! worker's lease, or acknowledged the end of a run, and this owner would not hear of it. An owner doesn't
//! notice that it has been replaced while it is cut off from the store. Answers this load: VMs that are cut off
//! together with some of their workers, and VMs whose leases the store ends early.

use {super::*, action::Proof};

/// Interval between requests for a confirmation, in milliseconds: longer than the store takes to answer.
const CONFIRMATION_INTERVAL_MS: u64 = 50;

/// A run that is missing from a listing.
#[derive(Debug)]
pub(crate) struct Unlisted {
    worker: Arc<str>,
    name: task::Name,
    run: u32,
    proof: Proof,
    /// When the listing arrived, in milliseconds.
    at: u64,
}

impl Cell {
    /// Records that the store has answered a call, sent at `sent_at` in milliseconds, that shows that this
    /// ownership had not ended.
    pub fn confirm(&mut self, sent_at: u64) {
        self.confirmed_at = self.confirmed_at.max(sent_at);
        let (workers, confirmed_at) = (&mut self.workers, self.confirmed_at);
        let mut confirmed = false;
        self.unconfirmed.retain(|id| {
            let Some(worker) = workers.get_mut(id) else { return false };
            worker.confirmed = worker.lives_since <= confirmed_at;
            confirmed |= worker.confirmed;
            !worker.confirmed
        });
        self.placement_due |= confirmed;
        self.inventory_due |= confirmed;
    }

    /// Returns the last moment until which no other owner can have been there, in milliseconds.
    pub(crate) fn covered_until(&self, clock: Clock) -> u64 {
        clock.now.min(self.confirmed_at)
    }

    /// Returns whether something that is due since `at`, in milliseconds, is covered. If not, asks for a
    /// confirmation.
    pub(crate) fn is_covered(&mut self, at: u64) -> bool {
        let covered = at <= self.confirmed_at;
        self.confirmation_due |= !covered;
        covered
    }

    /// Notes that a worker's current life has answered for the first time. It may not know the fence of a
    /// later owner that its last life has answered.
    pub(crate) fn note_life(&mut self, now: u64, id: &Arc<str>) {
        let Some(worker) = self.workers.get_mut(id) else { return };
        worker.lives_since = now;
        worker.confirmed = now <= self.confirmed_at;
        if !worker.confirmed {
            self.unconfirmed.insert(id.clone());
        }
    }

    /// Notes that a listing leaves out a run that must be over, unless another owner has seen its end.
    pub(crate) fn note_unlisted(
        &mut self,
        at: u64,
        id: &Arc<str>,
        name: task::Name,
        run: u32,
        proof: Proof,
    ) {
        let is_same = |unlisted: &Unlisted| {
            unlisted.worker == *id && unlisted.name == name && unlisted.run == run
        };
        if !self.unlisted.iter().any(is_same) {
            self.unlisted.push(Unlisted { worker: id.clone(), name, run, proof, at });
        }
    }

    /// Releases the runs that listings have left out, once that proves that they are over.
    pub(crate) fn release_unlisted(&mut self, clock: Clock) {
        let until = self.covered_until(clock);
        let (covered, rest) =
            std::mem::take(&mut self.unlisted).into_iter().partition(|run| run.at <= until);
        self.unlisted = rest;
        let covered: Vec<Unlisted> = covered;
        for Unlisted { worker, name, run, proof, .. } in covered {
            let holder = self.workers.get_mut(&worker);
            if holder.is_some_and(|holder| holder.run_mut(&name, run).is_some()) {
                self.release(&worker, name, proof);
            }
        }
        self.confirmation_due |= !self.unlisted.is_empty();
    }

    /// Asks the process to have the ownership confirmed, if anything waits for it.
    pub(crate) fn ask_for_confirmation(&mut self, clock: Clock) {
        let due = std::mem::take(&mut self.confirmation_due) || !self.unconfirmed.is_empty();
        if due && clock.now >= self.confirmation_asked_at + CONFIRMATION_INTERVAL_MS {
            self.confirmation_asked_at = clock.now;
            self.actions.push(Action::Confirm);
        }
    }
}
