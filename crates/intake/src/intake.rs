//! The table of a process, shared by its connections.

use super::*;

/// What clients make a process hold. Clones share it.
#[derive(Clone, Debug)]
pub struct Intake {
    started: Instant,
    state: Arc<Mutex<State>>,
}

#[derive(Debug)]
struct State {
    table: Table,
    /// Closes each connection of the table.
    closers: BTreeMap<u64, CancellationToken>,
    /// The number of connections that have not been dropped, also of those that have left the table.
    held: usize,
}

/// The most connections that are being closed while others are accepted.
const MAX_CLOSING: usize = 16;

impl State {
    fn cancel(&mut self, closed: &[u64]) {
        closed.iter().filter_map(|id| self.closers.remove(id)).for_each(|closer| closer.cancel());
    }
}

impl Intake {
    /// Returns the intake of a process with this limit.
    pub fn new(limit: Limit) -> Self {
        let state = State { table: Table::new(limit), closers: BTreeMap::new(), held: 0 };
        Self { started: Instant::now(), state: Arc::new(Mutex::new(state)) }
    }

    /// Adds a connection of a listener, and closes others if that is needed for it.
    ///
    /// # Errors
    ///
    /// The connection has to be closed: no other one could be closed for it.
    pub fn open(&self, listener: usize) -> Result<Connection, Error> {
        let now = self.now();
        let mut state = self.lock();
        let (id, closed) = state.table.open(now, listener)?;
        state.cancel(&closed);
        let closer = CancellationToken::new();
        state.closers.insert(id, closer.clone());
        state.held += 1;
        Ok(Connection::new(self.clone(), id, closer))
    }

    /// Waits until few connections are being closed, whose descriptors are still in use. To be called before a
    /// connection is accepted.
    pub async fn settle(&self) {
        while self.closing() > MAX_CLOSING {
            tokio::task::yield_now().await;
        }
    }

    /// Returns the number of connections that have left the table and are not closed yet.
    fn closing(&self) -> usize {
        let state = self.lock();
        state.held.saturating_sub(state.table.len())
    }

    /// Closes the connections that have waited too long for their clients.
    pub fn expire(&self) {
        let now = self.now();
        let mut state = self.lock();
        let closed = state.table.expire(now);
        state.cancel(&closed);
    }

    /// Returns how many connections were closed or refused by cause since the last call.
    pub fn take_ended(&self) -> BTreeMap<Cause, u64> {
        self.lock().table.take_ended()
    }

    /// Returns the number of connections and the bytes that they hold.
    pub fn usage(&self) -> (usize, usize) {
        let state = self.lock();
        (state.table.len(), state.table.used())
    }

    pub(crate) fn grow(&self, id: u64, bytes: usize) -> Result<(), Error> {
        let mut state = self.lock();
        let closed = state.table.grow(id, bytes)?;
        state.cancel(&closed);
        Ok(())
    }

    pub(crate) fn shrink(&self, id: u64, bytes: usize) {
        self.lock().table.shrink(id, bytes);
    }

    pub(crate) fn phase(&self, id: u64) -> Option<Phase> {
        self.lock().table.phase(id)
    }

    pub(crate) fn is_last(&self, id: u64) -> bool {
        self.lock().table.is_last(id)
    }

    pub(crate) fn enter(&self, id: u64, phase: Phase) {
        let now = self.now();
        self.lock().table.enter(id, phase, now);
    }

    pub(crate) fn close(&self, id: u64) {
        let mut state = self.lock();
        state.table.close(id);
        state.closers.remove(&id);
        state.held -= 1;
    }

    fn now(&self) -> u64 {
        self.started.elapsed().as_millis() as u64
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
