//! A steady load of urgent requests.

use super::*;

/// A steady load of urgent requests, each under a key of its own.
#[derive(Debug)]
pub struct Load {
    leave: CancellationToken,
    tally: Arc<Mutex<Tally>>,
    tasks: Vec<JoinHandle<()>>,
}

/// What became of a load.
#[derive(Clone, Debug, Default)]
pub struct Tally {
    /// Whole answers to the right request.
    pub answered: u64,
    /// Connections lost while a request was in progress.
    pub cut: u64,
    /// Calls that no entry said anything of in time.
    pub lost: u64,
    /// Tries refused as not run.
    pub refused: u64,
    /// Calls whose fate is unknown.
    pub unknown: u64,
    /// Answers that were not to the request.
    pub wrong: u64,
    /// When answers came.
    times: Times,
}

/// When answers came.
#[derive(Clone, Default)]
struct Times(Vec<Instant>);

impl Load {
    /// Starts `parallel` callers that each send one request of `work_ms` after another.
    pub fn start(caller: &Caller, service: &str, parallel: usize, work_ms: u64) -> Self {
        let leave = CancellationToken::new();
        let tally = Arc::new(Mutex::new(Tally::default()));
        let task = |_| {
            let (caller, service) = (caller.clone(), service.to_owned());
            tokio::spawn(send(caller, service, work_ms, leave.clone(), tally.clone()))
        };
        let tasks = (0..parallel).map(task).collect();
        Self { leave, tally, tasks }
    }

    /// Returns the count of whole answers so far.
    pub fn answered(&self) -> u64 {
        lock(&self.tally).answered
    }

    /// Returns the count of connections lost so far while a request was in progress.
    pub fn cut(&self) -> u64 {
        lock(&self.tally).cut
    }

    /// Waits until `more` further answers have come.
    pub async fn grow(&self, more: u64) -> Result<(), Error> {
        let goal = self.answered() + more;
        fleet::until("see more answers", async || self.answered() >= goal).await
    }

    /// Ends the load once every call in progress is over.
    pub async fn stop(self) -> Tally {
        self.leave.cancel();
        for task in self.tasks {
            let _ = task.await;
        }
        lock(&self.tally).clone()
    }
}

impl Tally {
    /// Returns the longest time between two answers, of which the later came after `since`.
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
    leave: CancellationToken,
    tally: Arc<Mutex<Tally>>,
) {
    while !leave.is_cancelled() {
        let key = uuid::Uuid::now_v7().to_string();
        let call = caller.call(&service, &key, work_ms).await;
        lock(&tally).add(&call);
    }
}
