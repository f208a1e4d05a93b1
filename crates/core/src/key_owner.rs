//! Ownership of partitions of the key space by entries, and the permission of runs.
//!
//! An owner may rely on its partitions while its lease in the key-value service is good, or while
//! every other member of the newest map that it knows confirms that map. Whoever changes the map
//! has a member of it promise first never to confirm it again. So only holders of the newest map
//! ever get past their lease, and a new owner need only wait out the confirmations in force.
//!
//! Every record is held by two members before its run begins: the owner, and the runner or a
//! witness. A new owner that hears from all other members knows every run since its horizon.

use super::*;
use {
    key::{Fingerprint, Id, Now},
    key_call::{Answer, Ask},
    key_census::Census,
    key_event::{Action, Change, Event, Reading},
    key_map::{Map, Member, Part},
    key_record::{End, Grant, Record, Table},
    key_tenure::Tenure,
    key_tenures::Tenures,
    key_trust::Trust,
};

/// Length of the lease that an entry's membership goes with.
pub const LEASE: Duration = Duration::from_secs(10);
/// How often the lease is renewed.
pub const RENEW_INTERVAL: Duration = Duration::from_secs(3);
/// How often the map is read.
pub const READ_INTERVAL: Duration = Duration::from_millis(1_000);
/// How often confirmations are asked for, when the lease is not renewed.
pub const CONFIRM_INTERVAL: Duration = Duration::from_millis(250);
/// How long after the question a permitted run may begin.
pub const GRANT_LIMIT: Duration = Duration::from_millis(1_000);
/// How long a new owner waits before it collects: no earlier owner permits anything after it, and
/// no permitted run begins.
pub const SETTLE: Duration = Duration::from_millis(2_500);
/// How long the other members may take to answer a new owner.
pub const COLLECT_LIMIT: Duration = Duration::from_millis(3_000);
/// How often a question without an answer is asked again.
pub const ASK_INTERVAL: Duration = Duration::from_millis(500);
/// The most records held.
pub const MAX_RECORDS: usize = 20_000;

/// The permission of runs at one entry.
#[derive(Clone, Debug)]
pub struct Owner {
    census: Census,
    leaving: bool,
    me: Member,
    /// When each kind of thing is due.
    next: Due,
    /// The newest reading, if any.
    reading: Option<Reading>,
    /// Counts the grants given.
    serial: u64,
    started_ms: u64,
    /// Whether a call to the key-value service is out.
    store_busy: bool,
    table: Table,
    tenures: Tenures,
    trust: Trust,
}

#[derive(Clone, Copy, Debug, Default)]
struct Due {
    ask: Instant,
    confirm: Instant,
    read: Instant,
    renew: Instant,
}

impl Owner {
    /// Starts an entry's process.
    pub fn new(me: Member, now: Now) -> Self {
        Self {
            census: Census::default(),
            leaving: false,
            me,
            next: Due::default(),
            reading: None,
            serial: 0,
            started_ms: now.wall_ms,
            store_busy: false,
            table: Table::default(),
            tenures: Tenures::default(),
            trust: Trust::default(),
        }
    }

    /// Returns this process.
    pub fn me(&self) -> &Member {
        &self.me
    }

    /// Returns the map in hand.
    pub fn map(&self) -> Option<&Map> {
        self.reading.as_ref()?.map.as_ref()
    }

    /// Returns the record of a key.
    pub fn record(&self, id: &Id) -> Option<&Record> {
        self.table.get(id)
    }

    /// Gives every partition up; they go to other members.
    pub fn leave(&mut self) {
        self.leaving = true;
    }

    /// Takes the names on the VM list.
    pub fn list(&mut self, now: Now, names: &BTreeSet<Name>) {
        let map = self.reading.as_ref().and_then(|reading| reading.map.as_ref());
        self.census.list(now, map, names);
    }

    /// Returns whether nothing is left to be handed over. An owner without other members waits for
    /// one to join; how long, and whether one can, is for the caller to know.
    pub fn has_left(&self) -> bool {
        let mine = |part: &Part| part.owner.as_ref() == Some(&self.me);
        let owns = self.map().is_some_and(|map| map.parts.iter().any(mine));
        self.leaving && !owns && self.tenures.are_handed_over()
    }

