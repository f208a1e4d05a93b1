//! A simulation of the key owners of several entries in virtual time, with a key-value service, a
//! network, callers and faults. It is deterministic for each seed.

use {
    oleanderstage_core::{
        Instant, Name,
        key::{Fingerprint, Id, Now},
        key_call::{Answer, Request},
        key_event::{Action, Change, Event, Reading},
        key_map::{Map, Member},
        key_owner::{LEASE_TTL, Owner},
        key_record::{End, Grant, Record},
    },
    rand::{Rng, SeedableRng},
    rand_pcg::Pcg64Mcg,
    std::collections::{BTreeMap, BTreeSet},
};

/// One millisecond of virtual time, which is in microseconds.
const MS: u64 = 1_000;
/// Interval of an owner's ticks.
const TICK: u64 = 100 * MS;
/// Timeout of a call to another entry or to the key-value service.
const CALL_TIMEOUT: u64 = 300 * MS;
/// Virtual time at the start, in microseconds; above 0 so that clocks can be behind it.
const START: u64 = 100_000 * MS;

/// A fleet of entries, the key-value service, and the callers.
pub(crate) struct Fleet {
    /// Requests answered, by their own run or an earlier one.
    pub(crate) answered: u32,
    /// Runs that began, by key.
    pub(crate) runs: BTreeMap<u128, Vec<Run>>,
    /// Requests refused or with an unknown result.
    pub(crate) rejected: u32,
    cuts: Vec<Cut>,
    entries: Vec<Entry>,
    keys: Vec<Key>,
    map: Option<(Map, i64)>,
    leases: BTreeMap<Member, u64>,
    /// Until when the key-value service is unavailable to everyone.
    outage_until: u64,
    queue: BTreeMap<(u64, u64), Step>,
    random: Pcg64Mcg,
    serial: u64,
    time: u64,
}

/// A run that began.
#[derive(Debug)]
#[expect(dead_code, reason = "printed when a key ran twice")]
pub(crate) struct Run {
    pub(crate) entry: usize,
    pub(crate) grant: Grant,
    pub(crate) time: u64,
}

struct Entry {
    /// Thousandths of a percent by which its monotonic clock is fast.
    drift: i64,
    /// Until when it can't reach the key-value service.
    cut_until: u64,
    dead_until: Option<u64>,
    leaving: bool,
    owner: Owner,
    paused_until: u64,
    /// Milliseconds by which its wall clock is ahead.
    skew: i64,
}

struct Cut {
    between: (usize, usize),
    until: u64,
}

#[derive(Clone, Copy)]
struct Key {
    fingerprint: Fingerprint,
    id: Id,
}

enum Step {
    Deliver(Message),
    Answer(Message, Option<(Member, Answer)>),
    /// A call reaches the key-value service; the answer to a late one is dropped.
    Store {
        action: Action,
        entry: usize,
        incarnation: u64,
        late: bool,
        sent: u64,
    },
    StoreReturn {
        entry: usize,
        event: Event,
        incarnation: u64,
    },
    Tick(usize),
    Request {
        entry: usize,
        key: Key,
    },
    RunEnd {
        end: End,
        entry: usize,
        record: Record,
        copy_holder: Option<Name>,
    },
    Fault,
    NewKey,
}

struct Message {
    request: Request,
    from: usize,
    incarnation: u64,
    purpose: Purpose,
    sent: u64,
    to: Name,
}

#[derive(Clone)]
enum Purpose {
    /// A request from the owner's own `tick`.
    Own,
    /// The answer decides a caller's request.
    Caller,
    /// The answer lets a run begin that needs a witness.
    Witness(Record),
    /// The runner's record is to be forwarded to the owner.
    Settle { owner: Name },
    /// The answer is ignored.
    OneWay,
}

/// Whether faults are injected.
#[derive(Clone, Copy)]
pub(crate) enum Conditions {
    NoFaults,
    Faults,
}

