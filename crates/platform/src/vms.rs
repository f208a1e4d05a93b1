//! Client of the VM list, which lags behind the actual VMs.

use super::*;

/// Timeout of one call.
pub const CALL_TIMEOUT: Duration = Duration::from_millis(2_000);

/// Client of the VM list. Cheap to clone.
#[derive(Clone, Debug)]
pub struct Client {
    address: Arc<str>,
    http: reqwest::Client,
}

/// A VM on the list.
#[derive(Clone, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub struct Vm {
    /// Name of the VM.
    pub name: Name,
    /// Whether the VM will be removed soon.
    pub state: State,
}

/// State of a VM.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum State {
    /// The VM will be removed soon and must get no new work.
    Leaving,
    /// The VM is in service.
    Live,
}

impl Client {
    /// Builds a client for the list at `address`, such as `http://127.0.0.1:2380/vms`.
    pub fn new(address: &str) -> Result<Self, Error> {
        Ok(Self { address: address.into(), http: http::client(address, CALL_TIMEOUT)? })
    }

    /// Returns every VM on the list.
    pub async fn list(&self) -> Result<Vec<Vm>, Error> {
        let step = error::Step::ListVms;
        let response = self
            .http
            .get(self.address.as_ref())
            .timeout(CALL_TIMEOUT)
            .send()
            .await
            .map_err(|e| Error::transport(step, &self.address, &e))?;
        http::decode(step, &self.address, response).await
    }
}
