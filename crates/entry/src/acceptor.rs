//! Accepts callers' connections within the limits of the process.

use super::*;
use {
    clients::Clients,
    salvo::conn::{
        Accepted, Holding,
        tcp::{TcpAcceptor, TcpCoupler},
    },
    salvo::fuse::ArcFusePolicy,
    stream::Stream,
};

/// Accepts connections and registers them. One that can't be held is closed at once.
pub(crate) struct Acceptor {
    pub(crate) clients: Clients,
    pub(crate) inner: TcpAcceptor,
}

impl salvo::conn::Acceptor for Acceptor {
    type Coupler = TcpCoupler<Self::Stream>;
    type Stream = Stream;

    async fn accept(
        &mut self,
        policy: Option<ArcFusePolicy>,
    ) -> io::Result<Accepted<Self::Coupler, Self::Stream>> {
        loop {
            self.clients.settle().await;
            let accepted = self.inner.accept(policy.clone()).await?;
            let unknown = || io::Error::other("the peer has no IP address");
            let from = accepted.remote_addr.clone().into_std().ok_or_else(unknown)?;
            // Counted and logged by the clients.
            let Some(connection) = self.clients.open(from) else { continue };
            let clients = self.clients.clone();
            return Ok(accepted.map_into(
                |_| TcpCoupler::new(),
                |inner| Stream::new(inner, clients, connection, from),
            ));
        }
    }

    fn holdings(&self) -> &[Holding] {
        self.inner.holdings()
    }
}
