//! Clients that don't behave: each opens a connection, sends what its script says and keeps the connection open.

use super::*;

/// What one client sends.
#[derive(Clone, Debug)]
pub struct Script {
    /// What it sends first.
    pub opening: Vec<u8>,
    /// What it sends after that, again and again.
    pub piece: Arc<[u8]>,
    /// How often it sends the piece.
    pub pieces: usize,
}

/// Clients with open connections, which never read. Dropping it closes their connections.
#[derive(Debug)]
pub struct Crowd {
    stop: CancellationToken,
    thread: Option<std::thread::JoinHandle<()>>,
}

/// How long a client may take to send its script, after which it just stays.
const SEND_TIMEOUT: Duration = Duration::from_secs(60);

impl Crowd {
    /// Starts a client for each script, on a thread of their own, and returns once each of them has sent
    /// everything, has been disconnected, or has taken longer than `SEND_TIMEOUT`.
    pub async fn gather(address: SocketAddr, scripts: Vec<Script>) -> Self {
        let stop = CancellationToken::new();
        let stopped = stop.clone();
        let (sent, all_sent) = tokio::sync::oneshot::channel();
        let thread = std::thread::spawn(move || {
            let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
            runtime.expect("a runtime").block_on(async move {
                let mut clients = tokio::task::JoinSet::new();
                for script in scripts {
                    clients.spawn(send(address, script));
                }
                let connections = clients.join_all().await;
                let _ = sent.send(());
                stopped.cancelled().await;
                drop(connections);
            });
        });
        let _ = all_sent.await;
        Self { stop, thread: Some(thread) }
    }
}

impl Drop for Crowd {
    fn drop(&mut self) {
        self.stop.cancel();
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
    }
}

/// Sends a script and returns the connection, unless the peer has closed it.
async fn send(address: SocketAddr, script: Script) -> Option<TcpStream> {
    let mut stream = TcpStream::connect(address).await.ok()?;
    let sending = async {
        stream.write_all(&script.opening).await?;
        for _ in 0..script.pieces {
            stream.write_all(&script.piece).await?;
        }
        Ok::<_, io::Error>(())
    };
    match tokio::time::timeout(SEND_TIMEOUT, sending).await {
        Ok(Err(_)) => None,
        Ok(Ok(())) | Err(_) => Some(stream),
    }
}
