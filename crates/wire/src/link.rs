//! Connection to one peer that is opened again after it closes.

use super::*;

/// How long the handshake with a peer may take.
pub const HANDSHAKE_TIMEOUT: Duration = Duration::from_millis(1_000);

/// Connection to one peer. A call after it has closed opens a new one. Cheap to clone: clones share
/// the connection.
#[derive(Clone, Debug)]
pub struct Link {
    /// Address of the peer.
    pub address: SocketAddr,
    /// Name of this process, as in its certificate.
    pub local: Name,
    /// Name of the peer, as in its certificate.
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

    /// Sends `call` and waits for the reply; fails after `timeout`. An error of `Step::Connect`
    /// proves that the peer has received nothing.
    pub async fn call(&self, call: &Call, timeout: Duration) -> Result<Reply, Error> {
        tokio::time::timeout(timeout, self.exchange(call))
            .await
            .unwrap_or_else(|_| Err(self.error(error::Step::Receive, "no reply in time")))
    }

    async fn exchange(&self, call: &Call) -> Result<Reply, Error> {
        let connection = self.connection().await?;
        let (mut send, mut receive) =
            connection.open_bi().await.map_err(|cause| self.error(error::Step::Connect, cause))?;
        codec::write(&mut send, &self.peer, call).await?;
        codec::read(&mut receive, &self.peer).await
    }

    async fn connection(&self) -> Result<quinn::Connection, Error> {
        let mut current = self.connection.lock().await;
        if let Some(connection) = current.as_ref().filter(|c| c.close_reason().is_none()) {
            return Ok(connection.clone());
        }
        let connecting = self
            .endpoint
            .connect(self.address, self.peer.as_str())
            .map_err(|cause| self.error(error::Step::Connect, cause))?;
        let connection = tokio::time::timeout(HANDSHAKE_TIMEOUT, connecting)
            .await
            .map_err(|_| self.error(error::Step::Connect, "no handshake in time"))?
            .map_err(|cause| self.error(error::Step::Connect, cause))?;
        *current = Some(connection.clone());
        Ok(connection)
    }

    fn error(&self, step: error::Step, cause: impl Display) -> Error {
        Error::new(step, &self.peer, cause)
    }
}
