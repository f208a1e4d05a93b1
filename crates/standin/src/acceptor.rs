//! Acceptor that registers each connection in a table.

use super::*;

/// Accepts connections and registers each in the table. Those beyond the limit are accepted too, so
/// that each request on them can be refused.
pub(crate) struct Acceptor {
    pub(crate) connections: connections::Connections,
    pub(crate) inner: TcpAcceptor,
    pub(crate) limit: usize,
}

impl salvo::conn::Acceptor for Acceptor {
    type Coupler = TcpCoupler<Self::Stream>;
    type Stream = stream_guard::StreamGuard;

    async fn accept(
        &mut self,
        policy: Option<ArcFusePolicy>,
    ) -> io::Result<Accepted<Self::Coupler, Self::Stream>> {
        let accepted = self.inner.accept(policy).await?;
        let unknown = || io::Error::other("the peer has no IP address");
        let peer = accepted.remote_addr.clone().into_std().ok_or_else(unknown)?;
        self.connections.open(peer, self.limit);
        let connections = self.connections.clone();
        Ok(accepted.map_into(
            |_| TcpCoupler::new(),
            |stream| stream_guard::StreamGuard::new(connections, stream, peer),
        ))
    }

    fn holdings(&self) -> &[Holding] {
        self.inner.holdings()
    }
}
