//! Table of the open connections of a stand-in.

use super::*;

/// Table of the open connections of a stand-in, by the peer's address. Cheap to clone; clones share
/// it.
#[derive(Clone, Debug, Default)]
pub(crate) struct Connections(Arc<Mutex<BTreeMap<SocketAddr, Connection>>>);

/// An open connection.
#[derive(Clone, Copy, Debug, Default)]
struct Connection {
    /// Whether it was opened beyond the limit, so that its requests are refused.
    excess: bool,
    /// Whether it passes no more bytes.
    silent: bool,
}

impl Connections {
    pub(crate) fn close(&self, peer: SocketAddr) {
        lock(&self.0).remove(&peer);
    }

    pub(crate) fn is_excess(&self, peer: SocketAddr) -> bool {
        lock(&self.0).get(&peer).is_some_and(|connection| connection.excess)
    }

    pub(crate) fn is_silent(&self, peer: SocketAddr) -> bool {
        lock(&self.0).get(&peer).is_some_and(|connection| connection.silent)
    }

    /// Adds a connection. It is in excess if `limit` others are open; those in excess or silenced
    /// don't count.
    pub(crate) fn open(&self, peer: SocketAddr, limit: usize) {
        let mut table = lock(&self.0);
        let excess = table.values().filter(|c| !c.excess && !c.silent).count() >= limit;
        table.insert(peer, Connection { excess, silent: false });
    }

    /// Makes every connection that is open now pass no more bytes, for good.
    pub(crate) fn silence(&self) {
        lock(&self.0).values_mut().for_each(|connection| connection.silent = true);
    }
}
