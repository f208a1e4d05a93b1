//! Ownership of partitions of the key space by entries, and the permission of keyed runs: the runs
//! of requests with an idempotency key.
//!
//! An owner may permit runs in its partitions while its lease in the key-value service is valid,
//! or, during an outage of that service, while every other member of the newest map that it knows
//! confirms that map. A change of the map first needs a member of the old version that agrees never
//! to confirm that version again (a fence). So only owners under the newest map can outlast their
//! lease, and a new owner has to wait only until the last confirmations have expired.
//!
//! Two members hold the record of a run before it begins: the owner, and the runner or a witness. A
//! new owner that has collected the records of all other members knows every run since its horizon.

use super::*;
use {
    key::{Fingerprint, Id, Now},
    key_authority::Authority,
    key_call::{Answer, Request},
    key_event::{Action, Change, Event, Reading},
    key_liveness::Liveness,
    key_map::{Map, Member, Part},
    key_ownership::Ownership,
    key_ownerships::Ownerships,
    key_record::{End, Grant, Record, Table},
};

/// Length of the lease of an entry's membership key.
pub const LEASE_TTL: Duration = Duration::from_secs(10);
/// How often the lease is renewed.
pub const RENEW_INTERVAL: Duration = Duration::from_secs(3);
/// How often the map is read.
pub const READ_INTERVAL: Duration = Duration::from_millis(1_000);
/// How often confirmations are requested while the lease can't be renewed.
pub const CONFIRM_INTERVAL: Duration = Duration::from_millis(250);
/// How long after the request for it a permitted run may begin.
pub const GRANT_VALIDITY: Duration = Duration::from_millis(1_000);
/// How long a new owner waits before it collects records. After this, earlier owners permit no runs
/// and no run that they permitted can begin.
pub const COLLECT_DELAY: Duration = Duration::from_millis(2_500);
/// How long a new owner waits for the records of all other members.
pub const COLLECT_TIMEOUT: Duration = Duration::from_millis(3_000);
/// How often an unanswered request is repeated.
pub const RETRY_INTERVAL: Duration = Duration::from_millis(500);
/// Maximum number of records that an entry holds.
pub const MAX_RECORDS: usize = 20_000;

/// Owns partitions of the key space for one entry, and permits the runs of their keys.
#[derive(Clone, Debug)]
pub struct Owner {
    liveness: Liveness,
    leaving: bool,
    me: Member,
    /// When each periodic action is due.
    next: Due,
    /// The newest values read from the key-value service.
    reading: Option<Reading>,
    /// Number of grants given.
    serial: u64,
    started_ms: u64,
    /// Whether a call to the key-value service is in progress.
    store_busy: bool,
    table: Table,
    ownerships: Ownerships,
    authority: Authority,
}

#[derive(Clone, Copy, Debug, Default)]
struct Due {
    request: Instant,
    confirm: Instant,
    read: Instant,
    renew: Instant,
}

impl Owner {
    /// Returns the owner for the process `me`, which starts at `now`.
    pub fn new(me: Member, now: Now) -> Self {
        Self {
            liveness: Liveness::default(),
            leaving: false,
            me,
            next: Due::default(),
            reading: None,
            serial: 0,
            started_ms: now.wall_ms,
            store_busy: false,
            table: Table::default(),
            ownerships: Ownerships::default(),
            authority: Authority::default(),
        }
    }

    /// Returns the own process as a member.
    pub fn me(&self) -> &Member {
        &self.me
    }

    /// Returns the newest map that was read.
    pub fn map(&self) -> Option<&Map> {
        self.reading.as_ref()?.map.as_ref()
    }

    /// Returns the record of a key.
    pub fn record(&self, id: &Id) -> Option<&Record> {
        self.table.get(id)
    }

    /// Starts to hand over every partition to other members.
    pub fn leave(&mut self) {
        self.leaving = true;
    }

    /// Updates the liveness of members from the names on the VM list.
    pub fn update_vm_list(&mut self, now: Now, names: &BTreeSet<Name>) {
        let map = self.reading.as_ref().and_then(|reading| reading.map.as_ref());
        self.liveness.update_vm_list(now, map, names);
    }

