//! A steady load of urgent requests.

use super::*;

/// A steady load of urgent requests, each under a key of its own.
#[derive(Debug)]
pub struct Load {
    stop: CancellationToken,
    tally: Arc<Mutex<Tally>>,
    tasks: Vec<JoinHandle<()>>,
}

/// Counts of the results of a load's calls.
#[derive(Clone, Debug, Default)]
pub struct Tally {
    /// Whole answers to the right request.
    pub answered: u64,
    /// Connections lost while a request was in progress.
    pub cut: u64,
    /// Calls without an outcome in time.
    pub lost: u64,
    /// Attempts that were answered as not run.
    pub refused: u64,
    /// Calls whose outcome is unknown.
    pub unknown: u64,
    /// Answers that belong to another request.
    pub wrong: u64,
    /// Arrival times of the answers.
    times: Times,
}

/// Arrival times of answers; `Debug` shows only their count.
#[derive(Clone, Default)]
struct Times(Vec<Instant>);

impl Load {
    /// Starts `concurrency` tasks that each send one request after another, each of which works for
    /// `work_ms`.
    pub fn start(caller: &Caller, service: &str, concurrency: usize, work_ms: u64) -> Self {
        let stop = CancellationToken::new();
        let tally = Arc::new(Mutex::new(Tally::default()));
        let task = |_| {
            let (caller, service) = (caller.clone(), service.to_owned());
            tokio::spawn(send(caller, service, work_ms, stop.clone(), tally.clone()))
        };
        let tasks = (0..concurrency).map(task).collect();
        Self { stop, tally, tasks }
    }

    /// Returns the number of whole answers so far.
    pub fn answered(&self) -> u64 {
        lock(&self.tally).answered
    }

    /// Returns the number of connections lost so far while a request was in progress.
    pub fn cut(&self) -> u64 {
        lock(&self.tally).cut
    }

    /// Waits for `count` more answers.
    pub async fn wait_answers(&self, count: u64) -> Result<(), Error> {
        let goal = self.answered() + count;
        fleet::until("confirm that more answers came", async || self.answered() >= goal).await
    }

    /// Stops the load, and returns its counts once every call in progress is over.
    pub async fn stop(self) -> Tally {
        self.stop.cancel();
        for task in self.tasks {
            let _ = task.await;
        }
        lock(&self.tally).clone()
    }
}

impl Tally {
    /// Returns the longest time between two answers; time before `since` does not count.
    pub fn longest_gap(&self, since: Instant) -> Duration {
        let mut times = self.times.0.clone();
        times.sort();
        let pairs = times.windows(2).filter(|pair| pair[1] > since);
        pairs.map(|pair| pair[1] - pair[0].max(since)).max().unwrap_or_default()
    }

    fn add(&mut self, call: &caller::Call) {
        self.cut += u64::from(call.cut);
        self.refused += u64::from(call.refused);
        match call.outcome {
            Some(Outcome::Answered) if call.wrong => self.wrong += 1,
            Some(Outcome::Answered) => {
                self.answered += 1;
                self.times.0.push(Instant::now());
            }
            Some(Outcome::Unknown) => self.unknown += 1,
            Some(Outcome::NotRun) | None => self.lost += 1,
        }
    }
}

impl fmt::Debug for Times {
    fn fmt(&self, f: &mut Formatter) -> fmt::Result {
        write!(f, "{} times", self.0.len())
    }
}

async fn send(
    caller: Caller,
    service: String,
    work_ms: u64,
    stop: CancellationToken,
    tally: Arc<Mutex<Tally>>,
) {
    while !stop.is_cancelled() {
        let key = uuid::Uuid::now_v7().to_string();
        let call = caller.call(&service, &key, work_ms).await;
        lock(&tally).add(&call);
    }
}
