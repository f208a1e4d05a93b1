//! Distribution of the configuration: decides which processes read it from the key-value service,
//! which peers the others ask, and which revision is in force.
//!
//! Every process ranks all processes by the same hash of their names. The first `WATCHERS` live
//! ones read the key-value service each period, and every process asks these watchers in turn. So
//! the number of reads doesn't grow with the fleet, and each side of a network partition has
//! watchers.

use {
    super::*,
    config::{Accepted, Revision},
};

/// Number of processes that read the key-value service.
pub const WATCHERS: usize = 3;
/// Interval of ticks.
pub const PERIOD: Duration = Duration::from_millis(1_000);
/// Timeout of a request to a peer.
pub const CALL_TIMEOUT: Duration = Duration::from_millis(700);
/// Maximum time from the acceptance of a configuration until it is in force everywhere.
pub const MAX_IN_FORCE_DELAY: Duration = Duration::from_millis(5_000);
/// The pause before a peer that did not answer is asked again. Doubles with each further failure.
pub const RETRY_PAUSE: Duration = Duration::from_millis(4_000);
/// Maximum number of doublings of `RETRY_PAUSE`.
pub const MAX_DOUBLINGS: u32 = 3;
/// Number of ticks between two requests of the sweep over all live peers.
pub const SWEEP_TICKS: u64 = 5;

/// An event for the machine.
#[derive(Clone, Debug, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Event {
    /// A peer answered `Action::Ask`, or `CALL_TIMEOUT` passed.
    Answer {
        /// The answer.
        answer: Answer,
        /// The peer.
        peer: Name,
    },
    /// The key-value service answered `Action::Read`, or the read timed out.
    Reading(Reading),
    /// A period has passed.
    Tick,
}

/// A peer's answer about its configuration.
#[derive(Clone, Debug, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Answer {
    /// No answer.
    Failed,
    /// Its configuration, newer than the revision that the request named.
    Newer(Accepted),
    /// Nothing newer.
    Nothing,
}

/// The result of a read of the key-value service.
#[derive(Clone, Debug, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Reading {
    /// No answer, or a value that can't be decoded.
    Failed,
    /// The stored configuration.
    Found(Accepted),
    /// No configuration is stored, or it is the one read last.
    Nothing,
}

/// An action for the caller to carry out.
#[derive(Clone, Debug, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Action {
    /// Put a configuration in force.
    Apply(Accepted),
    /// Ask a peer for a configuration newer than the revision in force.
    Ask(Name),
    /// Read the key-value service.
    Read,
    /// Log that an offered configuration was refused.
    Refuse(Refusal),
}

/// Why an offered configuration was refused.
#[derive(Clone, Debug, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Refusal {
    /// It has the revision in force but comes from another submission.
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

/// The state machine of one process. The revision in force never decreases.
#[derive(Clone, Debug)]
pub struct Machine {
    /// Number of `peers` that rank before this process.
    higher_ranked: usize,
    /// The configuration in force, if any.
    current: Option<Accepted>,
    /// The other processes, by rank.
    peers: Vec<Peer>,
    /// The newest offer of a peer while no configuration is in force.
    offer: Option<Accepted>,
    /// Whether a read is in progress.
    read_pending: bool,
    /// Number of ticks so far.
    ticks: u64,
}

#[derive(Clone, Debug)]
struct Peer {
    /// Whether a request to it is in progress.
    request_pending: bool,
    /// Number of unanswered requests since the last answer.
    failures: u32,
    /// When to ask it again after an unanswered request.
    ask_after: Instant,
    /// Whether it has ever answered.
    answered: bool,
    name: Name,
}

impl Machine {
    /// Returns the machine of the process `local` among `peers`.
    pub fn new(local: &Name, peers: &[Name]) -> Self {
        let mut ranked: Vec<&Name> = peers.iter().filter(|peer| *peer != local).collect();
        ranked.sort_by_key(|name| rank_key(name));
        ranked.dedup();
        let higher_ranked = ranked.iter().filter(|name| rank_key(name) < rank_key(local)).count();
        let peers = ranked.into_iter().map(Peer::new).collect();
        Self { higher_ranked, peers, ..Self::without_peers() }
    }

    /// Returns the machine of a process without peers.
    pub fn without_peers() -> Self {
        Self {
            higher_ranked: 0,
            current: None,
            offer: None,
            peers: vec![],
            read_pending: false,
            ticks: 0,
        }
    }

    /// Returns the configuration in force.
    pub fn current(&self) -> Option<&Accepted> {
        self.current.as_ref()
    }

    /// Handles an event and returns the actions to carry out, in order.
    pub fn handle(&mut self, now: Instant, event: Event) -> Vec<Action> {
        match event {
            Event::Answer { answer, peer } => self.on_answer(now, &peer, answer),
            Event::Reading(reading) => self.on_reading(reading),
            Event::Tick => self.on_tick(now),
        }
    }

