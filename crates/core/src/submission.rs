//! Putting a configuration in force by compare-and-swap, also when answers are lost.
//!
//! A write names its submission, and the value remembers the submissions before it. So a writer in
//! doubt finds out by reading whether its write took effect, even if another replaced it since.

use {
    super::*,
    change::Change,
    config::{Accepted, Config, Past, Revision},
};

/// Submissions that a value remembers.
pub const MAX_PAST: usize = 32;
/// Reads and writes of one submission at most.
pub const MAX_TRIES: u32 = 12;
/// The pause before a read or write is tried again.
pub const PAUSE: Duration = Duration::from_millis(500);

/// Something that happened.
#[derive(Clone, Debug, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Event {
    /// A read or write was refused or never sent: nothing was done.
    NotDone(String),
    /// The read found this, or nothing.
    Read(Option<Held>),
    /// The write is lost or its answer is: it may have taken effect, now or later.
    Doubt(String),
    /// The write found another value than expected: nothing was done.
    Overtaken,
    /// The write took effect.
    Written,
}

/// What the key-value service holds.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Held {
    /// The value.
    pub accepted: Accepted,
    /// The service's own count of changes at the value's last write.
    pub modified: i64,
}

/// Something to do.
#[derive(Clone, Debug, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Action {
    /// Stop: this is the result.
    End(End),
    /// Read the value, after the pause.
    Read(Duration),
    /// Write the value, after the pause, if the one of `modified` still stands, or none.
    Write {
        /// The value.
        accepted: Accepted,
        /// The value to replace.
        modified: Option<i64>,
        /// How long to wait first.
        pause: Duration,
    },
}

/// What became of a submission.
#[derive(Clone, Debug, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum End {
    /// It is accepted.
    Accepted(Revision),
    /// Another submission came first; nothing was changed.
    Conflict {
        /// What the winner changed.
        changes: Vec<Change>,
        /// What stands now.
        winner: Accepted,
    },
    /// Nothing was changed.
    NotDone(String),
    /// It was accepted, and another has replaced it since.
    Replaced {
        /// The revision that it had.
        revision: Revision,
        /// What stands now.
        winner: Accepted,
    },
    /// It may have been accepted, now or later. The same submission can be sent again.
    Unknown(String),
}

/// Decides for one submission. It writes over one value only, the one that it read first.
#[derive(Clone, Debug)]
pub struct Machine {
    /// The revision that the operator's change is based on, if given.
    base: Option<Revision>,
    by: String,
    config: Arc<Config>,
    /// Whether a write may have taken effect.
    doubtful: bool,
    /// What was read first; a write replaces only this.
    first: Option<Option<Held>>,
    submission: String,
    tries: u32,
}

impl Machine {
    /// Returns the machine of `submission`, made `by` an operator for the revision `base`.
    pub fn new(submission: &str, by: &str, base: Option<Revision>, config: Arc<Config>) -> Self {
        let (by, submission) = (by.into(), submission.into());
        Self { base, by, config, doubtful: false, first: None, submission, tries: 0 }
    }

    /// Returns what to do first.
    pub fn start(&self) -> Action {
        Action::Read(Duration::ZERO)
    }

    /// Takes an event and returns what to do next.
    pub fn handle(&mut self, event: Event) -> Action {
        self.tries += 1;
        match event {
            Event::Doubt(cause) => {
                self.doubtful = true;
                self.again(cause)
            }
            Event::NotDone(cause) => self.again(cause),
            Event::Overtaken => Action::Read(Duration::ZERO),
            Event::Read(held) => self.read(held),
            Event::Written => Action::End(End::Accepted(self.revision())),
        }
    }

    fn again(&self, cause: String) -> Action {
        if self.tries < MAX_TRIES {
            return Action::Read(PAUSE);
        }
        let end = if self.doubtful { End::Unknown(cause) } else { End::NotDone(cause) };
        Action::End(end)
    }

    fn read(&mut self, held: Option<Held>) -> Action {
        if let Some(end) = held.as_ref().and_then(|held| self.found(&held.accepted)) {
            return Action::End(end);
        }
        let revision = held.as_ref().map_or(Revision(0), |held| held.accepted.revision);
        let stale = self.base.is_some_and(|base| base != revision);
        let overtaken = self.first.as_ref().is_some_and(|first| *first != held);
        if stale || overtaken {
            return Action::End(self.conflict(held));
        }
        if self.tries >= MAX_TRIES {
            return self.again("too many answers were lost".into());
        }
        let pause = if self.first.is_some() { PAUSE } else { Duration::ZERO };
        self.first = Some(held);
        self.write(pause)
    }

    /// Returns the end of the submission if `accepted` is or remembers it.
    fn found(&self, accepted: &Accepted) -> Option<End> {
        if accepted.submission == self.submission {
            return Some(End::Accepted(accepted.revision));
        }
        let past = accepted.past.iter().find(|past| past.submission == self.submission)?;
        Some(End::Replaced { revision: past.revision, winner: accepted.clone() })
    }

    fn conflict(&self, held: Option<Held>) -> End {
        let Some(held) = held else {
            return End::NotDone("the configuration that was read is gone".into());
        };
        let empty = Config::default();
        let first = self.first.as_ref().and_then(Option::as_ref);
        let from = first.map_or(&empty, |first| first.accepted.config.as_ref());
        let from = if self.first.is_some() { from } else { self.config.as_ref() };
        let changes = Change::between(from, &held.accepted.config);
        End::Conflict { changes, winner: held.accepted }
    }

    fn revision(&self) -> Revision {
        let first = self.first.as_ref().and_then(Option::as_ref);
        Revision(first.map_or(0, |held| held.accepted.revision.0) + 1)
    }

    fn write(&self, pause: Duration) -> Action {
        let first = self.first.as_ref().and_then(Option::as_ref);
        let mut past = first.map_or(vec![], |held| held.accepted.past.clone());
        past.extend(first.map(|held| Past {
            revision: held.accepted.revision,
            submission: held.accepted.submission.clone(),
        }));
        let surplus = past.len().saturating_sub(MAX_PAST);
        past.drain(..surplus);
        let accepted = Accepted {
            by: self.by.clone(),
            config: self.config.clone(),
            past,
            revision: self.revision(),
            submission: self.submission.clone(),
        };
        Action::Write { accepted, modified: first.map(|held| held.modified), pause }
    }
}
