//! A TCP relay that injects faults: closed, silent and slow connections.

use super::*;

/// Largest number of bytes forwarded at once.
const CHUNK_BYTES: usize = 16 << 10;
/// How long bytes can be held before their sender gives the connection up.
const MAX_HOLD: Duration = Duration::from_secs(3);

/// A TCP relay to one target. Dropping it stops it and closes its connections.
#[derive(Debug)]
pub struct TcpRelay {
    /// Address at which it listens.
    pub address: SocketAddr,
    accept: JoinHandle<()>,
    state: Arc<Mutex<State>>,
}

/// The faults that the relay injects.
#[derive(Debug, Default)]
struct State {
    /// Whether new connections are closed at once.
    cut: bool,
    /// Delay of each forwarded chunk.
    delay: Duration,
    /// Whether bytes are kept back until healed.
    held: watch::Sender<bool>,
    /// Connections with a lower number stay open but carry nothing.
    first_forwarded: u64,
    /// Number of the next connection.
    next: u64,
    /// Closes the connections that are open now when cancelled.
    close: CancellationToken,
}

impl TcpRelay {
    /// Closes all open connections, and every new one until healed.
    pub fn cut(&self) {
        let mut state = lock(&self.state);
        state.cut = true;
        std::mem::take(&mut state.close).cancel();
    }

    /// Holds the bytes of open and of new connections back, as a network that drops packets does: they
    /// arrive once healed, unless their sender has given up by then.
    pub fn hold(&self) {
        lock(&self.state).held.send_replace(true);
    }

    /// Forwards each chunk after `delay`.
    pub fn delay(&self, delay: Duration) {
        lock(&self.state).delay = delay;
    }

    /// Ends cuts, holds and delays; connections that were silenced stay silent.
    pub fn heal(&self) {
        let mut state = lock(&self.state);
        state.cut = false;
        state.delay = Duration::ZERO;
        state.held.send_replace(false);
    }

    /// Starts a relay to `target` at `address`.
    pub async fn start(address: SocketAddr, target: SocketAddr) -> Result<Self, Error> {
        let listener = TcpListener::bind(address).await?;
        let address = listener.local_addr()?;
        let state = Arc::new(Mutex::new(State::default()));
        let accept = tokio::spawn(accept(listener, target, state.clone()));
        Ok(Self { accept, address, state })
    }

    /// Silences the connections that are open now: they stay open but carry nothing any more.
    pub fn silence(&self) {
        let mut state = lock(&self.state);
        state.first_forwarded = state.next;
    }
}

impl Drop for TcpRelay {
    fn drop(&mut self) {
        self.accept.abort();
        lock(&self.state).close.cancel();
    }
}

async fn accept(listener: TcpListener, target: SocketAddr, state: Arc<Mutex<State>>) {
    while let Ok((client, _)) = listener.accept().await {
        let (number, close) = {
            let mut state = lock(&state);
            if state.cut {
                continue;
            }
            state.next += 1;
            (state.next - 1, state.close.clone())
        };
        let state = state.clone();
        tokio::spawn(async move {
            let Ok(server) = TcpStream::connect(target).await else { return };
            let _ = client.set_nodelay(true);
            let _ = server.set_nodelay(true);
            let (client_read, client_write) = client.into_split();
            let (server_read, server_write) = server.into_split();
            tokio::select! {
                () = close.cancelled() => {}
                () = async {
                    tokio::join!(
                        forward(client_read, server_write, number, &state),
                        forward(server_read, client_write, number, &state),
                    );
                } => {}
            }
        });
    }
}

/// Forwards bytes in one direction until either end closes.
async fn forward(
    mut from: tokio::net::tcp::OwnedReadHalf,
    mut to: tokio::net::tcp::OwnedWriteHalf,
    number: u64,
    state: &Mutex<State>,
) {
    let mut chunk = vec![0; CHUNK_BYTES];
    loop {
        let read = from.read(&mut chunk).await.unwrap_or(0);
        let (forwarded, delay, mut held) = {
            let state = lock(state);
            (number >= state.first_forwarded, state.delay, state.held.subscribe())
        };
        if !forwarded {
            return std::future::pending().await;
        }
        let released = held.wait_for(|held| !held);
        if tokio::time::timeout(MAX_HOLD, released).await.is_err() {
            return;
        }
        if read == 0 {
            return;
        }
        if !delay.is_zero() {
            tokio::time::sleep(delay).await;
        }
        if to.write_all(&chunk[..read]).await.is_err() {
            return;
        }
    }
}
