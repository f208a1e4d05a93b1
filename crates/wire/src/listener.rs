//! Local QUIC endpoint: accepts calls from peers, and connects to peers from the same address.

use super::*;

/// Local QUIC endpoint: accepts calls from peers, and connects to peers from the same address.
#[derive(Clone, Debug)]
pub struct Listener {
    endpoint: quinn::Endpoint,
    name: Name,
}

/// A call received from a peer, to be answered once.
#[derive(Debug)]
pub struct Incoming {
    /// The call.
    pub call: Call,
    /// Address of the peer.
    pub from: SocketAddr,
    name: Name,
    stream: quinn::SendStream,
}

impl Listener {
    /// Binds `address` with the keys of `identity`.
    pub fn bind(address: SocketAddr, identity: &Identity) -> Result<Self, Error> {
        let fail = |cause| Error::new(error::Step::Listen, &identity.name, cause);
        let mut endpoint = quinn::Endpoint::server(identity.server_config()?, address)
            .map_err(|e| fail(e.to_string()))?;
        endpoint.set_default_client_config(identity.client_config()?);
        Ok(Self { endpoint, name: identity.name.clone() })
    }

    /// Returns a link to the peer, which connects at the first call.
    pub fn link(&self, peer: &Name, address: SocketAddr) -> Link {
        Link::new(self.endpoint.clone(), self.name.clone(), peer.clone(), address)
    }

    /// Accepts connections until closed, and sends each call received on them to `calls`. While
    /// that channel is full, calls wait in tasks of their own, at most `identity::MAX_STREAMS` for
    /// each connection.
    pub async fn serve(&self, calls: tokio::sync::mpsc::Sender<Incoming>) {
        while let Some(incoming) = self.endpoint.accept().await {
            let name = self.name.clone();
            let calls = calls.clone();
            tokio::spawn(async move {
                let Ok(connection) = incoming.await else { return };
                while let Ok(streams) = connection.accept_bi().await {
                    let from = connection.remote_address();
                    tokio::spawn(receive(streams, from, name.clone(), calls.clone()));
                }
            });
        }
    }

    /// Closes every connection at once, then waits until the peers have been notified.
    pub async fn close(&self) {
        self.endpoint.close(0u32.into(), b"leaving");
        self.endpoint.wait_idle().await;
    }
}

impl Incoming {
    /// Answers the call.
    pub async fn answer(mut self, reply: &Reply) -> Result<(), Error> {
        codec::write(&mut self.stream, &self.name, reply).await
    }
}

async fn receive(
    (stream, mut receive): (quinn::SendStream, quinn::RecvStream),
    from: SocketAddr,
    name: Name,
    calls: tokio::sync::mpsc::Sender<Incoming>,
) {
    let Ok(call) = codec::read(&mut receive, &name).await else { return };
    let _ = calls.send(Incoming { call, from, name, stream }).await;
}
