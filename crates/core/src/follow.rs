//! Distribution of the configuration: which process reads the key-value service, which peers the
//! others ask, and what is put in force.
//!
//! Processes are ranked by a hash of their names, alike everywhere. The first `WATCHERS` that are
//! alive read the key-value service each period; every process asks those watchers in turn. So the
//! reads don't grow with the fleet, and each side of a partition has watchers of its own.

use {
    super::*,
    config::{Accepted, Revision},
};

/// Processes that read the key-value service.
pub const WATCHERS: usize = 3;
/// Time between two ticks.
pub const PERIOD: Duration = Duration::from_millis(1_000);
/// How long a read or a peer's answer may take.
pub const CALL_LIMIT: Duration = Duration::from_millis(700);
/// The time within which an accepted configuration is in force.
pub const IN_FORCE_LIMIT: Duration = Duration::from_millis(5_000);
/// The pause before a peer that did not answer is asked again; doubles with each further time.
pub const GONE: Duration = Duration::from_millis(4_000);
/// Doublings of `GONE` at most.
pub const MAX_DOUBLINGS: u32 = 3;
/// Ticks between two questions to a peer that is no watcher.
pub const SWEEP_TICKS: u64 = 5;

/// Something that happened.
#[derive(Clone, Debug, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Event {
    /// A peer answered `Action::Ask`, or did not within `CALL_LIMIT`.
    Answer {
        /// What it answered.
        answer: Answer,
        /// The peer.
        peer: Name,
    },
    /// The key-value service answered `Action::Read`, or did not within `CALL_LIMIT`.
    Reading(Reading),
    /// A period has passed.
    Tick,
}

/// What a peer said of its configuration.
#[derive(Clone, Debug, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Answer {
    /// No answer.
    Failed,
    /// Its configuration, newer than the one that the question named.
    Newer(Accepted),
    /// Nothing newer.
    Nothing,
}

/// What the key-value service said.
#[derive(Clone, Debug, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Reading {
    /// No answer, or a value that can't be read.
    Failed,
    /// What it holds.
    Found(Accepted),
    /// It holds no configuration, or the one read last.
    Nothing,
}

/// Something to do.
#[derive(Clone, Debug, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Action {
    /// Put a configuration in force.
    Apply(Accepted),
    /// Ask a peer for what is newer than the revision in force.
    Ask(Name),
    /// Read the key-value service.
    Read,
    /// Tell operators that an offer was not taken.
    Refuse(Refusal),
}

/// Why an offered configuration was not taken.
#[derive(Clone, Debug, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Refusal {
    /// It has the revision in force but is another submission's.
    Conflict {
        /// The submission in force.
        ours: String,
        /// The revision.
        revision: Revision,
        /// The submission offered.
        theirs: String,
    },
    /// It is older than the one in force.
    Older {
        /// The revision in force.
        ours: Revision,
        /// The revision offered.
        theirs: Revision,
    },
}

/// Decides for one process. The revision in force never falls.
#[derive(Clone, Debug)]
pub struct Machine {
    /// How many of `peers` rank before this process.
    before: usize,
    /// In force; `None` until the first was learned.
    current: Option<Accepted>,
    /// The other processes, by rank.
    peers: Vec<Peer>,
    /// The best offer of a peer while nothing is in force.
    offer: Option<Accepted>,
    /// Whether a reading is awaited.
    reading: bool,
    /// Ticks so far.
    ticks: u64,
}

#[derive(Clone, Debug)]
struct Peer {
    /// Whether an answer is awaited.
    asked: bool,
    /// Unanswered calls since the last answer.
    failures: u32,
    /// When to ask again after a call without an answer.
    ask_after: Instant,
    /// Whether it has answered while nothing was in force here.
    heard: bool,
    name: Name,
}

impl Machine {
    /// Returns the machine of the process `local` among `peers`.
    pub fn new(local: &Name, peers: &[Name]) -> Self {
        let mut ranked: Vec<&Name> = peers.iter().filter(|peer| *peer != local).collect();
        ranked.sort_by_key(|name| rank(name));
        ranked.dedup();
        let before = ranked.iter().filter(|name| rank(name) < rank(local)).count();
        let peers = ranked.into_iter().map(Peer::new).collect();
        Self { before, peers, ..Self::alone() }
    }

    /// Returns the machine of a process without peers.
    pub fn alone() -> Self {
        Self { before: 0, current: None, offer: None, peers: vec![], reading: false, ticks: 0 }
    }

    /// Returns what is in force.
    pub fn current(&self) -> Option<&Accepted> {
        self.current.as_ref()
    }

    /// Takes an event and returns what to do, in order.
    pub fn handle(&mut self, now: Instant, event: Event) -> Vec<Action> {
        match event {
            Event::Answer { answer, peer } => self.answer(now, &peer, answer),
            Event::Reading(reading) => self.read(reading),
            Event::Tick => self.tick(now),
        }
    }

