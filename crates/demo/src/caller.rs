//! Callers that send urgent requests to any entry, as behind a balancer.

use super::*;

/// Pause of a caller between two requests.
const PAUSE: Duration = Duration::from_millis(20);

/// Callers that send urgent requests until they are stopped.
#[derive(Debug)]
pub struct Caller {
    counts: Arc<Mutex<Counts>>,
    leave: CancellationToken,
    tasks: Vec<JoinHandle<()>>,
}

/// What callers got.
#[derive(Clone, Debug)]
pub struct Counts {
    /// Requests answered, with their own body.
    pub answered: u64,
    /// Time to each answer, in microseconds.
    pub latency: Histogram<u64>,
    /// Answers that were not the request's own.
    pub mixed_up: u64,
    /// Requests told that they did not run.
    pub not_run: u64,
    /// Requests whose fate is unknown.
    pub unknown: u64,
}

impl Caller {
    /// Starts `count` callers of the stage's entries.
    pub fn start(count: u32, stage: &Stage) -> Self {
        let counts = Arc::new(Mutex::new(Counts::default()));
        let leave = CancellationToken::new();
        let spawn = |index| {
            let (entries, http) = (stage.entries.clone(), stage.http.clone());
            tokio::spawn(call(index, entries, http, counts.clone(), leave.clone()))
        };
        let tasks = (0..count).map(spawn).collect();
        Self { counts, leave, tasks }
    }

    /// Returns the requests answered so far.
    pub fn answered(&self) -> u64 {
        lock(&self.counts).answered
    }

    /// Lets every request in progress end, and returns what the callers got.
    pub async fn stop(self) -> Counts {
        self.leave.cancel();
        for task in self.tasks {
            let _ = task.await;
        }
        lock(&self.counts).clone()
    }
}

impl Counts {
    fn take(&mut self, outcome: Option<Outcome>, own: bool, latency: Duration) {
        match outcome {
            Some(Outcome::Answered) if own => {
                self.answered += 1;
                let _ = self.latency.record(latency.as_micros() as u64);
            }
            Some(Outcome::Answered) => self.mixed_up += 1,
            Some(Outcome::NotRun) => self.not_run += 1,
            Some(Outcome::Unknown) | None => self.unknown += 1,
        }
    }
}

impl Default for Counts {
    fn default() -> Self {
        let latency = Histogram::new(3).expect("3 digits are in range");
        Self { answered: 0, latency, mixed_up: 0, not_run: 0, unknown: 0 }
    }
}

async fn call(
    caller: u32,
    entries: Vec<SocketAddr>,
    http: reqwest::Client,
    counts: Arc<Mutex<Counts>>,
    leave: CancellationToken,
) {
    let mut serial = 0;
    while !leave.is_cancelled() {
        let entry = entries[(caller as usize + serial) % entries.len()];
        let body = format!("caller {caller} request {serial}");
        let start = Instant::now();
        let (outcome, answer) = send(&http, entry, &body).await;
        let own = answer.contains(&body);
        lock(&counts).take(outcome, own, start.elapsed());
        serial += 1;
        tokio::time::sleep(PAUSE).await;
    }
}

/// Sends one request, and returns its outcome with the answer's text.
async fn send(http: &reqwest::Client, entry: SocketAddr, body: &str) -> (Option<Outcome>, String) {
    let url = format!("http://{entry}/services/{}/segment", stage::SERVICE);
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