impl Fleet {
    pub(crate) fn new(seed: u64, count: usize, conditions: Conditions) -> Self {
        let mut fleet = Self {
            answered: 0,
            cuts: vec![],
            entries: vec![],
            keys: vec![],
            leases: BTreeMap::new(),
            map: None,
            outage_until: 0,
            queue: BTreeMap::new(),
            random: Pcg64Mcg::seed_from_u64(seed),
            runs: BTreeMap::new(),
            serial: 0,
            time: START,
            rejected: 0,
        };
        for index in 0..count {
            let drift = fleet.random.random_range(-1_000..=1_000);
            let skew = fleet.random.random_range(-2_000..=2_000);
            let owner = Owner::new(fleet.member(index), Now::default());
            let mut entry = Entry {
                cut_until: 0,
                dead_until: None,
                drift,
                leaving: false,
                owner,
                paused_until: 0,
                skew,
            };
            entry.owner = Owner::new(entry.owner.me().clone(), entry.now(START));
            fleet.entries.push(entry);
            fleet.schedule(index as u64 * 7 * MS, Step::Tick(index));
        }
        fleet.schedule(8_000 * MS, Step::NewKey);
        if matches!(conditions, Conditions::Faults) {
            fleet.schedule(9_000 * MS, Step::Fault);
        }
        fleet
    }

    /// Lets `seconds` pass.
    pub(crate) fn run(&mut self, seconds: u64) {
        let until = START + seconds * 1_000 * MS;
        while let Some(((time, _), step)) = self.queue.pop_first() {
            if time > until {
                return;
            }
            self.time = time;
            self.step(step);
        }
    }

    /// Returns the keys that ran more than once.
    pub(crate) fn keys_run_twice(&self) -> Vec<&Vec<Run>> {
        self.runs.values().filter(|runs| runs.len() > 1).collect()
    }

    fn schedule(&mut self, delay: u64, step: Step) {
        self.serial += 1;
        self.queue.insert((self.time + delay, self.serial), step);
    }

    /// Returns a random time in microseconds, between two limits in milliseconds.
    fn random_delay(&mut self, low_ms: u64, high_ms: u64) -> u64 {
        self.random.random_range(low_ms * MS..=high_ms * MS)
    }

    fn chance(&mut self, percent: u32) -> bool {
        self.random.random_range(0..100) < percent
    }

    fn member(&mut self, index: usize) -> Member {
        self.serial += 1;
        Member { incarnation: self.serial, name: name(index) }
    }

    fn is_cut(&self, a: usize, b: usize) -> bool {
        let pair = (a.min(b), a.max(b));
        self.cuts.iter().any(|cut| cut.between == pair && cut.until > self.time)
    }

    fn now(&self, entry: usize) -> Now {
        self.entries[entry].now(self.time)
    }

    fn step(&mut self, step: Step) {
        match step {
            Step::Deliver(message) => self.deliver(message),
            Step::Fault => self.fault(),
            Step::NewKey => self.new_key(),
            Step::Request { entry, key } => self.request(entry, key),
            Step::Answer(message, answer) => self.on_answer(message, answer),
            Step::RunEnd { end, entry, record, copy_holder } => {
                self.run_end(entry, end, record, copy_holder);
            }
            Step::Store { action, entry, incarnation, late, sent } => {
                self.store(entry, incarnation, action, sent, late);
            }
            Step::StoreReturn { entry, event, incarnation } => {
                if let Some(wait) = self.entries[entry].pause_left(self.time) {
                    return self.schedule(wait, Step::StoreReturn { entry, event, incarnation });
                }
                if self.entries[entry].owner.me().incarnation == incarnation {
                    let now = self.now(entry);
                    self.entries[entry].owner.handle(now, event);
                }
            }
            Step::Tick(entry) => self.tick(entry),
        }
    }

    fn tick(&mut self, index: usize) {
        if let Some(until) = self.entries[index].dead_until {
            if until > self.time {
                return self.schedule(until - self.time, Step::Tick(index));
            }
            let member = self.member(index);
            let now = self.now(index);
            let entry = &mut self.entries[index];
            entry.dead_until = None;
            entry.leaving = false;
            entry.owner = Owner::new(member, now);
        }
        if let Some(wait) = self.entries[index].pause_left(self.time) {
            return self.schedule(wait, Step::Tick(index));
        }
        let now = self.now(index);
        for action in self.entries[index].owner.tick(now) {
            match action {
                Action::Send { request, to } => self.send(index, request, to, Purpose::Own),
                other => self.call_store(index, other),
            }
        }
        if self.entries[index].leaving && self.entries[index].owner.has_left() && self.chance(20) {
            self.kill(index, 100, 2_000);
        }
        self.schedule(TICK, Step::Tick(index));
    }

