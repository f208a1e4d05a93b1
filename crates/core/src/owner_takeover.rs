//! The takeover of a vacant cell: check for an owner, get a lease, claim the cell, load its state.

use super::*;

impl Owner {
    /// Requests the takeover in one transaction, on condition that the cell is still vacant and its
    /// highest epoch is unchanged.
    pub(super) fn claim(&mut self, requested: Instant, lease_id: i64, term: Option<store::Value>) {
        let previous = match term.as_ref().map(|value| sealed::open(&value.key, &value.bytes)) {
            Some(Ok(previous)) => previous,
            Some(Err(error)) => return self.refuse_value(requested, &error),
            None => Term::default(),
        };
        self.holder.epoch = cell::Epoch(previous.epoch.0 + 1);
        let key = journal::epoch_key(&self.cell);
        let next = Term { epoch: self.holder.epoch, released: false };
        let epoch = store::Value { bytes: sealed::seal(&next), key: key.clone() };
        let vacant = store::Condition::Absent(journal::owner_key(&self.cell));
        let unchanged = term.map_or(store::Condition::Absent(key), store::Condition::Equals);
        self.send_call(store::Request::Commit(store::Txn {
            conditions: vec![vacant, unchanged],
            operations: vec![
                store::Operation::Put { lease: Some(lease_id), value: self.owner_value() },
                store::Operation::Put { lease: None, value: epoch },
            ],
        }));
        let released = previous.released || previous.epoch.0 == 0;
        self.phase = Phase::Claiming { requested, in_doubt: false, lease_id, released };
    }

    pub(super) fn on_claim_reply(&mut self, now: Instant, reply: &store::Reply) {
        let Phase::Claiming { requested, in_doubt, lease_id, released } = self.phase else {
            return;
        };
        let own = self.owner_value();
        match reply {
            store::Reply::Committed => self.start_loading(requested, lease_id, released),
            store::Reply::Values(values) if values.contains(&own) => {
                self.start_loading(requested, lease_id, released);
            }
            store::Reply::Doubt => {
                self.phase = Phase::Claiming { requested, in_doubt: true, lease_id, released };
                self.pause(now, RETRY_PAUSE);
            }
            store::Reply::Refused if in_doubt => self.pause(now, RETRY_PAUSE),
            _ => self.wait(now),
        }
        if requested + lease::TTL < now && matches!(self.phase, Phase::Claiming { .. }) {
            self.wait(now);
        }
    }

    pub(super) fn on_grant_reply(&mut self, now: Instant, reply: &store::Reply) {
        let Phase::Granting { requested, term } =
            std::mem::replace(&mut self.phase, Phase::Waiting)
        else {
            return;
        };
        match reply {
            store::Reply::Granted(lease) => self.claim(requested, *lease, term),
            _ => self.wait(now),
        }
    }

    pub(super) fn start_loading(&mut self, requested: Instant, lease_id: i64, released: bool) {
        self.lease = Some(Lease::new(lease_id, requested));
        self.phase = Phase::Loading { released };
        self.next_call = requested;
    }

    pub(super) fn load(&mut self, now: Instant) {
        match self.covers(now) {
            true => self.send_call(store::Request::List(journal::prefix(&self.cell))),
            false => self.lose_lease(now),
        }
    }

    pub(super) fn on_load_reply(&mut self, now: Instant, reply: &store::Reply) {
        let Phase::Loading { released } = self.phase else { return };
        let store::Reply::Values(values) = reply else { return self.pause(now, RETRY_PAUSE) };
        if !self.covers(now) || !values.contains(&self.owner_value()) {
            return self.lose_lease(now);
        }
        match Recovery::from_values(&self.cell, values, &self.chart) {
            Ok(recovery) => self.take_ownership(now, recovery, released),
            Err(error) => self.refuse_value(now, &error),
        }
    }

    /// Requests a lease if the cell is vacant and the schedulers that rank before this one have had
    /// their time to claim it.
    pub(super) fn on_check_reply(&mut self, now: Instant, reply: &store::Reply) {
        let store::Reply::Values(values) = reply else { return self.wait(now) };
        let find = |key: String| values.iter().find(|value| value.key == key);
        if let Some(value) = find(journal::owner_key(&self.cell)) {
            self.vacant_since = None;
            let other = sealed::open::<Holder>(&value.key, &value.bytes);
            if other.is_ok_and(|other| other.scheduler != self.holder.scheduler) {
                self.dispatcher = None;
            }
            return self.wait(now);
        }
        let vacant_since = *self.vacant_since.get_or_insert(now);
        let term = find(journal::epoch_key(&self.cell)).cloned();
        let previous = term.as_ref().map(|value| sealed::open::<Term>(&value.key, &value.bytes));
        let delay = match previous {
            Some(Ok(Term { released: true, .. })) => RELEASED_DELAY,
            _ => RANK_DELAY,
        };
        let earliest_claim = vacant_since + delay * self.rank;
        if now < earliest_claim {
            self.wait(now);
            self.next_call = self
                .next_call
                .min(earliest_claim + Duration::from_millis(self.random.random_range(0..200)));
            return;
        }
        self.send_call(store::Request::Grant);
        self.phase = Phase::Granting { requested: now, term };
    }

    pub(super) fn take_ownership(&mut self, now: Instant, recovery: Recovery, released: bool) {
        let max_task_lease = contact::BATCH_VALIDITY + contact::TASK_LEASE + lease::DRIFT_MARGIN;
        let grace = if released { Duration::ZERO } else { contact::OUTAGE_GRACE };
        let writer = Writer::new(&self.cell, self.holder.clone(), &recovery, self.faults);
        let jobs = recovery.content.jobs.len();
        let ledger = Ledger::new(self.chart.clone(), recovery.content);
        let earlier_runs_over = now + grace + max_task_lease;
        let seed = self.random.random();
        let mut dispatcher =
            Dispatcher::new(&self.cell, ledger, writer, seed, earlier_runs_over, self.faults);
        if let Some((config, vms)) = &self.config {
            dispatcher.configure(config, vms);
        }
        if !self.vm_list.is_empty() {
            dispatcher.apply_vm_list(now, &self.vm_list);
        }
        self.dispatcher = Some(dispatcher);
        self.phase = Phase::Owning;
        self.vacant_since = None;
        let epoch = self.holder.epoch;
        self.actions.push(Action::Note(Note::TookOver { epoch, jobs }));
    }

    /// Reports a value that can't be read, and pauses before the next takeover.
    pub(super) fn refuse_value(&mut self, now: Instant, error: &sealed::Error) {
        self.actions.push(Action::Note(Note::Refused(error.to_string())));
        self.lose_lease(now);
        self.next_call = now + REFUSED_PAUSE;
    }
}
