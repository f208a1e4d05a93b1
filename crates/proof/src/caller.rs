//! A caller of the entries, which retries at other entries with the same idempotency key.

use super::*;

/// How long one attempt may take.
const ATTEMPT_TIMEOUT: Duration = Duration::from_secs(20);
/// How long a call may take with all its attempts.
const CALL_TIMEOUT: Duration = Duration::from_secs(60);
/// Time between two attempts.
const RETRY_INTERVAL: Duration = Duration::from_millis(50);

/// A caller of the entries, which retries at other entries with the same idempotency key. Cheap to
/// clone.
#[derive(Clone, Debug)]
pub struct Caller {
    balancer: Balancer,
    http: reqwest::Client,
}

/// An entry's answer to an accepted job.
#[derive(Clone, Debug, Deserialize)]
struct Accepted {
    id: job::Id,
}

/// The result of one call, with all its attempts.
#[derive(Clone, Debug)]
pub struct Call {
    /// Connections lost after the request went out and before the whole answer came.
    pub cut: u32,
    /// Outcome that ended the call, answered or unknown; `None` when no attempt had one in time.
    pub outcome: Option<Outcome>,
    /// Attempts that were answered as not run.
    pub refused: u32,
    /// Whether the answer belongs to another request.
    pub wrong: bool,
}

/// The result of one attempt.
enum Attempt {
    /// Answered; `wrong` if the answer belongs to another request.
    Answered {
        wrong: bool,
    },
    /// The request went out, but no whole answer with an outcome came.
    Cut,
    NotRun,
    /// No connection was made.
    Unreached,
    Unknown,
}

impl Caller {
    pub(crate) fn new(entries: &[SocketAddr]) -> Result<Self, Error> {
        let http = client("entries", ATTEMPT_TIMEOUT)?;
        Ok(Self { balancer: Balancer::start(entries)?, http })
    }

    /// Sends a request that works for `work_ms` to `service`. Retries with the same idempotency key
    /// until it is answered or its outcome is unknown.
    pub async fn call(&self, service: &str, key: &str, work_ms: u64) -> Call {
        let deadline = Instant::now() + CALL_TIMEOUT;
        let mut call = Call { cut: 0, outcome: None, refused: 0, wrong: false };
        while Instant::now() < deadline {
            match self.attempt(service, key, work_ms).await {
                Attempt::Answered { wrong } => {
                    return Call { outcome: Some(Outcome::Answered), wrong, ..call };
                }
                Attempt::Cut => call.cut += 1,
                Attempt::NotRun => call.refused += 1,
                Attempt::Unknown => return Call { outcome: Some(Outcome::Unknown), ..call },
                Attempt::Unreached => {}
            }
            tokio::time::sleep(RETRY_INTERVAL).await;
        }
        call
    }

    /// Cancels the job through any entry.
    pub async fn cancel(&self, id: &job::Id) -> Result<(), Error> {
        let url = format!("http://{}/jobs/{id}", self.balancer.pick());
        let response = self.http.delete(url).send().await;
        let response = response.map_err(|cause| Error::new("cancel a job", cause))?;
        response.error_for_status().map_err(|cause| Error::new("cancel a job", cause))?;
        Ok(())
    }

    /// Submits the job with the idempotency key, and retries until an entry accepts it.
    pub async fn submit(&self, key: &str, spec: &job::Spec) -> Result<job::Id, Error> {
        let deadline = Instant::now() + fleet::TIMEOUT;
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
        let deadline = Instant::now() + fleet::TIMEOUT;
        let mut last = String::new();
        while Instant::now() < deadline {
            match self.status(id).await {
                Ok(status) if status.state != job::State::Open => return Ok(status),
                Ok(status) => last = format!("{status:?}"),
                Err(error) => last = error.to_string(),
            }
            tokio::time::sleep(fleet::POLL_INTERVAL).await;
        }
        Err(Error::new(format!("confirm that job `{id}` is over"), last))
    }

    /// Returns the job's status from any entry.
    pub async fn status(&self, id: &job::Id) -> Result<job::Status, Error> {
        let step = || format!("read the status of job `{id}`");
        let url = format!("http://{}/jobs/{id}", self.balancer.pick());
        let response = self.http.get(url).timeout(ATTEMPT_TIMEOUT).send().await;
        let response = response.map_err(|cause| Error::new(step(), cause))?;
        let text = response.text().await.map_err(|cause| Error::new(step(), cause))?;
        serde_json::from_str(&text).map_err(|cause| Error::new(step(), format!("{cause}: {text}")))
    }

    async fn attempt(&self, service: &str, key: &str, work_ms: u64) -> Attempt {
        let url = format!("http://{}/services/{service}/x?work_ms={work_ms}", self.balancer.pick());
        let request = self.http.post(url).header("idempotency-key", key).body(key.to_owned());
        let response = match request.timeout(ATTEMPT_TIMEOUT).send().await {
            Ok(response) => response,
            Err(error) if error.is_connect() => return Attempt::Unreached,
            Err(_) => return Attempt::Cut,
        };
        let headers = response.headers();
        let outcome = headers.get(outcome::HEADER).and_then(|value| value.to_str().ok());
        match outcome {
            Some("answered") => match response.text().await {
                Ok(body) => Attempt::Answered { wrong: body.lines().last() != Some(key) },
                Err(_) => Attempt::Cut,
            },
            Some("not-run") => Attempt::NotRun,
            Some("unknown") => Attempt::Unknown,
            _ => Attempt::Cut,
        }
    }

    async fn try_submit(&self, key: &str, spec: &job::Spec) -> Result<job::Id, Error> {
        let step = "submit a job";
        let url = format!("http://{}/jobs", self.balancer.pick());
        let request = self.http.post(url).header("idempotency-key", key).json(spec);
        let response = request.timeout(ATTEMPT_TIMEOUT).send().await;
        let response = response.map_err(|cause| Error::new(step, cause))?;
        let text = response.text().await.map_err(|cause| Error::new(step, cause))?;
        let accepted: Accepted = serde_json::from_str(&text)
            .map_err(|cause| Error::new(step, format!("{cause}: {text}")))?;
        Ok(accepted.id)
    }
}