    fn send(&mut self, from: usize, request: Request, to: Name, purpose: Purpose) {
        let incarnation = self.entries[from].owner.me().incarnation;
        let message = Message { request, from, incarnation, purpose, sent: self.time, to };
        let delay = self.random_delay(1, 20);
        self.schedule(delay, Step::Deliver(message));
    }

    fn deliver(&mut self, message: Message) {
        let index = self.index(&message.to);
        let lost = self.is_cut(message.from, index) || self.chance(2);
        if lost || self.entries[index].dead_until.is_some() {
            let delay = (message.sent + CALL_TIMEOUT).saturating_sub(self.time);
            return self.schedule(delay, Step::Answer(message, None));
        }
        if let Some(wait) = self.entries[index].pause_left(self.time) {
            return self.schedule(wait, Step::Deliver(message));
        }
        let now = self.now(index);
        let answer = self.entries[index].owner.answer(now, &message.request);
        let from = self.entries[index].owner.me().clone();
        let lost = self.is_cut(message.from, index) || self.chance(2);
        let delay = self.random_delay(1, 20);
        self.schedule(delay, Step::Answer(message, (!lost).then_some((from, answer))));
    }

    fn on_answer(&mut self, message: Message, answer: Option<(Member, Answer)>) {
        let index = message.from;
        if let Some(wait) = self.entries[index].pause_left(self.time) {
            return self.schedule(wait, Step::Answer(message, answer));
        }
        if self.entries[index].owner.me().incarnation != message.incarnation
            || self.entries[index].dead_until.is_some()
        {
            return;
        }
        let now = self.now(index);
        let sent = self.entries[index].now(message.sent).at;
        let (from, answer) = match answer {
            Some((from, answer)) => (Some(from), Some(answer)),
            None => (None, None),
        };
        match message.purpose {
            Purpose::OneWay => {}
            Purpose::Own => {
                let (request, to) = (message.request, message.to);
                let event = Event::Answered { answer, request, from, sent, to };
                self.entries[index].owner.handle(now, event);
            }
            Purpose::Caller => self.on_run_answer(index, answer, message.to, sent),
            Purpose::Witness(record) => {
                let held = matches!(answer, Some(Answer::Taken));
                let listed = self.entries[index].owner.map().cloned();
                let known =
                    from.is_some_and(|from| listed.is_some_and(|map| map.members.contains(&from)));
                self.begin(index, record, sent, held && known, Some(message.to));
            }
            Purpose::Settle { owner } => {
                if let Some(Answer::Repeated(record)) = answer
                    && let Some(end) = record.end
                {
                    let request = Request::Finish { end, grant: record.grant, id: record.id };
                    self.send(index, request, owner, Purpose::OneWay);
                }
            }
        }
    }

    fn request(&mut self, index: usize, key: Key) {
        if self.entries[index].dead_until.is_some() {
            return;
        }
        if let Some(wait) = self.entries[index].pause_left(self.time) {
            return self.schedule(wait, Step::Request { entry: index, key });
        }
        let owner = &self.entries[index].owner;
        let found = owner.map().and_then(|map| map.owner(key.id.partition()));
        let Some(found) = found.cloned() else {
            self.rejected += 1;
            return;
        };
        let request = Request::Run {
            fingerprint: key.fingerprint,
            id: key.id,
            idempotent: false,
            runner: owner.me().clone(),
        };
        if found != *owner.me() {
            return self.send(index, request, found.name, Purpose::Caller);
        }
        let now = self.now(index);
        let answer = self.entries[index].owner.answer(now, &request);
        self.on_run_answer(index, Some(answer), found.name, now.at);
    }

