//! Several entries' key owners in virtual time, with a key-value service, a network, callers and
//! faults. Everything follows from one seed.

use {
    oleanderstage_core::{
        Instant, Name,
        key::{Fingerprint, Id, Now},
        key_call::{Answer, Ask},
        key_event::{Action, Change, Event, Reading},
        key_map::{Map, Member},
        key_owner::{LEASE, Owner},
        key_record::{End, Grant, Record},
    },
    rand::{Rng, SeedableRng},
    rand_pcg::Pcg64Mcg,
    std::collections::{BTreeMap, BTreeSet},
};

const MS: u64 = 1_000;
const TICK: u64 = 100 * MS;
const CALL_LIMIT: u64 = 300 * MS;
/// Virtual time at the start, so that clocks can be apart.
const START: u64 = 100_000 * MS;

/// A fleet of entries, the platform, and the callers.
pub(crate) struct Fleet {
    /// Requests answered by the first or a joined run.
    pub(crate) answered: u32,
    /// Runs that began, by key.
    pub(crate) runs: BTreeMap<u128, Vec<Run>>,
    /// Requests refused or unknown.
    pub(crate) turned_away: u32,
    cuts: Vec<Cut>,
    entries: Vec<Entry>,
    keys: Vec<Key>,
    map: Option<(Map, i64)>,
    leases: BTreeMap<Member, u64>,
    /// Until when the key-value service answers nobody.
    outage_until: u64,
    queue: BTreeMap<(u64, u64), Step>,
    random: Pcg64Mcg,
    serial: u64,
    time: u64,
}

/// A run that began.
#[derive(Debug)]
#[expect(dead_code, reason = "shown when a key ran twice")]
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
    Deliver(Letter),
    Return(Letter, Option<(Member, Answer)>),
    /// A call reaches the key-value service; nobody waits for a late one's answer.
    Store {
        change: Action,
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
        second: Option<Name>,
    },
    Fault,
    NewKey,
}

struct Letter {
    ask: Ask,
    from: usize,
    incarnation: u64,
    purpose: Purpose,
    sent: u64,
    to: Name,
}

#[derive(Clone)]
enum Purpose {
    /// The owner's own question.
    Own,
    /// A caller's request waits for the answer.
    Caller,
    /// A run waits for its witness.
    Witness(Record),
    /// The owner is to learn how the runner stands.
    Settle { owner: Name },
    /// Nobody waits.
    Notice,
}

/// Which faults come.
#[derive(Clone, Copy)]
pub(crate) enum Weather {
    Calm,
    Faults,
}

impl Fleet {
    pub(crate) fn new(seed: u64, count: usize, weather: Weather) -> Self {
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
            turned_away: 0,
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
            fleet.after(index as u64 * 7 * MS, Step::Tick(index));
        }
        fleet.after(8_000 * MS, Step::NewKey);
        if matches!(weather, Weather::Faults) {
            fleet.after(9_000 * MS, Step::Fault);
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
    pub(crate) fn doubled(&self) -> Vec<&Vec<Run>> {
        self.runs.values().filter(|runs| runs.len() > 1).collect()
    }

    fn after(&mut self, delay: u64, step: Step) {
        self.serial += 1;
        self.queue.insert((self.time + delay, self.serial), step);
    }

    fn between(&mut self, low: u64, high: u64) -> u64 {
        self.random.random_range(low * MS..=high * MS)
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
            Step::Deliver(letter) => self.deliver(letter),
            Step::Fault => self.fault(),
            Step::NewKey => self.new_key(),
            Step::Request { entry, key } => self.request(entry, key),
            Step::Return(letter, answer) => self.returned(letter, answer),
            Step::RunEnd { end, entry, record, second } => {
                self.run_end(entry, end, record, second);
            }
            Step::Store { change, entry, incarnation, late, sent } => {
                self.store(entry, incarnation, change, sent, late);
            }
            Step::StoreReturn { entry, event, incarnation } => {
                if let Some(wait) = self.entries[entry].wait(self.time) {
                    return self.after(wait, Step::StoreReturn { entry, event, incarnation });
                }
                if self.entries[entry].owner.me().incarnation == incarnation {
                    let now = self.now(entry);
                    self.entries[entry].owner.take(now, event);
                }
            }
            Step::Tick(entry) => self.tick(entry),
        }
    }

    fn tick(&mut self, index: usize) {
        if let Some(until) = self.entries[index].dead_until {
            if until > self.time {
                return self.after(until - self.time, Step::Tick(index));
            }
            let member = self.member(index);
            let now = self.now(index);
            let entry = &mut self.entries[index];
            entry.dead_until = None;
            entry.leaving = false;
            entry.owner = Owner::new(member, now);
        }
        if let Some(wait) = self.entries[index].wait(self.time) {
            return self.after(wait, Step::Tick(index));
        }
        let now = self.now(index);
        for action in self.entries[index].owner.tick(now) {
            match action {
                Action::Ask { ask, to } => self.ask(index, ask, to, Purpose::Own),
                other => self.call_store(index, other),
            }
        }
        if self.entries[index].leaving && self.entries[index].owner.has_left() && self.chance(20) {
            self.kill(index, 100, 2_000);
        }
        self.after(TICK, Step::Tick(index));
    }