    /// Returns whether this process reads the key-value service.
    pub fn watches(&self) -> bool {
        let alive = self.peers[..self.before].iter().filter(|peer| peer.alive());
        alive.count() < WATCHERS
    }

    fn answer(&mut self, now: Instant, name: &Name, answer: Answer) -> Vec<Action> {
        let Some(peer) = self.peers.iter_mut().find(|peer| peer.name == *name) else {
            return vec![];
        };
        peer.asked = false;
        if answer == Answer::Failed {
            peer.fail(now);
            return self.settle();
        }
        peer.failures = 0;
        peer.heard = true;
        match answer {
            Answer::Newer(offer) if self.current.is_some() => self.take(offer),
            Answer::Newer(offer) => {
                let better = self.offer.as_ref().is_none_or(|o| o.revision < offer.revision);
                self.offer = if better { Some(offer) } else { self.offer.take() };
                self.settle()
            }
            Answer::Nothing | Answer::Failed => self.settle(),
        }
    }

    fn read(&mut self, reading: Reading) -> Vec<Action> {
        self.reading = false;
        match reading {
            Reading::Failed | Reading::Nothing => vec![],
            Reading::Found(offer) => self.take(offer),
        }
    }

    /// Takes the best offer once each live peer of the sweep has answered.
    fn settle(&mut self) -> Vec<Action> {
        if self.current.is_some() || self.offer.is_none() {
            return vec![];
        }
        let live = self.peers.iter().filter(|peer| peer.alive());
        if live.clone().any(|peer| peer.asked) {
            return vec![];
        }
        if live.clone().filter(|peer| peer.heard).count() < WATCHERS.min(live.count()) {
            return vec![];
        }
        self.offer.take().map_or(vec![], |offer| self.take(offer))
    }

    fn take(&mut self, offer: Accepted) -> Vec<Action> {
        if let Some(current) = &self.current {
            if offer.revision < current.revision {
                let (ours, theirs) = (current.revision, offer.revision);
                return vec![Action::Refuse(Refusal::Older { ours, theirs })];
            }
            if offer.revision == current.revision && offer.submission != current.submission {
                return vec![Action::Refuse(Refusal::Conflict {
                    ours: current.submission.clone(),
                    revision: offer.revision,
                    theirs: offer.submission,
                })];
            }
            if offer.revision == current.revision {
                return vec![];
            }
        }
        self.current = Some(offer.clone());
        self.offer = None;
        vec![Action::Apply(offer)]
    }

    fn tick(&mut self, now: Instant) -> Vec<Action> {
        self.ticks += 1;
        let mut actions = self.settle();
        if self.watches() && !self.reading {
            self.reading = true;
            actions.push(Action::Read);
        }
        for index in self.questions(now) {
            self.peers[index].asked = true;
            actions.push(Action::Ask(self.peers[index].name.clone()));
        }
        actions
    }

    /// Returns whom to ask: one watcher, now and then one of all, and one that is gone; while
    /// nothing is in force all watchers and a sweep over all.
    fn questions(&self, now: Instant) -> Vec<usize> {
        let ranks = 0..self.peers.len();
        let alive: Vec<usize> = ranks.clone().filter(|rank| self.peers[*rank].alive()).collect();
        let due = |rank: &usize| !self.peers[*rank].alive() && self.peers[*rank].due(now);
        let mut chosen: Vec<usize> = ranks.filter(due).take(1).collect();
        let turn = self.ticks as usize;
        let watchers = &alive[..alive.len().min(WATCHERS)];
        if self.current.is_none() {
            let sweep = (0..WATCHERS).map(|step| turn * WATCHERS + step);
            chosen.extend(sweep.filter_map(|step| at(&alive, step)));
            chosen.extend(watchers);
        } else {
            chosen.extend(at(watchers, turn));
        }
        if self.ticks.is_multiple_of(SWEEP_TICKS) {
            chosen.extend(at(&alive, (self.ticks / SWEEP_TICKS) as usize));
        }
        chosen.sort_unstable();
        chosen.dedup();
        chosen.retain(|rank| !self.peers[*rank].asked);
        chosen
    }
}

impl Peer {
    fn new(name: &Name) -> Self {
        Self {
            asked: false,
            failures: 0,
            ask_after: Instant::default(),
            heard: false,
            name: name.clone(),
        }
    }

    fn alive(&self) -> bool {
        self.failures == 0
    }

    /// Returns whether a peer that is gone is to be asked again.
    fn due(&self, now: Instant) -> bool {
        self.ask_after <= now
    }

    fn fail(&mut self, now: Instant) {
        self.ask_after = now + GONE * 2u32.pow(self.failures.min(MAX_DOUBLINGS));
        self.failures += 1;
    }
}

/// Returns the element at `turn`, round and round.
fn at(list: &[usize], turn: usize) -> Option<usize> {
    list.get(turn.checked_rem(list.len())?).copied()
}

fn rank(name: &Name) -> (u64, &Name) {
    (xxhash_rust::xxh3::xxh3_64(name.as_str().as_bytes()), name)
}