    fn on_run_answer(&mut self, index: usize, answer: Option<Answer>, owner: Name, sent: Instant) {
        match answer {
            Some(Answer::Permitted(record)) if owner == name(index) => {
                let witnesses = self.entries[index].owner.witnesses(&record.id);
                match witnesses.first() {
                    None => self.begin(index, record, sent, true, None),
                    Some(witness) => {
                        let request = Request::Witness { record: record.clone() };
                        self.send(index, request, witness.name.clone(), Purpose::Witness(record));
                    }
                }
            }
            Some(Answer::Permitted(record)) => self.begin(index, record, sent, true, Some(owner)),
            Some(Answer::Repeated(record)) if record.end == Some(End::Answered) => {
                self.answered += 1;
            }
            Some(Answer::Repeated(record)) if record.end.is_none() => {
                let runner = record.runner.name.clone();
                self.send(index, Request::Settle { record }, runner, Purpose::Settle { owner });
            }
            _ => self.rejected += 1,
        }
    }

    /// Begins a run, if it still may. `copy_held` says whether another member holds its record, or
    /// there is none to hold it.
    fn begin(
        &mut self,
        index: usize,
        record: Record,
        sent: Instant,
        copy_held: bool,
        copy_holder: Option<Name>,
    ) {
        let now = self.now(index);
        let may_begin = self.entries[index].owner.begin(now, sent, &record) && copy_held;
        let end = match self.random.random_range(0..10) {
            _ if !may_begin => End::NotRun,
            0 => End::NotRun,
            1 => End::Unknown,
            _ => End::Answered,
        };
        if end != End::NotRun {
            let run = Run { entry: index, grant: record.grant, time: (self.time - START) / MS };
            self.runs.entry(record.id.hash).or_default().push(run);
        }
        let delay = if may_begin { self.random_delay(5, 3_000) } else { 0 };
        self.schedule(delay, Step::RunEnd { end, entry: index, record, copy_holder });
    }

    fn run_end(&mut self, index: usize, end: End, record: Record, copy_holder: Option<Name>) {
        if self.entries[index].owner.me() != &record.runner {
            return;
        }
        if let Some(wait) = self.entries[index].pause_left(self.time) {
            return self.schedule(wait, Step::RunEnd { end, entry: index, record, copy_holder });
        }
        let now = self.now(index);
        let request = Request::Finish { end, grant: record.grant, id: record.id };
        self.entries[index].owner.answer(now, &request);
        match end {
            End::Answered => self.answered += 1,
            End::NotRun | End::Unknown => self.rejected += 1,
        }
        if let Some(copy_holder) = copy_holder {
            self.send(index, request, copy_holder, Purpose::OneWay);
        }
    }

    fn new_key(&mut self) {
        let text = match self.chance(50) {
            true => format!("opaque-{}", self.serial),
            false => {
                let minted = (self.time / MS) as i64 + self.random.random_range(-4_000..=4_000);
                let value = (minted as u128) << 80 | 7 << 76 | 2 << 62 | u128::from(self.serial);
                uuid(value)
            }
        };
        let id = Id::new("caller", &Name::try_from("site").unwrap(), &text);
        let key = Key { fingerprint: Fingerprint(id.hash), id };
        self.keys.push(key);
        for _ in 0..5 {
            let delay = self.random_delay(0, 15_000);
            let entry = self.random.random_range(0..self.entries.len());
            self.schedule(delay, Step::Request { entry, key });
        }
        let delay = self.random_delay(50, 400);
        self.schedule(delay, Step::NewKey);
    }

    fn fault(&mut self) {
        let index = self.random.random_range(0..self.entries.len());
        let other = self.random.random_range(0..self.entries.len());
        let length = self.random_delay(200, 20_000);
        match self.random.random_range(0..8) {
            0 => self.kill(index, 100, 20_000),
            1 | 2 => self.entries[index].paused_until = self.time + length,
            3 | 4 => {
                let between = (index.min(other), index.max(other));
                self.cuts.push(Cut { between, until: self.time + length });
            }
            5 => self.entries[index].cut_until = self.time + length,
            6 => self.outage_until = self.time + length * 2,
            _ => {
                self.entries[index].leaving = true;
                self.entries[index].owner.leave();
            }
        }
        let delay = self.random_delay(500, 14_000);
        self.schedule(delay, Step::Fault);
    }