    /// Returns whether this process may rely on owning its partitions now.
    pub fn is_valid(&self, now: Now) -> bool {
        self.trust.holds(now, &self.me, self.map())
    }

    /// Returns whether runs of `id` are permitted here now.
    pub fn serves(&self, now: Now, id: &Id) -> bool {
        let tenure = self.tenures.get(&id.partition());
        tenure.is_some_and(Tenure::serves) && self.is_valid(now)
    }

    /// Answers a question of a peer, or of this process itself.
    pub fn answer(&mut self, now: Now, ask: &Ask) -> Answer {
        self.table.expire(now.wall_ms);
        match ask {
            Ask::Collect { partitions } => self.collect(partitions),
            Ask::Confirm { version } => self.confirm(now, *version),
            Ask::Fence { version } => self.fence(now, *version),
            Ask::Finish { end, grant, id } => {
                self.table.finish(id, *grant, *end);
                Answer::Taken
            }
            Ask::Run { fingerprint, id, idempotent, runner } => {
                self.permit(now, id, *fingerprint, *idempotent, runner)
            }
            Ask::Settle { record } => self.settle(record),
            Ask::Witness { record } => {
                self.table.insert(record.clone());
                Answer::Taken
            }
        }
    }

    /// Takes a permission that was asked for at `sent`; returns whether the run may begin now. The
    /// record is held from then on.
    pub fn begin(&mut self, now: Now, sent: Instant, record: &Record) -> bool {
        let settled = self.table.get(&record.id).is_some_and(|held| {
            held.grant > record.grant || (held.grant == record.grant && held.end.is_some())
        });
        self.table.insert(record.clone());
        !settled && record.runner == self.me && now.at < sent + GRANT_LIMIT
    }

    /// Returns the other members, in an order that differs from key to key: witnesses.
    pub fn witnesses(&self, id: &Id) -> Vec<Member> {
        let others = self.map().into_iter().flat_map(|map| &map.members);
        let mut others: Vec<Member> = others.filter(|other| **other != self.me).cloned().collect();
        let turn = (id.hash >> 64) as usize % others.len().max(1);
        others.rotate_left(turn);
        others
    }

    /// Takes an event.
    pub fn take(&mut self, now: Now, event: Event) {
        match event {
            Event::Answered { answer, ask, from, sent, to } => {
                self.answered(now, &ask, answer, from, sent, &to);
            }
            Event::Committed { enter, sent, succeeded } => {
                self.store_busy = false;
                self.next.read = now.at;
                if enter && succeeded == Some(true) {
                    self.trust.enter();
                    self.renewed(sent);
                }
            }
            Event::Read(reading) => {
                self.store_busy = false;
                if let Some(reading) = reading {
                    self.read(now, reading);
                }
            }
            Event::Renewed { sent, succeeded } => {
                self.store_busy = false;
                match succeeded {
                    Some(true) => self.renewed(sent),
                    Some(false) => self.trust.forget_lease(),
                    None => {}
                }
            }
        }
    }

    /// Returns what to do now; to be called often.
    pub fn tick(&mut self, now: Now) -> Vec<Action> {
        self.table.expire(now.wall_ms);
        let started_ms = self.started_ms;
        self.tenures.end_collections(now, started_ms);
        let mut actions = self.questions(now);
        if !self.store_busy {
            let call = self.store_call(now);
            self.store_busy = call.is_some();
            actions.extend(call);
        }
        actions
    }