    /// Returns whether `leave` was called and every partition is handed over. An owner without
    /// other members waits for one to join; the caller decides whether one can, and how long to
    /// wait.
    pub fn has_left(&self) -> bool {
        let is_own = |part: &Part| part.owner.as_ref() == Some(&self.me);
        let owns = self.map().is_some_and(|map| map.parts.iter().any(is_own));
        self.leaving && !owns && self.ownerships.are_handed_over()
    }

    /// Returns whether this process may act as the owner of its partitions now.
    pub fn is_valid(&self, now: Now) -> bool {
        self.authority.is_valid(now, &self.me, self.map())
    }

    /// Returns whether runs of `id` are permitted here now.
    pub fn serves(&self, now: Now, id: &Id) -> bool {
        let ownership = self.ownerships.get(&id.partition());
        ownership.is_some_and(Ownership::serves) && self.is_valid(now)
    }

    /// Answers a request of a peer, or of this process itself.
    pub fn answer(&mut self, now: Now, request: &Request) -> Answer {
        self.table.expire(now.wall_ms);
        match request {
            Request::Collect { partitions } => self.collect(partitions),
            Request::Confirm { version } => self.confirm(now, *version),
            Request::Fence { version } => self.fence(now, *version),
            Request::Finish { end, grant, id } => {
                self.table.finish(id, *grant, *end);
                Answer::Taken
            }
            Request::Run { fingerprint, id, idempotent, runner } => {
                self.permit(now, id, *fingerprint, *idempotent, runner)
            }
            Request::Settle { record } => self.settle(record),
            Request::Witness { record } => {
                self.table.insert(record.clone());
                Answer::Taken
            }
        }
    }

    /// Stores the record of a grant that was requested at `sent`, and returns whether the run may
    /// begin now.
    pub fn begin(&mut self, now: Now, sent: Instant, record: &Record) -> bool {
        let superseded = self.table.get(&record.id).is_some_and(|held| {
            held.grant > record.grant || (held.grant == record.grant && held.end.is_some())
        });
        self.table.insert(record.clone());
        !superseded && record.runner == self.me && now.at < sent + GRANT_VALIDITY
    }

    /// Returns the other members as candidates for witnesses, in an order that depends on the key.
    pub fn witnesses(&self, id: &Id) -> Vec<Member> {
        let others = self.map().into_iter().flat_map(|map| &map.members);
        let mut others: Vec<Member> = others.filter(|other| **other != self.me).cloned().collect();
        let offset = (id.hash >> 64) as usize % others.len().max(1);
        others.rotate_left(offset);
        others
    }

    /// Handles an event.
    pub fn handle(&mut self, now: Now, event: Event) {
        match event {
            Event::Answered { answer, request, from, sent, to } => {
                self.on_answer(now, &request, answer, from, sent, &to);
            }
            Event::Committed { register, sent, succeeded } => {
                self.store_busy = false;
                self.next.read = now.at;
                if register && succeeded == Some(true) {
                    self.authority.register();
                    self.on_renewed(sent);
                }
            }
            Event::Read(reading) => {
                self.store_busy = false;
                if let Some(reading) = reading {
                    self.on_reading(now, reading);
                }
            }
            Event::Renewed { sent, succeeded } => {
                self.store_busy = false;
                match succeeded {
                    Some(true) => self.on_renewed(sent),
                    Some(false) => self.authority.lose_lease(),
                    None => {}
                }
            }
        }
    }

    /// Returns the actions that are due now. To be called often.
    pub fn tick(&mut self, now: Now) -> Vec<Action> {
        self.table.expire(now.wall_ms);
        let started_ms = self.started_ms;
        self.ownerships.end_collections(now, started_ms);
        let mut actions = self.requests(now);
        if !self.store_busy {
            let call = self.store_call(now);
            self.store_busy = call.is_some();
            actions.extend(call);
        }
        actions
    }

