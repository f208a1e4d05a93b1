//! Asking entries over HTTP.

use super::*;

/// How long an entry may take to answer.
const LIMIT: Duration = Duration::from_millis(3_000);

/// What `GET /status` of an entry shows.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub(crate) struct Status {
    /// Cells that the entry knows an owner of.
    #[serde(default)]
    pub(crate) cells: Vec<Cell>,
    /// The entry.
    pub(crate) name: Name,
    /// The revision in force there.
    pub(crate) revision: Option<Revision>,
    /// The schedulers that it probes.
    #[serde(default)]
    pub(crate) schedulers: Vec<Scheduler>,
    /// Whether it serves or leaves.
    pub(crate) state: String,
    /// The VMs that it sends to.
    #[serde(default)]
    pub(crate) vms: Vec<Host>,
    /// Its availability zone.
    pub(crate) zone: Name,
}

/// A cell as an entry knows it.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub(crate) struct Cell {
    /// The cell.
    pub(crate) cell: cell::Id,
    /// The owner's epoch.
    pub(crate) epoch: cell::Epoch,
    /// The scheduler that owned it last.
    pub(crate) owner: Name,
}

/// A scheduler as an entry hears it.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub(crate) struct Scheduler {
    /// Whether it answered the last probe.
    pub(crate) heard: bool,
    /// Whether it takes nothing new.
    pub(crate) leaving: bool,
    /// The scheduler.
    pub(crate) name: Name,
    /// The revision in force there.
    pub(crate) revision: Option<Revision>,
}

/// A VM as an entry uses it.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub(crate) struct Host {
    /// Requests of the entry in progress there.
    pub(crate) in_progress: u32,
    /// The most that the entry may have there.
    pub(crate) slots: u32,
    /// The VM.
    pub(crate) vm: Name,
}

/// Sends a request without a body to an entry, and returns the answer's text.
pub(crate) async fn send(method: reqwest::Method, url: &str) -> Result<String, Error> {
    let fail = |cause: &dyn Display| {
        let message = format!("cannot reach `{url}`: {cause}");
        Error::new(Exit::NotDone, message, "check the address, or ask another entry")
    };
    let client = http::client(url, LIMIT).map_err(|cause| fail(&cause))?;
    let request = client.request(method, url).timeout(LIMIT).send().await;
    let response = request.map_err(|cause| fail(&innermost(&cause)))?;
    let status = response.status();
    let text = response.text().await.map_err(|cause| fail(&innermost(&cause)))?;
    if status.is_success() {
        return Ok(text);
    }
    let message = format!("`{url}` answered {status}: {}", text.trim());
    Err(Error::new(Exit::Failed, message, "see docs/operators for what the answer means"))
}

/// Gets JSON from an entry.
pub(crate) async fn get<T: DeserializeOwned>(url: &str) -> Result<T, Error> {
    let text = send(reqwest::Method::GET, url).await?;
    serde_json::from_str(&text).map_err(|cause| {
        let message = format!("cannot read the answer of `{url}`: {cause}");
        Error::new(Exit::Failed, message, "use the program of the entry's own version")
    })
}

/// Joins an entry's address and a path.
pub(crate) fn url(entry: &str, path: &str) -> String {
    format!("{}{path}", entry.trim_end_matches('/'))
}

fn innermost(error: &reqwest::Error) -> String {
    let mut cause: &dyn std::error::Error = error;
    while let Some(source) = cause.source() {
        cause = source;
    }
    cause.to_string()
}