    fn answered(
        &mut self,
        now: Now,
        ask: &Ask,
        answer: Option<Answer>,
        from: Option<Member>,
        sent: Instant,
        to: &Name,
    ) {
        let Some(from) = from else { return };
        let map = self.reading.as_ref().and_then(|reading| reading.map.as_ref());
        self.census.note(map, &from, to);
        let version = self.map().map_or(0, |map| map.version);
        match (ask, answer) {
            (Ask::Confirm { version: asked }, Some(Answer::Confirmed)) if *asked == version => {
                self.trust.confirmed(from, sent);
            }
            (Ask::Fence { version: asked }, Some(Answer::Taken)) if *asked == version => {
                let member = self.map().is_some_and(|map| map.members.contains(&from));
                self.trust.promised |= member;
            }
            (_, Some(Answer::Declined { version: theirs })) if theirs > version => {
                self.next.read = self.next.read.min(now.at);
            }
            (
                Ask::Collect { partitions },
                Some(Answer::Collected { former, records, started_ms }),
            ) => {
                records.into_iter().for_each(|record| self.table.insert(record));
                self.tenures.collected(partitions, &from, sent, &former, started_ms);
            }
            _ => {}
        }
    }

    fn collect(&mut self, partitions: &BTreeSet<u16>) -> Answer {
        Answer::Collected {
            former: self.tenures.tell(partitions),
            records: self.table.of(partitions),
            started_ms: self.started_ms,
        }
    }

    fn confirm(&mut self, now: Now, version: u64) -> Answer {
        let known = self.map().map_or(0, |map| map.version);
        if version > known {
            self.next.read = self.next.read.min(now.at);
        }
        match version == known && !self.trust.is_fenced(version) {
            true => Answer::Confirmed,
            false => Answer::Declined { version: known },
        }
    }

    fn fence(&mut self, now: Now, version: u64) -> Answer {
        let known = self.map().map_or(0, |map| map.version);
        if version < known {
            return Answer::Declined { version: known };
        }
        self.trust.fence(now, version);
        Answer::Taken
    }

    fn permit(
        &mut self,
        now: Now,
        id: &Id,
        fingerprint: Fingerprint,
        idempotent: bool,
        runner: &Member,
    ) -> Answer {
        let known = self.map().is_some_and(|map| map.members.contains(runner));
        if !known || !self.serves(now, id) {
            return Answer::Unowned;
        }
        if id.is_from_future(now.wall_ms) {
            return Answer::Future;
        }
        let Some(tenure) = self.tenures.get(&id.partition()) else { return Answer::Unowned };
        match self.table.get(id) {
            Some(record) if record.fingerprint != fingerprint => return Answer::Mismatch,
            Some(record) if record.may_follow(idempotent) => {}
            Some(record) => return Answer::Repeated(record.clone()),
            None if idempotent || id.is_vouched(tenure.horizon_ms, now.wall_ms) => {}
            None => return Answer::Unvouched,
        }
        if self.table.len() >= MAX_RECORDS {
            return Answer::Unowned;
        }
        self.serial += 1;
        let grant = Grant { epoch: tenure.epoch, serial: self.serial };
        let record = Record {
            end: None,
            fingerprint,
            grant,
            granted_ms: now.wall_ms,
            id: *id,
            runner: runner.clone(),
        };
        self.table.insert(record.clone());
        Answer::Permitted(record)
    }

    /// Returns the questions that are due.
    fn questions(&mut self, now: Now) -> Vec<Action> {
        let mut actions = Vec::new();
        let Some(map) = self.map().cloned() else { return actions };
        let others: Vec<&Member> = map.members.iter().filter(|other| **other != self.me).collect();
        let renewed_lately = self.trust.is_renewed(now);
        let member = map.members.contains(&self.me);
        if member && !renewed_lately && now.at >= self.next.confirm {
            self.next.confirm = now.at + CONFIRM_INTERVAL;
            let ask = Ask::Confirm { version: map.version };
            actions.extend(others.iter().map(|to| Action::to(to, ask.clone())));
        }
        if now.at < self.next.ask {
            return actions;
        }
        self.next.ask = now.at + ASK_INTERVAL;
        if !member && !self.trust.promised {
            let ask = Ask::Fence { version: map.version };
            actions.extend(map.members.iter().map(|to| Action::to(to, ask.clone())));
        }
        actions.extend(self.tenures.questions());
        actions
    }