    fn on_answer(
        &mut self,
        now: Now,
        request: &Request,
        answer: Option<Answer>,
        from: Option<Member>,
        sent: Instant,
        to: &Name,
    ) {
        let Some(from) = from else { return };
        let map = self.reading.as_ref().and_then(|reading| reading.map.as_ref());
        self.liveness.record_answer(map, &from, to);
        let version = self.map().map_or(0, |map| map.version);
        match (request, answer) {
            (Request::Confirm { version: requested }, Some(Answer::Confirmed))
                if *requested == version =>
            {
                self.authority.record_confirmation(from, sent);
            }
            (Request::Fence { version: requested }, Some(Answer::Taken))
                if *requested == version =>
            {
                let is_member = self.map().is_some_and(|map| map.members.contains(&from));
                self.authority.fence_acknowledged |= is_member;
            }
            (_, Some(Answer::Declined { version: theirs })) if theirs > version => {
                self.next.read = self.next.read.min(now.at);
            }
            (
                Request::Collect { partitions },
                Some(Answer::Collected { former, records, started_ms }),
            ) => {
                records.into_iter().for_each(|record| self.table.insert(record));
                self.ownerships.record_collected(partitions, &from, sent, &former, started_ms);
            }
            _ => {}
        }
    }

    fn collect(&mut self, partitions: &BTreeSet<u16>) -> Answer {
        Answer::Collected {
            former: self.ownerships.report_released(partitions),
            records: self.table.in_partitions(partitions),
            started_ms: self.started_ms,
        }
    }

    fn confirm(&mut self, now: Now, version: u64) -> Answer {
        let known = self.map().map_or(0, |map| map.version);
        if version > known {
            self.next.read = self.next.read.min(now.at);
        }
        match version == known && !self.authority.is_fenced(version) {
            true => Answer::Confirmed,
            false => Answer::Declined { version: known },
        }
    }

