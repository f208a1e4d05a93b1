//! The connections of clients and what they hold. Decides which of them end when a bound is reached.

use super::*;

/// The connections of a process's clients.
#[derive(Debug)]
pub struct Table {
    connections: BTreeMap<u64, Entry>,
    /// How many connections have ended, by cause, since they were last taken.
    ended: BTreeMap<Cause, u64>,
    limit: Limit,
    next_id: u64,
    /// The bytes of all connections; at most `limit.bytes`.
    used: usize,
}

/// What a connection holds, and what it waits for.
#[derive(Debug)]
struct Entry {
    bytes: usize,
    /// Whether it ends after the answer to the request that is at work.
    last: bool,
    listener: usize,
    phase: Phase,
    /// When its client last did what it waits for, in milliseconds.
    progress_at: u64,
    /// When the first bytes of its request arrived, in milliseconds.
    started_at: u64,
}

/// What a connection holds between requests, in bytes: its task and its read buffer.
pub const CONNECTION_BYTES: usize = 16 << 10;

impl Entry {
    /// Returns whether nothing of a next request has arrived.
    fn is_idle(&self) -> bool {
        self.phase == Phase::Idle
    }

    /// Returns whether the connection waits for its client with something in hand.
    fn is_stalled(&self) -> bool {
        matches!(self.phase, Phase::Receiving | Phase::Sending)
    }
}

impl Table {
    /// Returns a table without connections.
    pub fn new(limit: Limit) -> Self {
        let (connections, ended) = (BTreeMap::new(), BTreeMap::new());
        Self { connections, ended, limit, next_id: 0, used: 0 }
    }

    /// Adds a connection of a listener at `now`, in milliseconds. Returns its number and the connections to
    /// close for it. Idle ones give way first, then those that have waited longest for their client. If all are
    /// at work, the one that has been for longest ends after its answer: clients that always have another request
    /// at hand would keep everybody else out.
    pub fn open(&mut self, now: u64, listener: usize) -> Result<(u64, Vec<u64>), Error> {
        let mut closed = Vec::new();
        let most = self.limit.connections.get(listener).copied().unwrap_or(0);
        let mine = |entry: &Entry| entry.listener == listener;
        if self.connections.values().filter(|entry| mine(entry)).count() >= most {
            let idle = self.longest(|_, entry| mine(entry) && entry.is_idle());
            let longest =
                idle.or_else(|| self.longest(|_, entry| mine(entry) && entry.is_stalled()));
            let Some(id) = longest else {
                self.end_after_answer(listener);
                return Err(self.refuse());
            };
            self.end(id, Cause::Connections);
            closed.push(id);
        }
        let id = self.next_id;
        if let Err(error) = self.make_room(CONNECTION_BYTES, id, &mut closed) {
            self.end_after_answer(listener);
            return Err(error);
        }
        self.next_id += 1;
        self.used += CONNECTION_BYTES;
        let (bytes, phase) = (CONNECTION_BYTES, Phase::Idle);
        let (last, progress_at, started_at) = (false, now, now);
        let entry = Entry { bytes, last, listener, phase, progress_at, started_at };
        self.connections.insert(id, entry);
        Ok((id, closed))
    }

    /// Lets a connection hold more bytes. Returns the connections to close for them: those that have waited
    /// longest for their client's next bytes, then idle ones, and never one whose request has been read whole.
    pub fn grow(&mut self, id: u64, bytes: usize) -> Result<Vec<u64>, Error> {
        let mut closed = Vec::new();
        if !self.connections.contains_key(&id) {
            return Err(Error);
        }
        self.make_room(bytes, id, &mut closed)?;
        if let Some(entry) = self.connections.get_mut(&id) {
            entry.bytes += bytes;
            self.used += bytes;
        }
        Ok(closed)
    }

    /// Gives bytes of a connection back.
    pub fn shrink(&mut self, id: u64, bytes: usize) {
        if let Some(entry) = self.connections.get_mut(&id) {
            let bytes = bytes.min(entry.bytes);
            entry.bytes -= bytes;
            self.used -= bytes;
        }
    }

    /// Records that a connection now waits for something else.
    pub fn enter(&mut self, id: u64, phase: Phase, now: u64) {
        let Some(entry) = self.connections.get_mut(&id) else { return };
        if entry.phase == Phase::Idle && phase == Phase::Receiving {
            entry.started_at = now;
        }
        entry.phase = phase;
        entry.progress_at = now;
    }

