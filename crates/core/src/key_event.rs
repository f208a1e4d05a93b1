//! Events and actions of `key_owner::Owner`.

use super::*;
use {
    key_call::{Answer, Request},
    key_map::{Map, Member},
};

/// An action for the caller to carry out.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Action {
    /// Send a request to an entry.
    Send {
        /// The request.
        request: Request,
        /// The entry.
        to: Name,
    },
    /// Write to the key-value service.
    Commit(Change),
    /// Read the map and the members with a lease.
    Read,
    /// Renew the lease.
    Renew,
}

/// A change of the map, of the own membership key, or of both.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Change {
    /// Members whose lease must be gone.
    pub absent: BTreeSet<Member>,
    /// Whether to put the own membership key under the own lease.
    pub register: bool,
    /// The new map, if it changes.
    pub map: Option<Map>,
    /// Revision of the map's last change, as a condition; 0 when there is no map.
    pub modified: i64,
}

/// An event for the owner.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Event {
    /// A peer answered a request, or the request failed.
    Answered {
        /// The answer; `None` when there was none.
        answer: Option<Answer>,
        /// The request.
        request: Request,
        /// The process that answered.
        from: Option<Member>,
        /// When the request was sent.
        sent: Instant,
        /// The entry that the request was sent to.
        to: Name,
    },
    /// A commit was answered, or its answer was lost.
    Committed {
        /// Whether it put the membership key under the lease.
        register: bool,
        /// When it was sent.
        sent: Instant,
        /// Whether it took effect; `None` when unknown.
        succeeded: Option<bool>,
    },
    /// The map was read; `None` when the read failed.
    Read(Option<Reading>),
    /// A renewal of the lease was answered, or its answer was lost.
    Renewed {
        /// When it was sent.
        sent: Instant,
        /// Whether it took effect; `false` when the lease is gone, `None` when unknown.
        succeeded: Option<bool>,
    },
}

/// The values read from the key-value service.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Reading {
    /// The map, if there is one.
    pub map: Option<Map>,
    /// Revision of its last change.
    pub modified: i64,
    /// Members with a lease.
    pub present: BTreeSet<Member>,
}

impl Action {
    pub(crate) fn send_to(member: &Member, request: Request) -> Self {
        Self::Send { request, to: member.name.clone() }
    }
}
