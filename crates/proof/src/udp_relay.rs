//! A relay of UDP datagrams that can swallow.

use super::*;

/// The longest datagram, in bytes.
const MAX_DATAGRAM_BYTES: usize = 65_536;

/// A relay of UDP datagrams to one target, with a socket of its own for each sender. Dropping it
/// stops it.
#[derive(Debug)]
pub struct UdpRelay {
    /// Where it listens.
    pub address: SocketAddr,
    pass: JoinHandle<()>,
    swallow: Arc<Mutex<bool>>,
}

impl UdpRelay {
    /// Starts a relay to `target` at `address`.
    pub async fn start(address: SocketAddr, target: SocketAddr) -> Result<Self, Error> {
        let socket = Arc::new(UdpSocket::bind(address).await?);
        let address = socket.local_addr()?;
        let swallow = Arc::new(Mutex::new(false));
        let pass = tokio::spawn(forward(socket, target, swallow.clone()));
        Ok(Self { address, pass, swallow })
    }

    /// Swallows every datagram of both directions, or passes them on again.
    pub fn swallow(&self, swallow: bool) {
        *lock(&self.swallow) = swallow;
    }
}

impl Drop for UdpRelay {
    fn drop(&mut self) {
        self.pass.abort();
    }
}

async fn backward(
    near: Arc<UdpSocket>,
    far: Arc<UdpSocket>,
    sender: SocketAddr,
    swallow: Arc<Mutex<bool>>,
) {
    let mut datagram = vec![0; MAX_DATAGRAM_BYTES];
    loop {
        let Ok(read) = far.recv(&mut datagram).await else { continue };
        if !*lock(&swallow) {
            let _ = near.send_to(&datagram[..read], sender).await;
        }
    }
}

async fn forward(near: Arc<UdpSocket>, target: SocketAddr, swallow: Arc<Mutex<bool>>) {
    let mut senders: BTreeMap<SocketAddr, Arc<UdpSocket>> = BTreeMap::new();
    let mut answers = tokio::task::JoinSet::new();
    let mut datagram = vec![0; MAX_DATAGRAM_BYTES];
    loop {
        let Ok((read, sender)) = near.recv_from(&mut datagram).await else { continue };
        if *lock(&swallow) {
            continue;
        }
        let far = match senders.get(&sender) {
            Some(far) => far.clone(),
            None => {
                let Ok(far) = dial(target).await else { continue };
                let far = Arc::new(far);
                senders.insert(sender, far.clone());
                answers.spawn(backward(near.clone(), far.clone(), sender, swallow.clone()));
                far
            }
        };
        let _ = far.send(&datagram[..read]).await;
    }
}

async fn dial(target: SocketAddr) -> io::Result<UdpSocket> {
    let socket = UdpSocket::bind(SocketAddr::new(target.ip(), 0)).await?;
    socket.connect(target).await?;
    Ok(socket)
}