    fn ask(&mut self, from: usize, ask: Ask, to: Name, purpose: Purpose) {
        let incarnation = self.entries[from].owner.me().incarnation;
        let letter = Letter { ask, from, incarnation, purpose, sent: self.time, to };
        let delay = self.between(1, 20);
        self.after(delay, Step::Deliver(letter));
    }

    fn deliver(&mut self, letter: Letter) {
        let index = self.index(&letter.to);
        let lost = self.is_cut(letter.from, index) || self.chance(2);
        if lost || self.entries[index].dead_until.is_some() {
            let delay = (letter.sent + CALL_LIMIT).saturating_sub(self.time);
            return self.after(delay, Step::Return(letter, None));
        }
        if let Some(wait) = self.entries[index].wait(self.time) {
            return self.after(wait, Step::Deliver(letter));
        }
        let now = self.now(index);
        let answer = self.entries[index].owner.answer(now, &letter.ask);
        let from = self.entries[index].owner.me().clone();
        let lost = self.is_cut(letter.from, index) || self.chance(2);
        let delay = self.between(1, 20);
        self.after(delay, Step::Return(letter, (!lost).then_some((from, answer))));
    }

    fn returned(&mut self, letter: Letter, answer: Option<(Member, Answer)>) {
        let index = letter.from;
        if let Some(wait) = self.entries[index].wait(self.time) {
            return self.after(wait, Step::Return(letter, answer));
        }
        if self.entries[index].owner.me().incarnation != letter.incarnation
            || self.entries[index].dead_until.is_some()
        {
            return;
        }
        let now = self.now(index);
        let sent = self.entries[index].now(letter.sent).at;
        let (from, answer) = match answer {
            Some((from, answer)) => (Some(from), Some(answer)),
            None => (None, None),
        };
        match letter.purpose {
            Purpose::Notice => {}
            Purpose::Own => {
                let (ask, to) = (letter.ask, letter.to);
                let event = Event::Answered { answer, ask, from, sent, to };
                self.entries[index].owner.take(now, event);
            }
            Purpose::Caller => self.permitted(index, answer, letter.to, sent),
            Purpose::Witness(record) => {
                let held = matches!(answer, Some(Answer::Taken));
                let listed = self.entries[index].owner.map().cloned();
                let known =
                    from.is_some_and(|from| listed.is_some_and(|map| map.members.contains(&from)));
                self.begin(index, record, sent, held && known, Some(letter.to));
            }
            Purpose::Settle { owner } => {
                if let Some(Answer::Repeated(record)) = answer
                    && let Some(end) = record.end
                {
                    let ask = Ask::Finish { end, grant: record.grant, id: record.id };
                    self.ask(index, ask, owner, Purpose::Notice);
                }
            }
        }
    }

    fn request(&mut self, index: usize, key: Key) {
        if self.entries[index].dead_until.is_some() {
            return;
        }
        if let Some(wait) = self.entries[index].wait(self.time) {
            return self.after(wait, Step::Request { entry: index, key });
        }
        let owner = &self.entries[index].owner;
        let found = owner.map().and_then(|map| map.owner(key.id.partition()));
        let Some(found) = found.cloned() else {
            self.turned_away += 1;
            return;
        };
        let ask = Ask::Run {
            fingerprint: key.fingerprint,
            id: key.id,
            idempotent: false,
            runner: owner.me().clone(),
        };
        if found != *owner.me() {
            return self.ask(index, ask, found.name, Purpose::Caller);
        }
        let now = self.now(index);
        let answer = self.entries[index].owner.answer(now, &ask);
        self.permitted(index, Some(answer), found.name, now.at);
    }

    fn permitted(&mut self, index: usize, answer: Option<Answer>, owner: Name, sent: Instant) {
        match answer {
            Some(Answer::Permitted(record)) if owner == name(index) => {
                let witnesses = self.entries[index].owner.witnesses(&record.id);
                match witnesses.first() {
                    None => self.begin(index, record, sent, true, None),
                    Some(witness) => {
                        let ask = Ask::Witness { record: record.clone() };
                        self.ask(index, ask, witness.name.clone(), Purpose::Witness(record));
                    }
                }
            }
            Some(Answer::Permitted(record)) => self.begin(index, record, sent, true, Some(owner)),
            Some(Answer::Repeated(record)) if record.end == Some(End::Answered) => {
                self.answered += 1;
            }
            Some(Answer::Repeated(record)) if record.end.is_none() => {
                let runner = record.runner.name.clone();
                self.ask(index, Ask::Settle { record }, runner, Purpose::Settle { owner });
            }
            _ => self.turned_away += 1,
        }
    }

