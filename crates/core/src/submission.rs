//! Submission of a configuration by compare-and-swap, safe against lost answers.
//!
//! Each stored value carries the id of its submission and of the submissions before it. So a writer
//! that lost an answer can read whether its write took effect, even if another has replaced it
//! since.

use {
    super::*,
    change::Change,
    config::{Accepted, Config, Past, Revision},
};

/// Maximum number of earlier submissions that a value lists.
pub const MAX_PAST: usize = 32;
/// Maximum number of reads and writes of one submission.
pub const MAX_TRIES: u32 = 12;
/// The pause before a read or write is retried.
pub const RETRY_PAUSE: Duration = Duration::from_millis(500);

/// An event for the machine.
#[derive(Clone, Debug, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Event {
    /// A read or write was refused or never sent, so nothing was done.
    NotDone(String),
    /// The value that was read, if there is one.
    Read(Option<StoredConfig>),
    /// The write or its answer was lost. It may have taken effect, or may do so later.
    Doubt(String),
    /// The stored value was not the expected one, so nothing was done.
    Overtaken,
    /// The write took effect.
    Written,
}

/// The value that the key-value service holds.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct StoredConfig {
    /// The value.
    pub accepted: Accepted,
    /// The service's revision of the value's last write.
    pub modified: i64,
}

/// An action for the caller to carry out.
#[derive(Clone, Debug, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Action {
    /// Stop with this result.
    End(End),
    /// Read the value, after the pause.
    Read(Duration),
    /// Write the value after the pause, if the stored value still is the one of `modified`.
    Write {
        /// The value.
        accepted: Accepted,
        /// Revision of the value to replace; `None` if there must be no value.
        modified: Option<i64>,
        /// How long to wait first.
        pause: Duration,
    },
}

/// The result of a submission.
#[derive(Clone, Debug, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum End {
    /// It was accepted.
    Accepted(Revision),
    /// Another submission came first; nothing was changed.
    Conflict {
        /// The differences that the other submission made.
        changes: Vec<Change>,
        /// The configuration stored now.
        winner: Accepted,
    },
    /// Nothing was changed.
    NotDone(String),
    /// It was accepted, but another has replaced it since.
    Replaced {
        /// The revision that it was accepted under.
        revision: Revision,
        /// The configuration stored now.
        winner: Accepted,
    },
    /// It may have been accepted, or may be later. The same submission can be sent again.
    Unknown(String),
}

/// The state machine of one submission. It only ever replaces the value that it read first.
#[derive(Clone, Debug)]
pub struct Machine {
    /// The revision that the operator's change is based on, if given.
    base: Option<Revision>,
    by: String,
    config: Arc<Config>,
    /// Whether a write may have taken effect.
    may_have_written: bool,
    /// The first value read, or `Some(None)` if there was none. A write replaces only this.
    first_read: Option<Option<StoredConfig>>,
    submission: String,
    tries: u32,
}

impl Machine {
    /// Returns the machine of `submission`, which operator `by` has based on the revision `base`.
    pub fn new(submission: &str, by: &str, base: Option<Revision>, config: Arc<Config>) -> Self {
        let (by, submission) = (by.into(), submission.into());
        Self { base, by, config, may_have_written: false, first_read: None, submission, tries: 0 }
    }

    /// Returns the first action.
    pub fn start(&self) -> Action {
        Action::Read(Duration::ZERO)
    }

    /// Handles an event and returns the next action.
    pub fn handle(&mut self, event: Event) -> Action {
        self.tries += 1;
        match event {
            Event::Doubt(cause) => {
                self.may_have_written = true;
                self.retry(cause)
            }
            Event::NotDone(cause) => self.retry(cause),
            Event::Overtaken => Action::Read(Duration::ZERO),
            Event::Read(stored) => self.on_read(stored),
            Event::Written => Action::End(End::Accepted(self.revision())),
        }
    }

    fn retry(&self, cause: String) -> Action {
        if self.tries < MAX_TRIES {
            return Action::Read(RETRY_PAUSE);
        }
        let end = if self.may_have_written { End::Unknown(cause) } else { End::NotDone(cause) };
        Action::End(end)
    }

    fn on_read(&mut self, stored: Option<StoredConfig>) -> Action {
        if let Some(end) = stored.as_ref().and_then(|stored| self.end_from(&stored.accepted)) {
            return Action::End(end);
        }
        let revision = stored.as_ref().map_or(Revision(0), |stored| stored.accepted.revision);
        let stale = self.base.is_some_and(|base| base != revision);
        let overtaken = self.first_read.as_ref().is_some_and(|first| *first != stored);
        if stale || overtaken {
            return Action::End(self.conflict(stored));
        }
        if self.tries >= MAX_TRIES {
            return self.retry("too many answers were lost".into());
        }
        let pause = if self.first_read.is_some() { RETRY_PAUSE } else { Duration::ZERO };
        self.first_read = Some(stored);
        self.write(pause)
    }

    /// Returns the result of the submission if `accepted` contains it or lists it as an earlier
    /// one.
    fn end_from(&self, accepted: &Accepted) -> Option<End> {
        if accepted.submission == self.submission {
            return Some(End::Accepted(accepted.revision));
        }
        let past = accepted.past.iter().find(|past| past.submission == self.submission)?;
        Some(End::Replaced { revision: past.revision, winner: accepted.clone() })
    }

    fn conflict(&self, stored: Option<StoredConfig>) -> End {
        let Some(stored) = stored else {
            return End::NotDone("the configuration was removed after it was read".into());
        };
        let empty = Config::default();
        let first = self.first_read.as_ref().and_then(Option::as_ref);
        let from = first.map_or(&empty, |first| first.accepted.config.as_ref());
        let from = if self.first_read.is_some() { from } else { self.config.as_ref() };
        let changes = Change::between(from, &stored.accepted.config);
        End::Conflict { changes, winner: stored.accepted }
    }

    fn revision(&self) -> Revision {
        let first = self.first_read.as_ref().and_then(Option::as_ref);
        Revision(first.map_or(0, |stored| stored.accepted.revision.0) + 1)
    }

    fn write(&self, pause: Duration) -> Action {
        let first = self.first_read.as_ref().and_then(Option::as_ref);
        let mut past = first.map_or(vec![], |stored| stored.accepted.past.clone());
        past.extend(first.map(|stored| Past {
            revision: stored.accepted.revision,
            submission: stored.accepted.submission.clone(),
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
        Action::Write { accepted, modified: first.map(|stored| stored.modified), pause }
    }
}
