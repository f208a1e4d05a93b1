//! A load of urgent requests, spread over the entries as by a load balancer.

use super::*;

/// Pause of a caller between an answer and its next request.
const REQUEST_PAUSE: Duration = Duration::from_millis(20);

/// Callers that send urgent requests one after another until they are stopped.
#[derive(Debug)]
pub struct Load {
    counts: Arc<Mutex<Counts>>,
    stop: CancellationToken,
    tasks: Vec<JoinHandle<()>>,
}

/// Counts and latencies of the requests of all callers.
#[derive(Clone, Debug)]
pub struct Counts {
    /// Answers that contain the request's own body.
    pub answered: u64,
    /// Latency of those answers, in microseconds.
    pub latency: Histogram<u64>,
    /// Answers that belong to another request.
    pub mismatched: u64,
    /// Requests that were answered as not run.
    pub not_run: u64,
    /// Requests whose outcome is unknown, also those without an answer.
    pub unknown: u64,
}

impl Load {
    /// Starts `count` callers of the system's entries.
    pub fn start(count: u32, system: &System) -> Self {
        let counts = Arc::new(Mutex::new(Counts::default()));
        let stop = CancellationToken::new();
        let spawn = |index| {
            let (entries, http) = (system.entries.clone(), system.http.clone());
            tokio::spawn(call(index, entries, http, counts.clone(), stop.clone()))
        };
        let tasks = (0..count).map(spawn).collect();
        Self { counts, stop, tasks }
    }

    /// Returns the number of requests answered so far.
    pub fn answered(&self) -> u64 {
        lock(&self.counts).answered
    }

    /// Stops the callers, and returns their counts once every request in progress is over.
    pub async fn stop(self) -> Counts {
        self.stop.cancel();
        for task in self.tasks {
            let _ = task.await;
        }
        lock(&self.counts).clone()
    }
}

impl Counts {
    fn record(&mut self, outcome: Option<Outcome>, own: bool, latency: Duration) {
        match outcome {
            Some(Outcome::Answered) if own => {
                self.answered += 1;
                let _ = self.latency.record(latency.as_micros() as u64);
            }
            Some(Outcome::Answered) => self.mismatched += 1,
            Some(Outcome::NotRun) => self.not_run += 1,
            Some(Outcome::Unknown) | None => self.unknown += 1,
        }
    }
}

impl Default for Counts {
    fn default() -> Self {
        let latency = Histogram::new(3).expect("3 digits are in range");
        Self { answered: 0, latency, mismatched: 0, not_run: 0, unknown: 0 }
    }
}

async fn call(
    caller: u32,
    entries: Vec<SocketAddr>,
    http: reqwest::Client,
    counts: Arc<Mutex<Counts>>,
    stop: CancellationToken,
) {
    let mut serial = 0;
    while !stop.is_cancelled() {
        let entry = entries[(caller as usize + serial) % entries.len()];
        let body = format!("caller {caller} request {serial}");
        let start = Instant::now();
        let (outcome, answer) = send(&http, entry, &body).await;
        let own = answer.contains(&body);
        lock(&counts).record(outcome, own, start.elapsed());
        serial += 1;
        tokio::time::sleep(REQUEST_PAUSE).await;
    }
}

/// Sends one request, and returns its outcome and the answer's text; no outcome if there was no
/// whole answer or it names none.
async fn send(http: &reqwest::Client, entry: SocketAddr, body: &str) -> (Option<Outcome>, String) {
    let url = format!("http://{entry}/services/{}/segment", system::SERVICE);
    let Ok(answer) = http.post(url).body(body.to_owned()).send().await else {
        return (None, String::new());
    };
    let header = answer.headers().get(outcome::HEADER).and_then(|value| value.to_str().ok());
    let outcome = [Outcome::Answered, Outcome::NotRun, Outcome::Unknown]
        .into_iter()
        .find(|outcome| Some(outcome.as_str()) == header);
    match answer.text().await {
        Ok(text) => (outcome, text),
        Err(_) => (None, String::new()),
    }
}