    fn read(&mut self, now: Now, reading: Reading) {
        let newer = match (self.map(), &reading.map) {
            (Some(held), Some(map)) if map.version < held.version => return,
            (Some(held), Some(map)) => map.version > held.version,
            (held, _) => held.is_none(),
        };
        let lapsed = self.trust.entered() && !reading.present.contains(&self.me);
        self.reading = Some(reading);
        if lapsed {
            self.trust.forget_lease();
        }
        if newer {
            self.census.clear();
            self.trust.clear();
        }
        if let Some(reading) = &self.reading {
            self.tenures.revise(now, &self.me, reading);
        }
    }

    fn renewed(&mut self, sent: Instant) {
        self.trust.renew(sent);
        self.next.renew = sent + RENEW_INTERVAL;
    }

    fn settle(&mut self, record: &Record) -> Answer {
        if record.runner != self.me {
            return Answer::Declined { version: self.map().map_or(0, |map| map.version) };
        }
        let held = self.table.get(&record.id).filter(|held| held.grant >= record.grant);
        if let Some(held) = held {
            return Answer::Repeated(held.clone());
        }
        let never = Record { end: Some(End::NotRun), ..record.clone() };
        self.table.insert(never.clone());
        Answer::Repeated(never)
    }

    /// Returns the most urgent call to the key-value service.
    fn store_call(&mut self, now: Now) -> Option<Action> {
        if now.at >= self.next.read {
            self.next.read = now.at + READ_INTERVAL;
            return Some(Action::Read);
        }
        let reading = self.reading.clone()?;
        if self.trust.entered() && now.at >= self.next.renew {
            self.next.renew = now.at + RENEW_INTERVAL / 3;
            return Some(Action::Renew);
        }
        self.change(now, reading).map(Action::Commit)
    }

    /// Returns the change of the map that is wanted.
    fn change(&mut self, now: Now, reading: Reading) -> Option<Change> {
        let Reading { map, modified, present } = reading;
        let keep =
            Change { absent: BTreeSet::new(), enter: !self.trust.entered(), map: None, modified };
        let Some(map) = map else {
            return Some(Change { map: Some(Map::first(&self.me)), ..keep });
        };
        if !map.members.contains(&self.me) {
            return self.join(now, map).map(|map| Change { map: Some(map), ..keep });
        }
        if !self.trust.entered() {
            return Some(keep);
        }
        let (next, absent) = self.next_map(now, &map, &present, modified);
        let stuck = self.trust.is_stuck(now, map.version);
        let changed = next != map || stuck;
        changed.then(|| {
            self.trust.fence(now, map.version);
            let map = Some(Map { version: map.version + 1, ..next });
            Change { absent, map, ..keep }
        })
    }

    /// Returns the map with this process as a member, once that may be written.
    fn join(&self, now: Now, mut map: Map) -> Option<Map> {
        let vanished = |member: &Member| self.census.has_vanished(now, &self.me, member);
        if self.leaving || !(self.trust.promised || map.members.iter().all(vanished)) {
            return None;
        }
        map.members.insert(self.me.clone());
        map.version += 1;
        Some(map)
    }

    /// Returns the map as it ought to be, and the members that it takes for lost.
    fn next_map(
        &mut self,
        now: Now,
        map: &Map,
        present: &BTreeSet<Member>,
        modified: i64,
    ) -> (Map, BTreeSet<Member>) {
        let lost = self.census.lost(now, map, present);
        let mut next = map.clone();
        if !lost.is_empty() {
            next.remove(&lost, now.wall_ms);
        }
        if self.leaving {
            next.leaving.insert(self.me.clone());
        }
        for partition in 0..next.parts.len() as u16 {
            let heir = next.heir(partition, present).cloned();
            let part = &mut next.parts[usize::from(partition)];
            let to_me = heir.as_ref() == Some(&self.me);
            if part.owner.is_none() && to_me {
                part.epoch += 1;
                part.owner = Some(self.me.clone());
                continue;
            }
            let to_other = part.owner.as_ref() == Some(&self.me) && heir.is_some() && !to_me;
            if to_other && self.tenures.give_up(partition, modified) {
                part.owner = None;
            }
        }
        (next, lost)
    }
}
