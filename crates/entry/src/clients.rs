//! The connections of callers, and what they make this process hold.

use super::*;
use {
    cadence::Counted,
    context::Context,
    oleanderstage_intake::{Connection, Intake, Limit, Phase, Reservation},
};

/// The connections of callers by their addresses. Clones share them.
#[derive(Clone, Debug)]
pub(crate) struct Clients {
    connections: Arc<Mutex<BTreeMap<SocketAddr, Client>>>,
    intake: Intake,
}

/// A connection, and the number of its requests that were read whole and are not answered yet.
#[derive(Debug)]
struct Client {
    connection: Arc<Connection>,
    working: usize,
}

/// A request in progress. While one of a connection's requests has been read whole, the connection is not closed
/// for others.
#[derive(Debug)]
pub(crate) struct Exchange {
    clients: Clients,
    from: Option<SocketAddr>,
    working: bool,
}

/// Interval between two counts of the connections that were closed or refused.
const COUNT_INTERVAL: Duration = Duration::from_secs(1);
/// The time limit of callers, in milliseconds. Nothing expires by it here: the server has time limits of its own.
const TIMEOUT_MS: u64 = 3_000;

impl Clients {
    /// Returns the clients of a process with this memory, in MiB; 0 stands for a default.
    pub(crate) fn new(memory_mib: usize) -> Self {
        let descriptors = rustix::process::getrlimit(rustix::process::Resource::Nofile).current;
        let descriptors = descriptors.map_or(0, |most| usize::try_from(most).unwrap_or(0));
        let limit = Limit::new(memory_mib << 20, descriptors, &[100], TIMEOUT_MS);
        Self { connections: Arc::default(), intake: Intake::new(limit) }
    }

    /// Waits until few connections are being closed.
    pub(crate) async fn settle(&self) {
        self.intake.settle().await;
    }

    /// Adds a connection; `None` if it has to be closed at once.
    pub(crate) fn open(&self, from: SocketAddr) -> Option<Arc<Connection>> {
        let connection = Arc::new(self.intake.open(0).ok()?);
        let client = Client { connection: connection.clone(), working: 0 };
        lock(&self.connections).insert(from, client);
        Some(connection)
    }

    /// Removes a connection that has ended.
    pub(crate) fn close(&self, from: SocketAddr, connection: &Arc<Connection>) {
        let mut connections = lock(&self.connections);
        let is_same = |client: &Client| Arc::ptr_eq(&client.connection, connection);
        if connections.get(&from).is_some_and(is_same) {
            connections.remove(&from);
        }
    }

    /// Returns whether the connection from an address has to end after the answer that is being prepared.
    pub(crate) fn is_last(&self, from: Option<SocketAddr>) -> bool {
        let connections = lock(&self.connections);
        let client = from.and_then(|from| connections.get(&from));
        client.is_some_and(|client| client.connection.is_last())
    }

    /// Begins an exchange on the connection from an address.
    pub(crate) fn begin(&self, from: Option<SocketAddr>) -> Exchange {
        let mut exchange = Exchange { clients: self.clone(), from, working: false };
        exchange.work();
        exchange
    }

    /// Counts and logs the connections that were closed or refused.
    pub(crate) async fn count(context: Arc<Context>) {
        let intake = &context.clients.intake;
        loop {
            tokio::time::sleep(COUNT_INTERVAL).await;
            for (cause, count) in intake.take_ended() {
                let (connections, held_bytes) = intake.usage();
                let cause = cause.name();
                let _ = context.metrics.count(&format!("clients.ended.{cause}"), count as i64);
                log::warn!(cause, count, connections, held_bytes; "clients_ended");
            }
        }
    }
}

impl Exchange {
    /// Records that the body is being read, and returns what is held for it.
    pub(crate) fn receive(&mut self) -> Option<Reservation> {
        self.rest(Phase::Receiving);
        let connections = lock(&self.clients.connections);
        let client = connections.get(&self.from?)?;
        Some(Reservation::new(client.connection.clone()))
    }

    /// Records that the request has been read whole.
    pub(crate) fn work(&mut self) {
        let mut connections = lock(&self.clients.connections);
        let client = self.from.and_then(|from| connections.get_mut(&from));
        if let Some(client) = client.filter(|_| !self.working) {
            client.working += 1;
            client.connection.enter(Phase::Working);
            self.working = true;
        }
    }

    /// Records that nothing is done for the request; unless another one is at work, the connection waits for
    /// its client.
    fn rest(&mut self, phase: Phase) {
        let mut connections = lock(&self.clients.connections);
        let client = self.from.and_then(|from| connections.get_mut(&from));
        if let Some(client) = client.filter(|_| self.working) {
            client.working = client.working.saturating_sub(1);
            if client.working == 0 {
                client.connection.enter(phase);
            }
        }
        self.working = false;
    }
}

impl Drop for Exchange {
    fn drop(&mut self) {
        self.rest(Phase::Idle);
    }
}
