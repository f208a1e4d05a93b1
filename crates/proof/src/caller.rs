//! A caller of the entries: tries again elsewhere, with the same key.

use super::*;

/// How long one try may take.
const TRY_LIMIT: Duration = Duration::from_secs(20);
/// How long a call may take with all its tries.
const CALL_LIMIT: Duration = Duration::from_secs(60);
/// Time between two tries.
const RETRY_INTERVAL: Duration = Duration::from_millis(50);

/// A caller of the entries: tries again elsewhere, with the same key. Cheap to clone.
#[derive(Clone, Debug)]
pub struct Caller {
    balancer: Balancer,
    http: reqwest::Client,
}

/// What an entry answers to a job that it accepted.
#[derive(Clone, Debug, Deserialize)]
struct Accepted {
    id: job::Id,
}

/// What became of one call.
#[derive(Clone, Debug)]
pub struct Call {
    /// Connections lost after the request went out and before the whole answer came.
    pub cut: u32,
    /// How it ended; `None` when no entry said anything in time.
    pub outcome: Option<Outcome>,
    /// Tries that ended with a definite refusal.
    pub refused: u32,
    /// Whether an answer was not the one to this request.
    pub wrong: bool,
}

/// What became of one try.
enum Try {
    Answered { wrong: bool },
    Cut,
    NotRun,
    Unreached,
    Unknown,
}

impl Caller {
    pub(crate) fn new(entries: &[SocketAddr]) -> Result<Self, Error> {
        let http = client("entries", TRY_LIMIT)?;
        Ok(Self { balancer: Balancer::start(entries)?, http })
    }

    /// Sends one request of `work_ms` to `service` under `key`. Tries again, under the same key,
    /// until it is answered or its fate is unknown.
    pub async fn call(&self, service: &str, key: &str, work_ms: u64) -> Call {
        let deadline = Instant::now() + CALL_LIMIT;
        let mut call = Call { cut: 0, outcome: None, refused: 0, wrong: false };
        while Instant::now() < deadline {
            match self.attempt(service, key, work_ms).await {
                Try::Answered { wrong } => {
                    return Call { outcome: Some(Outcome::Answered), wrong, ..call };
                }
                Try::Cut => call.cut += 1,
                Try::NotRun => call.refused += 1,
                Try::Unknown => return Call { outcome: Some(Outcome::Unknown), ..call },
                Try::Unreached => {}
            }
            tokio::time::sleep(RETRY_INTERVAL).await;
        }
        call
    }

    /// Cancels the job through some entry.
    pub async fn cancel(&self, id: &job::Id) -> Result<(), Error> {
        let url = format!("http://{}/jobs/{id}", self.balancer.pick());
        let response = self.http.delete(url).send().await;
        let response = response.map_err(|cause| Error::new("cancel a job", cause))?;
        response.error_for_status().map_err(|cause| Error::new("cancel a job", cause))?;
        Ok(())
    }

    /// Submits the job under `key`, again and again until an entry accepts it.
    pub async fn submit(&self, key: &str, spec: &job::Spec) -> Result<job::Id, Error> {
        let deadline = Instant::now() + fleet::LIMIT;
        let mut last = String::new();
        while Instant::now() < deadline {
            match self.try_submit(key, spec).await {
                Ok(id) => return Ok(id),
                Err(error) => last = error.to_string(),
            }
            tokio::time::sleep(RETRY_INTERVAL).await;
        }
        Err(Error::new("submit a job", last))
    }

    /// Waits until the job is over, and returns its last status.
    pub async fn wait(&self, id: &job::Id) -> Result<job::Status, Error> {
        let deadline = Instant::now() + fleet::LIMIT;
        let mut last = String::new();
        while Instant::now() < deadline {
            match self.status(id).await {
                Ok(status) if status.state != job::State::Open => return Ok(status),
                Ok(status) => last = format!("{status:?}"),
                Err(error) => last = error.to_string(),
            }
            tokio::time::sleep(fleet::POLL_INTERVAL).await;
        }
        Err(Error::new(format!("see job `{id}` over"), last))
    }

    /// Returns where the job stands, as some entry says.
    pub async fn status(&self, id: &job::Id) -> Result<job::Status, Error> {
        let step = || format!("ask for job `{id}`");
        let url = format!("http://{}/jobs/{id}", self.balancer.pick());
        let response = self.http.get(url).timeout(TRY_LIMIT).send().await;
        let response = response.map_err(|cause| Error::new(step(), cause))?;
        let text = response.text().await.map_err(|cause| Error::new(step(), cause))?;
        serde_json::from_str(&text).map_err(|cause| Error::new(step(), format!("{cause}: {text}")))
    }

    async fn attempt(&self, service: &str, key: &str, work_ms: u64) -> Try {
        let url = format!("http://{}/services/{service}/x?work_ms={work_ms}", self.balancer.pick());
        let request = self.http.post(url).header("idempotency-key", key).body(key.to_owned());
        let response = match request.timeout(TRY_LIMIT).send().await {
            Ok(response) => response,
            Err(error) if error.is_connect() => return Try::Unreached,
            Err(_) => return Try::Cut,
        };
        let headers = response.headers();
        let outcome = headers.get(outcome::HEADER).and_then(|value| value.to_str().ok());
        match outcome {
            Some("answered") => match response.text().await {
                Ok(body) => Try::Answered { wrong: body.lines().last() != Some(key) },
                Err(_) => Try::Cut,
            },
            Some("not-run") => Try::NotRun,
            Some("unknown") => Try::Unknown,
            _ => Try::Cut,
        }
    }

    async fn try_submit(&self, key: &str, spec: &job::Spec) -> Result<job::Id, Error> {
        let step = "submit a job";
        let url = format!("http://{}/jobs", self.balancer.pick());
        let request = self.http.post(url).header("idempotency-key", key).json(spec);
        let response = request.timeout(TRY_LIMIT).send().await;
        let response = response.map_err(|cause| Error::new(step, cause))?;
        let text = response.text().await.map_err(|cause| Error::new(step, cause))?;
        let accepted: Accepted = serde_json::from_str(&text)
            .map_err(|cause| Error::new(step, format!("{cause}: {text}")))?;
        Ok(accepted.id)
    }
}
