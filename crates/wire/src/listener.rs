//! The local end of QUIC: takes peers' calls, and dials peers from the same address.

use super::*;

/// The local end of QUIC: takes peers' calls, and dials peers from the same address.
#[derive(Clone, Debug)]
pub struct Listener {
    endpoint: quinn::Endpoint,
    name: Name,
}

/// A call taken from a peer, to be answered once.
#[derive(Debug)]
pub struct Incoming {
    /// The call.
    pub call: Call,
    /// Where it came from.
    pub from: SocketAddr,
    name: Name,
    stream: quinn::SendStream,
}

impl Listener {
    /// Binds `address` with the keys of `identity`.
    pub fn bind(address: SocketAddr, identity: &Identity) -> Result<Self, Error> {
        let fail = |cause| Error::new(error::Step::Listen, &identity.name, cause);
        let mut endpoint = quinn::Endpoint::server(identity.server()?, address)
            .map_err(|e| fail(e.to_string()))?;
        endpoint.set_default_client_config(identity.client()?);
        Ok(Self { endpoint, name: identity.name.clone() })
    }

    /// Returns a link to the peer of that name and address; it dials at the first call.
    pub fn link(&self, peer: &Name, address: SocketAddr) -> Link {
        Link::new(self.endpoint.clone(), self.name.clone(), peer.clone(), address)
    }

    /// Takes connections and calls until closed, and passes each call to `take`. At most
    /// `queue` calls wait; a peer's next call waits unread until there is room.
    pub async fn serve(&self, take: tokio::sync::mpsc::Sender<Incoming>) {
        while let Some(incoming) = self.endpoint.accept().await {
            let name = self.name.clone();
            let take = take.clone();
            tokio::spawn(async move {
                let Ok(connection) = incoming.await else { return };
                while let Ok(streams) = connection.accept_bi().await {
                    let from = connection.remote_address();
                    tokio::spawn(receive(streams, from, name.clone(), take.clone()));
                }
            });
        }
    }

    /// Waits until every connection has said what it had to say, then closes.
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
    take: tokio::sync::mpsc::Sender<Incoming>,
) {
    let Ok(call) = codec::read(&mut receive, &name).await else { return };
    let _ = take.send(Incoming { call, from, name, stream }).await;
}
