//! Client of the VM list, which lags.

use super::*;

/// How long one call may take.
pub const CALL_LIMIT: Duration = Duration::from_millis(2_000);

/// Client of the VM list. Cheap to clone.
#[derive(Clone, Debug)]
pub struct Client {
    address: Arc<str>,
    http: reqwest::Client,
}

/// One VM.
#[derive(Clone, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub struct Vm {
    /// The VM.
    pub name: Name,
    /// Whether it stays.
    pub state: State,
}

/// Whether a VM stays.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum State {
    /// It will go soon: give it nothing new.
    Leaving,
    /// It stays.
    Live,
}

impl Client {
    /// Builds a client for the list at `address`, such as `http://127.0.0.1:2380/vms`.
    pub fn new(address: &str) -> Result<Self, Error> {
        Ok(Self { address: address.into(), http: http::client(address, CALL_LIMIT)? })
    }

    /// Returns every VM on the list.
    pub async fn list(&self) -> Result<Vec<Vm>, Error> {
        let step = error::Step::ListVms;
        let response = self
            .http
            .get(self.address.as_ref())
            .timeout(CALL_LIMIT)
            .send()
            .await
            .map_err(|e| Error::transport(step, &self.address, &e))?;
        http::decode(step, &self.address, response).await
    }
}