    /// Returns whether this process reads the key-value service.
    pub fn watches(&self) -> bool {
        let alive = self.peers[..self.higher_ranked].iter().filter(|peer| peer.is_alive());
        alive.count() < WATCHERS
    }

    fn on_answer(&mut self, now: Instant, name: &Name, answer: Answer) -> Vec<Action> {
        let Some(peer) = self.peers.iter_mut().find(|peer| peer.name == *name) else {
            return vec![];
        };
        peer.request_pending = false;
        if answer == Answer::Failed {
            peer.record_failure(now);
            return self.apply_best_offer();
        }
        peer.failures = 0;
        peer.answered = true;
        match answer {
            Answer::Newer(offer) if self.current.is_some() => self.consider(offer),
            Answer::Newer(offer) => {
                let is_newer = self.offer.as_ref().is_none_or(|o| o.revision < offer.revision);
                self.offer = if is_newer { Some(offer) } else { self.offer.take() };
                self.apply_best_offer()
            }
            Answer::Nothing | Answer::Failed => self.apply_best_offer(),
        }
    }

    fn on_reading(&mut self, reading: Reading) -> Vec<Action> {
        self.read_pending = false;
        match reading {
            Reading::Failed | Reading::Nothing => vec![],
            Reading::Found(offer) => self.consider(offer),
        }
    }

    /// Applies the newest offer once no request to a live peer is in progress and enough peers have
    /// answered.
    fn apply_best_offer(&mut self) -> Vec<Action> {
        if self.current.is_some() || self.offer.is_none() {
            return vec![];
        }
        let live = self.peers.iter().filter(|peer| peer.is_alive());
        if live.clone().any(|peer| peer.request_pending) {
            return vec![];
        }
        if live.clone().filter(|peer| peer.answered).count() < WATCHERS.min(live.count()) {
            return vec![];
        }
        self.offer.take().map_or(vec![], |offer| self.consider(offer))
    }

    /// Puts an offer in force if it is newer than the current configuration. Reports one that is
    /// older or in conflict.
    fn consider(&mut self, offer: Accepted) -> Vec<Action> {
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

    fn on_tick(&mut self, now: Instant) -> Vec<Action> {
        self.ticks += 1;
        let mut actions = self.apply_best_offer();
        if self.watches() && !self.read_pending {
            self.read_pending = true;
            actions.push(Action::Read);
        }
        for index in self.peers_to_ask(now) {
            self.peers[index].request_pending = true;
            actions.push(Action::Ask(self.peers[index].name.clone()));
        }
        actions
    }

    /// Returns the indexes of the peers to ask: one watcher each tick, one of all live peers every
    /// `SWEEP_TICKS`, and one that does not answer and is due. While no configuration is in force,
    /// all watchers each tick, and also the next `WATCHERS` of all live peers.
    fn peers_to_ask(&self, now: Instant) -> Vec<usize> {
        let ranks = 0..self.peers.len();
        let alive: Vec<usize> = ranks.clone().filter(|rank| self.peers[*rank].is_alive()).collect();
        let due = |rank: &usize| !self.peers[*rank].is_alive() && self.peers[*rank].is_due(now);
        let mut chosen: Vec<usize> = ranks.filter(due).take(1).collect();
        let tick = self.ticks as usize;
        let watchers = &alive[..alive.len().min(WATCHERS)];
        if self.current.is_none() {
            let sweep = (0..WATCHERS).map(|step| tick * WATCHERS + step);
            chosen.extend(sweep.filter_map(|step| cyclic(&alive, step)));
            chosen.extend(watchers);
        } else {
            chosen.extend(cyclic(watchers, tick));
        }
        if self.ticks.is_multiple_of(SWEEP_TICKS) {
            chosen.extend(cyclic(&alive, (self.ticks / SWEEP_TICKS) as usize));
        }
        chosen.sort_unstable();
        chosen.dedup();
        chosen.retain(|rank| !self.peers[*rank].request_pending);
        chosen
    }
}

impl Peer {
    fn new(name: &Name) -> Self {
        Self {
            request_pending: false,
            failures: 0,
            ask_after: Instant::default(),
            answered: false,
            name: name.clone(),
        }
    }

    fn is_alive(&self) -> bool {
        self.failures == 0
    }

    /// Returns whether a peer that did not answer is to be asked again.
    fn is_due(&self, now: Instant) -> bool {
        self.ask_after <= now
    }

    fn record_failure(&mut self, now: Instant) {
        self.ask_after = now + RETRY_PAUSE * 2u32.pow(self.failures.min(MAX_DOUBLINGS));
        self.failures += 1;
    }
}

/// Returns the element at `turn`, modulo the length.
fn cyclic(list: &[usize], turn: usize) -> Option<usize> {
    list.get(turn.checked_rem(list.len())?).copied()
}

/// Returns the key that processes are ranked by.
fn rank_key(name: &Name) -> (u64, &Name) {
    (xxhash_rust::xxh3::xxh3_64(name.as_str().as_bytes()), name)
}