    fn kill(&mut self, index: usize, low_ms: u64, high_ms: u64) {
        let until = self.time + self.random_delay(low_ms, high_ms);
        self.entries[index].dead_until = Some(until);
    }

    fn call_store(&mut self, entry: usize, action: Action) {
        let incarnation = self.entries[entry].owner.me().incarnation;
        let sent = self.time;
        let delay = self.random_delay(1, 10);
        let reach = self.outage_until <= self.time && self.entries[entry].cut_until <= self.time;
        if reach && !self.chance(3) {
            return self
                .schedule(delay, Step::Store { action, entry, incarnation, late: false, sent });
        }
        // The call fails, but half of the time it takes effect later.
        let event = unknown_result(&action, self.entries[entry].now(sent).at);
        self.schedule(CALL_TIMEOUT, Step::StoreReturn { entry, event, incarnation });
        if reach && self.chance(50) {
            let delay = self.random_delay(1, 3_000);
            self.schedule(delay, Step::Store { action, entry, incarnation, late: true, sent });
        }
    }

    fn store(&mut self, entry: usize, incarnation: u64, action: Action, sent: u64, late: bool) {
        let me = Member { incarnation, name: name(entry) };
        let time = self.time;
        self.leases.retain(|_, until| *until > time);
        let at = self.entries[entry].now(sent).at;
        let length = LEASE_TTL.as_micros() as u64;
        let event = match action {
            Action::Send { .. } => return,
            Action::Commit(change) => {
                let succeeded = self.commit(&me, &change, length);
                Event::Committed { register: change.register, sent: at, succeeded: Some(succeeded) }
            }
            Action::Read => Event::Read(Some(Reading {
                map: self.map.as_ref().map(|(map, _)| map.clone()),
                modified: self.map.as_ref().map_or(0, |(_, modified)| *modified),
                present: self.leases.keys().cloned().collect::<BTreeSet<_>>(),
            })),
            Action::Renew => {
                let held = self.leases.get_mut(&me);
                let succeeded = held.map(|until| *until = time + length).is_some();
                Event::Renewed { sent: at, succeeded: Some(succeeded) }
            }
        };
        if !late {
            let delay = self.random_delay(1, 10);
            self.schedule(delay, Step::StoreReturn { entry, event, incarnation });
        }
    }

    fn commit(&mut self, me: &Member, change: &Change, length: u64) -> bool {
        let modified = self.map.as_ref().map_or(0, |(_, modified)| *modified);
        let absent = change.absent.iter().all(|member| !self.leases.contains_key(member));
        if modified != change.modified || !absent {
            return false;
        }
        if let Some(map) = &change.map {
            self.serial += 1;
            self.map = Some((map.clone(), self.serial as i64));
        }
        if change.register {
            self.leases.insert(me.clone(), self.time + length);
        }
        true
    }

    fn index(&self, entry: &Name) -> usize {
        entry.as_str().rsplit('-').next().unwrap().parse().unwrap()
    }
}

impl Entry {
    fn now(&self, time: u64) -> Now {
        let drifted = time as i64 + (time as i64 - START as i64) * self.drift / 100_000;
        let wall_ms = (time / MS) as i64 + self.skew;
        Now { at: Instant(drifted as u64), wall_ms: wall_ms as u64 }
    }

    /// Returns the remaining time of its pause.
    fn pause_left(&self, time: u64) -> Option<u64> {
        (self.paused_until > time).then(|| self.paused_until - time)
    }
}

fn name(index: usize) -> Name {
    Name::try_from(format!("entry-{index}")).unwrap()
}

/// Returns the event for a call to the key-value service whose result is unknown.
fn unknown_result(action: &Action, sent: Instant) -> Event {
    match action {
        Action::Commit(change) => {
            Event::Committed { register: change.register, sent, succeeded: None }
        }
        Action::Renew => Event::Renewed { sent, succeeded: None },
        Action::Send { .. } | Action::Read => Event::Read(None),
    }
}

fn uuid(value: u128) -> String {
    let text = format!("{value:032x}");
    let parts = [&text[..8], &text[8..12], &text[12..16], &text[16..20], &text[20..]];
    parts.join("-")
}