    fn fence(&mut self, now: Now, version: u64) -> Answer {
        let known = self.map().map_or(0, |map| map.version);
        if version < known {
            return Answer::Declined { version: known };
        }
        self.authority.fence(now, version);
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
        let is_member = self.map().is_some_and(|map| map.members.contains(runner));
        if !is_member || !self.serves(now, id) {
            return Answer::Unowned;
        }
        if id.is_from_future(now.wall_ms) {
            return Answer::Future;
        }
        let Some(ownership) = self.ownerships.get(&id.partition()) else { return Answer::Unowned };
        match self.table.get(id) {
            Some(record) if record.fingerprint != fingerprint => return Answer::Mismatch,
            Some(record) if record.allows_rerun(idempotent) => {}
            Some(record) => return Answer::Repeated(record.clone()),
            None if idempotent || id.rules_out_earlier_run(ownership.horizon_ms, now.wall_ms) => {}
            None => return Answer::Unvouched,
        }
        if self.table.len() >= MAX_RECORDS {
            return Answer::Unowned;
        }
        self.serial += 1;
        let grant = Grant { epoch: ownership.epoch, serial: self.serial };
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

    /// Returns the requests to peers that are due.
    fn requests(&mut self, now: Now) -> Vec<Action> {
        let mut actions = Vec::new();
        let Some(map) = self.map().cloned() else { return actions };
        let others: Vec<&Member> = map.members.iter().filter(|other| **other != self.me).collect();
        let recently_renewed = self.authority.is_recently_renewed(now);
        let is_member = map.members.contains(&self.me);
        if is_member && !recently_renewed && now.at >= self.next.confirm {
            self.next.confirm = now.at + CONFIRM_INTERVAL;
            let request = Request::Confirm { version: map.version };
            actions.extend(others.iter().map(|to| Action::send_to(to, request.clone())));
        }
        if now.at < self.next.request {
            return actions;
        }
        self.next.request = now.at + RETRY_INTERVAL;
        if !is_member && !self.authority.fence_acknowledged {
            let request = Request::Fence { version: map.version };
            actions.extend(map.members.iter().map(|to| Action::send_to(to, request.clone())));
        }
        actions.extend(self.ownerships.requests());
        actions
    }

    fn on_reading(&mut self, now: Now, reading: Reading) {
        let newer = match (self.map(), &reading.map) {
            (Some(held), Some(map)) if map.version < held.version => return,
            (Some(held), Some(map)) => map.version > held.version,
            (held, _) => held.is_none(),
        };
        let lapsed = self.authority.registered() && !reading.present.contains(&self.me);
        self.reading = Some(reading);
        if lapsed {
            self.authority.lose_lease();
        }
        if newer {
            self.liveness.clear();
            self.authority.clear();
        }
        if let Some(reading) = &self.reading {
            self.ownerships.update(now, &self.me, reading);
        }
    }

    fn on_renewed(&mut self, sent: Instant) {
        self.authority.renew(sent);
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
        let not_run = Record { end: Some(End::NotRun), ..record.clone() };
        self.table.insert(not_run.clone());
        Answer::Repeated(not_run)
    }

    /// Returns the most urgent call to the key-value service.
    fn store_call(&mut self, now: Now) -> Option<Action> {
        if now.at >= self.next.read {
            self.next.read = now.at + READ_INTERVAL;
            return Some(Action::Read);
        }
        let reading = self.reading.clone()?;
        if self.authority.registered() && now.at >= self.next.renew {
            self.next.renew = now.at + RENEW_INTERVAL / 3;
            return Some(Action::Renew);
        }
        self.next_change(now, reading).map(Action::Commit)
    }

    /// Returns the change that the map or the own membership needs.
    fn next_change(&mut self, now: Now, reading: Reading) -> Option<Change> {
        let Reading { map, modified, present } = reading;
        let base = Change {
            absent: BTreeSet::new(),
            register: !self.authority.registered(),
            map: None,
            modified,
        };
        let Some(map) = map else {
            return Some(Change { map: Some(Map::first(&self.me)), ..base });
        };
        if !map.members.contains(&self.me) {
            return self.join(now, map).map(|map| Change { map: Some(map), ..base });
        }
        if !self.authority.registered() {
            return Some(base);
        }
        let (next, absent) = self.next_map(now, &map, &present, modified);
        let fence_expired = self.authority.is_fence_expired(now, map.version);
        let changed = next != map || fence_expired;
        changed.then(|| {
            self.authority.fence(now, map.version);
            let map = Some(Map { version: map.version + 1, ..next });
            Change { absent, map, ..base }
        })
    }

    /// Returns the map with this process as a member, once a member has acknowledged the fence or
    /// all members are gone.
    fn join(&self, now: Now, mut map: Map) -> Option<Map> {
        let is_gone = |member: &Member| self.liveness.is_gone(now, &self.me, member);
        if self.leaving || !(self.authority.fence_acknowledged || map.members.iter().all(is_gone)) {
            return None;
        }
        map.members.insert(self.me.clone());
        map.version += 1;
        Some(map)
    }

    /// Returns the map with the changes that are due, and the members that it removes as lost.
    fn next_map(
        &mut self,
        now: Now,
        map: &Map,
        present: &BTreeSet<Member>,
        modified: i64,
    ) -> (Map, BTreeSet<Member>) {
        let lost = self.liveness.lost(now, map, present);
        let mut next = map.clone();
        if !lost.is_empty() {
            next.remove(&lost, now.wall_ms);
        }
        if self.leaving {
            next.leaving.insert(self.me.clone());
        }
        for partition in 0..next.parts.len() as u16 {
            let preferred = next.preferred_owner(partition, present).cloned();
            let part = &mut next.parts[usize::from(partition)];
            let to_self = preferred.as_ref() == Some(&self.me);
            if part.owner.is_none() && to_self {
                part.epoch += 1;
                part.owner = Some(self.me.clone());
                continue;
            }
            let to_other = part.owner.as_ref() == Some(&self.me) && preferred.is_some() && !to_self;
            if to_other && self.ownerships.release(partition, modified) {
                part.owner = None;
            }
        }
        (next, lost)
    }
}