    /// Returns whether a connection has to end after the answer to the request that is at work.
    pub fn is_last(&self, id: u64) -> bool {
        self.connections.get(&id).is_none_or(|entry| entry.last)
    }

    /// Returns what a connection waits for, unless it was closed.
    pub fn phase(&self, id: u64) -> Option<Phase> {
        self.connections.get(&id).map(|entry| entry.phase)
    }

    /// Removes a connection that its client or this process has closed.
    pub fn close(&mut self, id: u64) {
        if let Some(entry) = self.connections.remove(&id) {
            self.used -= entry.bytes;
        }
    }

    /// Removes the connections that have waited too long for their clients, and returns them.
    pub fn expire(&mut self, now: u64) -> Vec<u64> {
        let Limit { request_ms, stall_ms, .. } = self.limit;
        let cause = |entry: &Entry| {
            let is_silent = now > entry.progress_at + stall_ms;
            match entry.phase {
                Phase::Receiving if is_silent || now > entry.started_at + request_ms => {
                    Some(Cause::Request)
                }
                Phase::Sending if is_silent => Some(Cause::Unread),
                _ => None,
            }
        };
        let connections = self.connections.iter();
        let ended = connections.filter_map(|(id, entry)| Some((*id, cause(entry)?)));
        let ended: Vec<(u64, Cause)> = ended.collect();
        ended.iter().for_each(|&(id, cause)| self.end(id, cause));
        ended.into_iter().map(|(id, _)| id).collect()
    }

    /// Returns how many connections have ended by cause since the last call.
    pub fn take_ended(&mut self) -> BTreeMap<Cause, u64> {
        std::mem::take(&mut self.ended)
    }

    /// Returns the number of connections.
    pub fn len(&self) -> usize {
        self.connections.len()
    }

    /// Returns whether there are no connections.
    pub fn is_empty(&self) -> bool {
        self.connections.is_empty()
    }

    /// Returns the bytes that all connections hold.
    pub fn used(&self) -> usize {
        self.used
    }

    /// Makes room for further bytes of a connection, and adds those that end for it to `closed`. Ends none if
    /// that wouldn't be enough.
    fn make_room(&mut self, bytes: usize, id: u64, closed: &mut Vec<u64>) -> Result<(), Error> {
        let limit = self.limit.bytes;
        if self.used + bytes <= limit {
            return Ok(());
        }
        let others = self
            .connections
            .iter()
            .filter(|(other, entry)| **other != id && entry.phase != Phase::Working);
        let freed: usize = others.map(|(_, entry)| entry.bytes).sum();
        if self.used + bytes > limit + freed {
            return Err(self.refuse());
        }
        while self.used + bytes > limit {
            let stalled = self.longest(|other, entry| other != id && entry.is_stalled());
            let idle = || self.longest(|other, entry| other != id && entry.is_idle());
            let Some(other) = stalled.or_else(idle) else {
                return Err(self.refuse());
            };
            self.end(other, Cause::Memory);
            closed.push(other);
        }
        Ok(())
    }

    /// Lets the connection of a listener that has been at work for longest end after its answer.
    fn end_after_answer(&mut self, listener: usize) {
        let is_open = |entry: &Entry| entry.phase == Phase::Working && !entry.last;
        let longest = self.longest(|_, entry| entry.listener == listener && is_open(entry));
        if let Some(entry) = longest.and_then(|id| self.connections.get_mut(&id)) {
            entry.last = true;
            *self.ended.entry(Cause::Connections).or_default() += 1;
        }
    }

    /// Returns the connection that has waited longest among those that match.
    fn longest(&self, matches: impl Fn(u64, &Entry) -> bool) -> Option<u64> {
        let matching = self.connections.iter().filter(|(id, entry)| matches(**id, entry));
        matching.min_by_key(|(id, entry)| (entry.progress_at, **id)).map(|(id, _)| *id)
    }

    fn end(&mut self, id: u64, cause: Cause) {
        self.close(id);
        *self.ended.entry(cause).or_default() += 1;
    }

    fn refuse(&mut self) -> Error {
        *self.ended.entry(Cause::Refused).or_default() += 1;
        Error
    }
}
