//! What the permission of runs is told, and what it wants done.

use super::*;
use {
    key_call::{Answer, Ask},
    key_map::{Map, Member},
};

/// Something to do.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Action {
    /// Ask the member at that name.
    Ask {
        /// The question.
        ask: Ask,
        /// The entry.
        to: Name,
    },
    /// Write to the key-value service.
    Commit(Change),
    /// Read the map and the members that have their lease.
    Read,
    /// Renew the lease.
    Renew,
}

/// A change of the map, of the membership's lease, or of both.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Change {
    /// Members whose lease must be gone.
    pub absent: BTreeSet<Member>,
    /// Whether the own membership is put under the own lease.
    pub enter: bool,
    /// The new map, if it changes.
    pub map: Option<Map>,
    /// Revision of the map's last change, which must be its last still; 0 when there is none.
    pub modified: i64,
}

/// Something that happened.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Event {
    /// A peer answered, or not.
    Answered {
        /// What it answered; `None` when it did not.
        answer: Option<Answer>,
        /// The question.
        ask: Ask,
        /// The process that answered.
        from: Option<Member>,
        /// When it was asked.
        sent: Instant,
        /// The entry that was asked.
        to: Name,
    },
    /// A commit was carried out, or not, or its answer is lost.
    Committed {
        /// Whether it put the membership under the lease.
        enter: bool,
        /// When it was sent.
        sent: Instant,
        /// Whether it took effect, as far as is known.
        succeeded: Option<bool>,
    },
    /// The map was read.
    Read(Option<Reading>),
    /// The lease was renewed, or `false` when it is gone, or `None` when nothing is known.
    Renewed {
        /// When it was sent.
        sent: Instant,
        /// Whether it took effect, as far as is known.
        succeeded: Option<bool>,
    },
}

/// What the key-value service holds.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Reading {
    /// The map, if there is one.
    pub map: Option<Map>,
    /// Revision of its last change.
    pub modified: i64,
    /// Members that have their lease.
    pub present: BTreeSet<Member>,
}

impl Action {
    pub(crate) fn to(member: &Member, ask: Ask) -> Self {
        Self::Ask { ask, to: member.name.clone() }
    }
}
