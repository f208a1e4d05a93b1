//! HTTP requests to entries, and the types of their answers.

use super::*;

/// Maximum duration of a request to an entry, including that of the connection.
const REQUEST_TIMEOUT: Duration = Duration::from_millis(3_000);

/// The answer of an entry to `GET /status`.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub(crate) struct Status {
    /// The cells whose owner the entry knows.
    #[serde(default)]
    pub(crate) cells: Vec<Cell>,
    /// The entry.
    pub(crate) name: Name,
    /// The revision in force at the entry; `None` if it has no configuration yet.
    pub(crate) revision: Option<Revision>,
    /// The schedulers that it probes.
    #[serde(default)]
    pub(crate) schedulers: Vec<Scheduler>,
    /// The state of the entry, such as `serving`.
    pub(crate) state: String,
    /// The VMs to which it sends requests.
    #[serde(default)]
    pub(crate) vms: Vec<Host>,
    /// Its availability zone.
    pub(crate) zone: Name,
}

/// A cell and its owner, as an entry last learned of them.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub(crate) struct Cell {
    /// The cell.
    pub(crate) cell: cell::Id,
    /// The owner's epoch.
    pub(crate) epoch: cell::Epoch,
    /// The last scheduler that the entry knows to have owned the cell.
    pub(crate) owner: Name,
}

/// A scheduler, as an entry knows it from its probes.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub(crate) struct Scheduler {
    /// Whether it answered the last probe.
    pub(crate) heard: bool,
    /// Whether it is leaving and accepts nothing new.
    pub(crate) leaving: bool,
    /// The scheduler.
    pub(crate) name: Name,
    /// The revision in force there; `None` if it did not answer the last probe.
    pub(crate) revision: Option<Revision>,
}

/// The use that an entry makes of a VM.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub(crate) struct Host {
    /// Requests of the entry in progress on the VM.
    pub(crate) in_progress: u32,
    /// Maximum of `in_progress` that the entry is allowed.
    pub(crate) slots: u32,
    /// The VM.
    pub(crate) vm: Name,
}

/// Sends a request without a body to an entry, and returns the body of its answer.
pub(crate) async fn send(method: reqwest::Method, url: &str) -> Result<String, Error> {
    let fail = |cause: &dyn Display| {
        let message = format!("cannot reach `{url}`: {cause}");
        Error::new(Exit::NotDone, message, "check the address, or ask another entry")
    };
    let client = http::client(url, REQUEST_TIMEOUT).map_err(|cause| fail(&cause))?;
    let request = client.request(method, url).timeout(REQUEST_TIMEOUT).send().await;
    let response = request.map_err(|cause| fail(&innermost(&cause)))?;
    let status = response.status();
    let text = response.text().await.map_err(|cause| fail(&innermost(&cause)))?;
    if status.is_success() {
        return Ok(text);
    }
    let message = format!("`{url}` answered {status}: {}", text.trim());
    Err(Error::new(Exit::Failed, message, "see docs/operators for what the answer means"))
}

/// Gets `url` from an entry and decodes its JSON.
pub(crate) async fn get<T: DeserializeOwned>(url: &str) -> Result<T, Error> {
    let text = send(reqwest::Method::GET, url).await?;
    serde_json::from_str(&text).map_err(|cause| {
        let message = format!("cannot read the answer of `{url}`: {cause}");
        Error::new(Exit::Failed, message, "use the `oleanderstage` program of the entry's version")
    })
}

/// Joins an entry's address and a path.
pub(crate) fn url(entry: &str, path: &str) -> String {
    format!("{}{path}", entry.trim_end_matches('/'))
}

/// Returns the innermost cause of `error`, such as a refused connection.
fn innermost(error: &reqwest::Error) -> String {
    let mut cause: &dyn std::error::Error = error;
    while let Some(source) = cause.source() {
        cause = source;
    }
    cause.to_string()
}
