//! A UDP relay that can drop all datagrams.

use super::*;

/// Longest UDP datagram, in bytes.
const MAX_DATAGRAM_BYTES: usize = 65_536;

/// A UDP relay to one target, with its own socket for each sender. Dropping it stops it.
#[derive(Debug)]
pub struct UdpRelay {
    /// Address at which it listens.
    pub address: SocketAddr,
    forward: JoinHandle<()>,
    silent: Arc<Mutex<bool>>,
}

impl UdpRelay {
    /// Starts a relay to `target` at `address`.
    pub async fn start(address: SocketAddr, target: SocketAddr) -> Result<Self, Error> {
        let socket = Arc::new(UdpSocket::bind(address).await?);
        let address = socket.local_addr()?;
        let silent = Arc::new(Mutex::new(false));
        let forward = tokio::spawn(forward(socket, target, silent.clone()));
        Ok(Self { address, forward, silent })
    }

    /// Drops every datagram in both directions, or forwards them again.
    pub fn set_silent(&self, silent: bool) {
        *lock(&self.silent) = silent;
    }
}

impl Drop for UdpRelay {
    fn drop(&mut self) {
        self.forward.abort();
    }
}

/// Forwards the target's datagrams back to one sender.
async fn backward(
    listener: Arc<UdpSocket>,
    upstream: Arc<UdpSocket>,
    sender: SocketAddr,
    silent: Arc<Mutex<bool>>,
) {
    let mut datagram = vec![0; MAX_DATAGRAM_BYTES];
    loop {
        let Ok(read) = upstream.recv(&mut datagram).await else { continue };
        if !*lock(&silent) {
            let _ = listener.send_to(&datagram[..read], sender).await;
        }
    }
}

/// Forwards the senders' datagrams to the target.
async fn forward(listener: Arc<UdpSocket>, target: SocketAddr, silent: Arc<Mutex<bool>>) {
    let mut upstreams: BTreeMap<SocketAddr, Arc<UdpSocket>> = BTreeMap::new();
    let mut replies = tokio::task::JoinSet::new();
    let mut datagram = vec![0; MAX_DATAGRAM_BYTES];
    loop {
        let Ok((read, sender)) = listener.recv_from(&mut datagram).await else { continue };
        if *lock(&silent) {
            continue;
        }
        let upstream = match upstreams.get(&sender) {
            Some(upstream) => upstream.clone(),
            None => {
                let Ok(upstream) = connect(target).await else { continue };
                let upstream = Arc::new(upstream);
                upstreams.insert(sender, upstream.clone());
                replies.spawn(backward(listener.clone(), upstream.clone(), sender, silent.clone()));
                upstream
            }
        };
        let _ = upstream.send(&datagram[..read]).await;
    }
}

/// Opens a socket on the target's IP address that sends to the target.
async fn connect(target: SocketAddr) -> io::Result<UdpSocket> {
    let socket = UdpSocket::bind(SocketAddr::new(target.ip(), 0)).await?;
    socket.connect(target).await?;
    Ok(socket)
}