    /// Begins a run, if it may still begin.
    fn begin(
        &mut self,
        index: usize,
        record: Record,
        sent: Instant,
        held: bool,
        second: Option<Name>,
    ) {
        let now = self.now(index);
        let may = self.entries[index].owner.begin(now, sent, &record) && held;
        let end = match self.random.random_range(0..10) {
            _ if !may => End::NotRun,
            0 => End::NotRun,
            1 => End::Unknown,
            _ => End::Answered,
        };
        if end != End::NotRun {
            let run = Run { entry: index, grant: record.grant, time: (self.time - START) / MS };
            self.runs.entry(record.id.hash).or_default().push(run);
        }
        let delay = if may { self.between(5, 3_000) } else { 0 };
        self.after(delay, Step::RunEnd { end, entry: index, record, second });
    }

    fn run_end(&mut self, index: usize, end: End, record: Record, second: Option<Name>) {
        if self.entries[index].owner.me() != &record.runner {
            return;
        }
        if let Some(wait) = self.entries[index].wait(self.time) {
            return self.after(wait, Step::RunEnd { end, entry: index, record, second });
        }
        let now = self.now(index);
        let ask = Ask::Finish { end, grant: record.grant, id: record.id };
        self.entries[index].owner.answer(now, &ask);
        match end {
            End::Answered => self.answered += 1,
            End::NotRun | End::Unknown => self.turned_away += 1,
        }
        if let Some(second) = second {
            self.ask(index, ask, second, Purpose::Notice);
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
            let delay = self.between(0, 15_000);
            let entry = self.random.random_range(0..self.entries.len());
            self.after(delay, Step::Request { entry, key });
        }
        let delay = self.between(50, 400);
        self.after(delay, Step::NewKey);
    }

    fn fault(&mut self) {
        let index = self.random.random_range(0..self.entries.len());
        let other = self.random.random_range(0..self.entries.len());
        let length = self.between(200, 20_000);
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
        let delay = self.between(500, 14_000);
        self.after(delay, Step::Fault);
    }

    fn kill(&mut self, index: usize, low: u64, high: u64) {
        let until = self.time + self.between(low, high);
        self.entries[index].dead_until = Some(until);
    }

    fn call_store(&mut self, entry: usize, change: Action) {
        let incarnation = self.entries[entry].owner.me().incarnation;
        let sent = self.time;
        let delay = self.between(1, 10);
        let reach = self.outage_until <= self.time && self.entries[entry].cut_until <= self.time;
        if reach && !self.chance(3) {
            return self
                .after(delay, Step::Store { change, entry, incarnation, late: false, sent });
        }
        // The call fails; half of the time it takes effect later on all the same.
        let event = unknown(&change, self.entries[entry].now(sent).at);
        self.after(CALL_LIMIT, Step::StoreReturn { entry, event, incarnation });
        if reach && self.chance(50) {
            let delay = self.between(1, 3_000);
            self.after(delay, Step::Store { change, entry, incarnation, late: true, sent });
        }
    }

    fn store(&mut self, entry: usize, incarnation: u64, action: Action, sent: u64, late: bool) {
        let me = Member { incarnation, name: name(entry) };
        let time = self.time;
        self.leases.retain(|_, until| *until > time);
        let at = self.entries[entry].now(sent).at;
        let length = LEASE.as_micros() as u64;
        let event = match action {
            Action::Ask { .. } => return,
            Action::Commit(change) => {
                let succeeded = self.commit(&me, &change, length);
                Event::Committed { enter: change.enter, sent: at, succeeded: Some(succeeded) }
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
            let delay = self.between(1, 10);
            self.after(delay, Step::StoreReturn { entry, event, incarnation });
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
        if change.enter {
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

    /// Returns how long it is paused still.
    fn wait(&self, time: u64) -> Option<u64> {
        (self.paused_until > time).then(|| self.paused_until - time)
    }
}

fn name(index: usize) -> Name {
    Name::try_from(format!("entry-{index}")).unwrap()
}

fn unknown(action: &Action, sent: Instant) -> Event {
    match action {
        Action::Commit(change) => Event::Committed { enter: change.enter, sent, succeeded: None },
        Action::Renew => Event::Renewed { sent, succeeded: None },
        Action::Ask { .. } | Action::Read => Event::Read(None),
    }
}

fn uuid(value: u128) -> String {
    let text = format!("{value:032x}");
    let parts = [&text[..8], &text[8..12], &text[12..16], &text[16..20], &text[20..]];
    parts.join("-")
}
