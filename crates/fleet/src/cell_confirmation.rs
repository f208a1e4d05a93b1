//! Holds back what an owner may conclude only if no later owner was there: that one may have renewed a
//! worker's lease, or acknowledged the end of a run, and this owner would not hear of it. An owner doesn't
//! notice that it has been replaced while it is cut off from the store. Answers this load: VMs that are cut off
//! together with some of their workers, and VMs whose leases the store ends early.

use {super::*, action::Proof};

/// Interval between requests for a confirmation, in milliseconds.
const CONFIRMATION_INTERVAL_MS: u64 = 20;

/// A run that must be over, unless another owner has renewed its lease or seen its end.
#[derive(Debug)]
pub(crate) struct Unlisted {
    run: u32,
    proof: Proof,
    /// When the worker's answer arrived, in milliseconds.
    at: u64,
}

impl Cell {
    /// Records that the store has answered a call, sent at `sent_at` in milliseconds, that shows that this
    /// ownership had not ended.
    pub fn confirm(&mut self, sent_at: u64) {
        if sent_at <= self.confirmed_at {
            return;
        }
        self.confirmed_at = sent_at;
        let (workers, confirmed_at) = (&mut self.workers, self.confirmed_at);
        let waiting = self.unconfirmed.len() + self.fencings.len();
        self.unconfirmed.retain(|id| {
            let Some(worker) = workers.get_mut(id) else { return false };
            worker.confirmed = worker.lives_since <= confirmed_at;
            !worker.confirmed
        });
        let unfenced = &mut self.unfenced;
        self.fencings.retain(|id, at| {
            let confirmed = *at <= confirmed_at;
            if confirmed {
                unfenced.remove(id);
            }
            !confirmed
        });
        let confirmed = self.unconfirmed.len() + self.fencings.len() < waiting;
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

    /// Notes that a worker rejects orders of earlier owners, and has listed all that it knows of them.
    pub(crate) fn note_fenced(&mut self, now: u64, id: &Arc<str>) {
        if now <= self.confirmed_at {
            self.unfenced.remove(id);
        } else if self.unfenced.contains(id) {
            self.fencings.entry(id.clone()).or_insert(now);
        }
    }

    /// Notes that an answer shows that a run is over, unless another owner has seen its end.
    pub(crate) fn note_unlisted(
        &mut self,
        at: u64,
        id: &Arc<str>,
        name: task::Name,
        run: u32,
        proof: Proof,
    ) {
        let key = (id.clone(), name);
        if self.unlisted.get(&key).is_none_or(|unlisted| unlisted.run != run) {
            self.unlisted.insert(key, Unlisted { run, proof, at });
        }
    }

    /// Returns whether an answer has shown that all runs of a worker are over.
    pub(crate) fn lists_none(&self, id: &Arc<str>) -> bool {
        let is_noted = |(name, run): (&task::Name, &Run)| {
            let unlisted = self.unlisted.get(&(id.clone(), *name));
            unlisted.is_some_and(|unlisted| unlisted.run == run.number)
        };
        self.workers.get(id).is_none_or(|worker| worker.runs.iter().all(is_noted))
    }

    /// Drops what answers have shown of a task's run at a worker: another answer shows it again, or the run
    /// is another one.
    pub(crate) fn forget_unlisted(&mut self, id: &Arc<str>, name: task::Name) {
        self.unlisted.remove(&(id.clone(), name));
    }

    /// Releases the runs that answers have shown to be over, once no other owner can have seen their ends.
    pub(crate) fn release_unlisted(&mut self, clock: Clock) {
        let until = self.covered_until(clock);
        let covered: Vec<_> = self.unlisted.extract_if(.., |_, run| run.at <= until).collect();
        for ((id, name), Unlisted { run, proof, .. }) in covered {
            let worker = self.workers.get_mut(&id);
            if worker.is_some_and(|worker| worker.run_mut(&name, run).is_some()) {
                self.release(&id, name, proof);
            }
        }
    }

    /// Asks the process to have the ownership confirmed, if anything waits for it.
    pub(crate) fn ask_for_confirmation(&mut self, clock: Clock) {
        let due = std::mem::take(&mut self.confirmation_due)
            || !self.unconfirmed.is_empty()
            || !self.fencings.is_empty()
            || !self.unlisted.is_empty();
        if due && clock.now >= self.confirmation_asked_at + CONFIRMATION_INTERVAL_MS {
            self.confirmation_asked_at = clock.now;
            self.actions.push(Action::Confirm);
        }
    }
}
