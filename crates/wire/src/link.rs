//! A connection to one peer, dialled again when it is over.

use super::*;

/// How long dialling a peer may take.
pub const DIAL_LIMIT: Duration = Duration::from_millis(1_000);

/// A connection to one peer, dialled again when it is over. Cheap to clone.
#[derive(Clone, Debug)]
pub struct Link {
    /// Where the peer is.
    pub address: SocketAddr,
    /// This process, as its certificate names it.
    pub local: Name,
    /// The peer.
    pub peer: Name,
    connection: Arc<tokio::sync::Mutex<Option<quinn::Connection>>>,
    endpoint: quinn::Endpoint,
}

impl Link {
    pub(crate) fn new(
        endpoint: quinn::Endpoint,
        local: Name,
        peer: Name,
        address: SocketAddr,
    ) -> Self {
        Self { address, connection: Default::default(), endpoint, local, peer }
    }

    /// Sends `call` and waits at most `limit` for the reply. An error of `Step::Connect` proves
    /// that the peer got nothing.
    pub async fn call(&self, call: &Call, limit: Duration) -> Result<Reply, Error> {
        tokio::time::timeout(limit, self.exchange(call))
            .await
            .unwrap_or_else(|_| Err(self.fail(error::Step::Receive, "no reply in time")))
    }

    async fn exchange(&self, call: &Call) -> Result<Reply, Error> {
        let connection = self.connection().await?;
        let (mut send, mut receive) =
            connection.open_bi().await.map_err(|cause| self.fail(error::Step::Connect, cause))?;
        codec::write(&mut send, &self.peer, call).await?;
        codec::read(&mut receive, &self.peer).await
    }

    async fn connection(&self) -> Result<quinn::Connection, Error> {
        let mut slot = self.connection.lock().await;
        if let Some(connection) = slot.as_ref().filter(|c| c.close_reason().is_none()) {
            return Ok(connection.clone());
        }
        let connecting = self
            .endpoint
            .connect(self.address, self.peer.as_str())
            .map_err(|cause| self.fail(error::Step::Connect, cause))?;
        let connection = tokio::time::timeout(DIAL_LIMIT, connecting)
            .await
            .map_err(|_| self.fail(error::Step::Connect, "no handshake in time"))?
            .map_err(|cause| self.fail(error::Step::Connect, cause))?;
        *slot = Some(connection.clone());
        Ok(connection)
    }

    fn fail(&self, step: error::Step, cause: impl Display) -> Error {
        Error::new(step, &self.peer, cause)
    }
}
