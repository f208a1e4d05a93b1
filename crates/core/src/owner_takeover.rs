//! The way of a vacant cell to its new owner: look, grant, claim, load.

use super::*;

impl Owner {
    /// Claims the vacant cell.
    pub(super) fn claim(&mut self, asked: Instant, lease: i64, term: Option<store::Value>) {
        let before = match term.as_ref().map(|value| sealed::open(&value.key, &value.bytes)) {
            Some(Ok(before)) => before,
            Some(Err(error)) => return self.refuse(asked, &error),
            None => Term::default(),
        };
        self.holder.epoch = cell::Epoch(before.epoch.0 + 1);
        let key = journal::epoch(&self.cell);
        let after = Term { epoch: self.holder.epoch, released: false };
        let epoch = store::Value { bytes: sealed::seal(&after), key: key.clone() };
        let vacant = store::Condition::Absent(journal::owner(&self.cell));
        let same = term.map_or(store::Condition::Absent(key), store::Condition::Equals);
        self.ask(store::Request::Commit(store::Txn {
            conditions: vec![vacant, same],
            operations: vec![
                store::Operation::Put { lease: Some(lease), value: self.own() },
                store::Operation::Put { lease: None, value: epoch },
            ],
        }));
        let released = before.released || before.epoch.0 == 0;
        self.phase = Phase::Claiming { asked, doubt: false, lease, released };
    }

    pub(super) fn claimed(&mut self, now: Instant, reply: &store::Reply) {
        let Phase::Claiming { asked, doubt, lease, released } = self.phase else { return };
        let own = self.own();
        match reply {
            store::Reply::Committed => self.hold(asked, lease, released),
            store::Reply::Values(values) if values.contains(&own) => {
                self.hold(asked, lease, released);
            }
            store::Reply::Doubt => {
                self.phase = Phase::Claiming { asked, doubt: true, lease, released };
                self.pause(now, AGAIN);
            }
            store::Reply::Refused if doubt => self.pause(now, AGAIN),
            _ => self.seek(now),
        }
        if asked + tenure::LEASE < now && matches!(self.phase, Phase::Claiming { .. }) {
            self.seek(now);
        }
    }

    pub(super) fn granted(&mut self, now: Instant, reply: &store::Reply) {
        let Phase::Granting { asked, term } = std::mem::replace(&mut self.phase, Phase::Seeking)
        else {
            return;
        };
        match reply {
            store::Reply::Granted(lease) => self.claim(asked, *lease, term),
            _ => self.seek(now),
        }
    }

    pub(super) fn hold(&mut self, asked: Instant, lease: i64, released: bool) {
        self.tenure = Some(Tenure::new(lease, asked));
        self.phase = Phase::Loading { released };
        self.next = asked;
    }

    pub(super) fn load(&mut self, now: Instant) {
        match self.covers(now) {
            true => self.ask(store::Request::List(journal::prefix(&self.cell))),
            false => self.lose(now),
        }
    }

    pub(super) fn loaded(&mut self, now: Instant, reply: &store::Reply) {
        let Phase::Loading { released } = self.phase else { return };
        let store::Reply::Values(values) = reply else { return self.pause(now, AGAIN) };
        if !self.covers(now) || !values.contains(&self.own()) {
            return self.lose(now);
        }
        match Restored::read(&self.cell, values, &self.chart) {
            Ok(restored) => self.own_from(now, restored, released),
            Err(error) => self.refuse(now, &error),
        }
    }

    /// Looks whether the cell is vacant.
    pub(super) fn looked(&mut self, now: Instant, reply: &store::Reply) {
        let store::Reply::Values(values) = reply else { return self.seek(now) };
        let find = |key: String| values.iter().find(|value| value.key == key);
        if let Some(value) = find(journal::owner(&self.cell)) {
            self.vacant = None;
            let other = sealed::open::<Holder>(&value.key, &value.bytes);
            if other.is_ok_and(|other| other.scheduler != self.holder.scheduler) {
                self.dispatcher = None;
            }
            return self.seek(now);
        }
        let vacant = *self.vacant.get_or_insert(now);
        let term = find(journal::epoch(&self.cell)).cloned();
        let before = term.as_ref().map(|value| sealed::open::<Term>(&value.key, &value.bytes));
        let delay = match before {
            Some(Ok(Term { released: true, .. })) => RELEASED_DELAY,
            _ => RANK_DELAY,
        };
        let turn = vacant + delay * self.rank;
        if now < turn {
            self.seek(now);
            self.next =
                self.next.min(turn + Duration::from_millis(self.random.random_range(0..200)));
            return;
        }
        self.ask(store::Request::Grant);
        self.phase = Phase::Granting { asked: now, term };
    }

    pub(super) fn own_from(&mut self, now: Instant, restored: Restored, released: bool) {
        let lease = contact::SEND_LIMIT + contact::TASK_LEASE + tenure::DRIFT_MARGIN;
        let grace = if released { Duration::ZERO } else { contact::OUTAGE_GRACE };
        let writer = Writer::new(&self.cell, self.holder.clone(), &restored, self.faults);
        let jobs = restored.content.jobs.len();
        let ledger = Ledger::new(self.chart.clone(), restored.content);
        let proven = now + grace + lease;
        let seed = self.random.random();
        let mut dispatcher = Dispatcher::new(&self.cell, ledger, writer, seed, proven, self.faults);
        if let Some((config, vms)) = &self.config {
            dispatcher.configure(config, vms);
        }
        if !self.listed.is_empty() {
            dispatcher.apply_vm_list(now, &self.listed);
        }
        self.dispatcher = Some(dispatcher);
        self.phase = Phase::Owning;
        self.vacant = None;
        let epoch = self.holder.epoch;
        self.actions.push(Action::Note(Note::TookOver { epoch, jobs }));
    }

    /// Leaves the cell alone after a value that was refused.
    pub(super) fn refuse(&mut self, now: Instant, error: &sealed::Error) {
        self.actions.push(Action::Note(Note::Refused(error.to_string())));
        self.lose(now);
        self.next = now + REFUSED_PAUSE;
    }
}
