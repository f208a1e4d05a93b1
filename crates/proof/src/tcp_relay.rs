//! A relay of TCP connections that can cut, swallow and delay.

use super::*;

/// Bytes passed on at once.
const CHUNK_BYTES: usize = 16 << 10;

/// A relay of TCP connections to one target. Dropping it stops it.
#[derive(Debug)]
pub struct TcpRelay {
    /// Where it listens.
    pub address: SocketAddr,
    accept: JoinHandle<()>,
    state: Arc<Mutex<State>>,
}

/// What the relay does to connections.
#[derive(Debug, Default)]
struct State {
    /// Whether connections are closed, and new ones too.
    cut: bool,
    delay: Duration,
    /// Connections with a lower number pass nothing on.
    first_heard: u64,
    /// The number of the next connection.
    next: u64,
    /// Closes open connections when cancelled.
    open: CancellationToken,
}

impl TcpRelay {
    /// Closes every connection and every new one, until healed.
    pub fn cut(&self) {
        let mut state = lock(&self.state);
        state.cut = true;
        std::mem::take(&mut state.open).cancel();
    }

    /// Passes each chunk on after `delay`.
    pub fn delay(&self, delay: Duration) {
        lock(&self.state).delay = delay;
    }

    /// Passes new connections on again; those that were swallowed stay silent.
    pub fn heal(&self) {
        let mut state = lock(&self.state);
        state.cut = false;
        state.delay = Duration::ZERO;
    }

    /// Starts a relay to `target` at `address`.
    pub async fn start(address: SocketAddr, target: SocketAddr) -> Result<Self, Error> {
        let listener = TcpListener::bind(address).await?;
        let address = listener.local_addr()?;
        let state = Arc::new(Mutex::new(State::default()));
        let accept = tokio::spawn(accept(listener, target, state.clone()));
        Ok(Self { accept, address, state })
    }

    /// Lets the connections that are open now pass nothing on any more, without closing them.
    pub fn swallow(&self) {
        let mut state = lock(&self.state);
        state.first_heard = state.next;
    }
}

impl Drop for TcpRelay {
    fn drop(&mut self) {
        self.accept.abort();
        lock(&self.state).open.cancel();
    }
}

async fn accept(listener: TcpListener, target: SocketAddr, state: Arc<Mutex<State>>) {
    while let Ok((near, _)) = listener.accept().await {
        let (number, open) = {
            let mut state = lock(&state);
            if state.cut {
                continue;
            }
            state.next += 1;
            (state.next - 1, state.open.clone())
        };
        let state = state.clone();
        tokio::spawn(async move {
            let Ok(far) = TcpStream::connect(target).await else { return };
            let _ = near.set_nodelay(true);
            let _ = far.set_nodelay(true);
            let (near_read, near_write) = near.into_split();
            let (far_read, far_write) = far.into_split();
            tokio::select! {
                () = open.cancelled() => {}
                () = async {
                    tokio::join!(
                        pass(near_read, far_write, number, &state),
                        pass(far_read, near_write, number, &state),
                    );
                } => {}
            }
        });
    }
}

/// Passes bytes on until either end closes.
async fn pass(
    mut from: tokio::net::tcp::OwnedReadHalf,
    mut to: tokio::net::tcp::OwnedWriteHalf,
    number: u64,
    state: &Mutex<State>,
) {
    let mut chunk = vec![0; CHUNK_BYTES];
    loop {
        let read = from.read(&mut chunk).await.unwrap_or(0);
        let (heard, delay) = {
            let state = lock(state);
            (number >= state.first_heard, state.delay)
        };
        if !heard {
            return std::future::pending().await;
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
