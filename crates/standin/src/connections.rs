//! The open connections of a stand-in.

use super::*;

/// The open connections of a stand-in. Cheap to clone; clones share them.
#[derive(Clone, Debug, Default)]
pub(crate) struct Connections(Arc<Mutex<BTreeMap<SocketAddr, Connection>>>);

/// An open connection.
#[derive(Clone, Copy, Debug, Default)]
struct Connection {
    /// Whether it was opened beyond the limit.
    excess: bool,
    /// Whether nothing gets through any more.
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

    pub(crate) fn open(&self, peer: SocketAddr, limit: usize) {
        let mut table = lock(&self.0);
        let excess = table.values().filter(|c| !c.excess && !c.silent).count() >= limit;
        table.insert(peer, Connection { excess, silent: false });
    }

    /// Lets nothing through on any connection that is open now.
    pub(crate) fn silence(&self) {
        lock(&self.0).values_mut().for_each(|connection| connection.silent = true);
    }
}
