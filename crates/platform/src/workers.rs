//! Client of the workers, shared by all of a scheduler's cells.

use super::*;

/// How long dialling a worker may take.
pub const DIAL_LIMIT: Duration = Duration::from_millis(500);

/// Client of the workers. Cheap to clone; clones share their connections. A connection on which
/// no answer came in time is never used again, nor are its worker's other connections.
#[derive(Clone, Debug, Default)]
pub struct Client {
    pools: Arc<Mutex<BTreeMap<SocketAddr, reqwest::Client>>>,
}

/// What a worker answered to commands.
#[derive(Clone, Debug, PartialEq)]
pub enum Answer {
    /// The commands were carried out.
    Report(worker::Report),
    /// Nothing was carried out: the sender's epoch is over.
    Stale {
        /// The highest epoch that the worker has seen for the cell.
        highest: cell::Epoch,
    },
}

/// Body of a refusal for a stale epoch.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct Stale {
    /// `stale_epoch`.
    pub error: String,
    /// The highest epoch that the worker has seen for the cell.
    pub highest: cell::Epoch,
}

impl Client {
    /// Returns a client without connections.
    pub fn new() -> Self {
        Self::default()
    }

    /// Fetches the worker's report for the cell within `limit`.
    pub async fn report(
        &self,
        address: SocketAddr,
        cell: &cell::Id,
        limit: Duration,
    ) -> Result<worker::Report, Error> {
        let step = error::Step::Report;
        let url = format!("http://{address}/v1/report?cell={cell}");
        let request = self.pool(address)?.get(url);
        let response = self.exchange(step, address, request, limit).await?;
        http::decode(step, &address.to_string(), response).await
    }

    /// Sends commands within `limit`. After an error for which `in_doubt` holds, some or all of
    /// them may have been carried out.
    pub async fn send(
        &self,
        address: SocketAddr,
        batch: &worker::Batch,
        limit: Duration,
    ) -> Result<Answer, Error> {
        let step = error::Step::SendCommands;
        let request = self.pool(address)?.post(format!("http://{address}/v1/commands"));
        let response = self.exchange(step, address, request.json(batch), limit).await?;
        let peer = address.to_string();
        if response.status() != StatusCode::CONFLICT {
            return http::decode(step, &peer, response).await.map(Answer::Report);
        }
        let body = response.bytes().await.map_err(|e| Error::transport(step, &peer, &e))?;
        let stale: Stale = serde_json::from_slice(&body)
            .map_err(|cause| Error::new(step, &peer, error::Kind::Damaged, cause))?;
        Ok(Answer::Stale { highest: stale.highest })
    }

    async fn exchange(
        &self,
        step: error::Step,
        address: SocketAddr,
        request: reqwest::RequestBuilder,
        limit: Duration,
    ) -> Result<reqwest::Response, Error> {
        let result = request.timeout(limit).send().await;
        result.map_err(|error| {
            if error.is_timeout() {
                self.pools.lock().unwrap_or_else(PoisonError::into_inner).remove(&address);
            }
            Error::transport(step, &address.to_string(), &error)
        })
    }

    fn pool(&self, address: SocketAddr) -> Result<reqwest::Client, Error> {
        let mut pools = self.pools.lock().unwrap_or_else(PoisonError::into_inner);
        if let Some(pool) = pools.get(&address) {
            return Ok(pool.clone());
        }
        let pool = http::client(&address.to_string(), DIAL_LIMIT)?;
        pools.insert(address, pool.clone());
        Ok(pool)
    }
}
