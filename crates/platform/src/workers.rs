//! Client of the workers, shared by all cells of a scheduler.

use super::*;

/// Timeout for connecting to a worker.
pub const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

/// Client of the workers. Cheap to clone; clones share their connections. After a timeout, all
/// connections to that worker are discarded.
#[derive(Clone, Debug, Default)]
pub struct Client {
    pools: Arc<Mutex<BTreeMap<SocketAddr, reqwest::Client>>>,
}

/// Answer of a worker to commands.
#[derive(Clone, Debug, PartialEq)]
pub enum Answer {
    /// The worker carried out the commands.
    Report(worker::Report),
    /// The worker carried out none of the commands, because the sender's epoch is stale.
    Stale {
        /// The highest epoch that the worker has seen for the cell.
        highest: cell::Epoch,
    },
}

/// Body of the answer to commands of a stale epoch, with status 409.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct StaleEpoch {
    /// Always `stale_epoch`.
    pub error: String,
    /// The highest epoch that the worker has seen for the cell.
    pub highest: cell::Epoch,
}

impl Client {
    /// Returns a client without connections.
    pub fn new() -> Self {
        Self::default()
    }

    /// Fetches the worker's report for the cell; fails after `timeout`.
    pub async fn report(
        &self,
        address: SocketAddr,
        cell: &cell::Id,
        timeout: Duration,
    ) -> Result<worker::Report, Error> {
        let step = error::Step::Report;
        let url = format!("http://{address}/v1/report?cell={cell}");
        let request = self.pool(address)?.get(url);
        let response = self.exchange(step, address, request, timeout).await?;
        http::decode(step, &address.to_string(), response).await
    }

    /// Sends commands; fails after `timeout`. After an error for which `in_doubt` returns true, the
    /// worker may have carried out some or all of them.
    pub async fn send(
        &self,
        address: SocketAddr,
        batch: &worker::Batch,
        timeout: Duration,
    ) -> Result<Answer, Error> {
        let step = error::Step::SendCommands;
        let request = self.pool(address)?.post(format!("http://{address}/v1/commands"));
        let response = self.exchange(step, address, request.json(batch), timeout).await?;
        let peer = address.to_string();
        if response.status() != StatusCode::CONFLICT {
            return http::decode(step, &peer, response).await.map(Answer::Report);
        }
        let body = response.bytes().await.map_err(|e| Error::transport(step, &peer, &e))?;
        let stale: StaleEpoch = serde_json::from_slice(&body)
            .map_err(|cause| Error::new(step, &peer, error::Kind::Damaged, cause))?;
        Ok(Answer::Stale { highest: stale.highest })
    }

    async fn exchange(
        &self,
        step: error::Step,
        address: SocketAddr,
        request: reqwest::RequestBuilder,
        timeout: Duration,
    ) -> Result<reqwest::Response, Error> {
        let result = request.timeout(timeout).send().await;
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
        let pool = http::client(&address.to_string(), CONNECT_TIMEOUT)?;
        pools.insert(address, pool.clone());
        Ok(pool)
    }
}
