//! A worker of the users' platform: runs tasks on order under one lease, and judges the orders.

use {
    super::*,
    crate::{
        users_http::{self, respond},
        users_store::UsersStore,
    },
    http_body_util::Full,
    hyper::{Response, http::request::Parts},
    serde_json::{Value, json},
    tokio::net::TcpListener,
};

/// A worker. Clones share it.
#[derive(Clone, Debug)]
pub struct UsersWorker {
    /// Its id.
    pub id: String,
    ledger: UsersLedger,
    changed: Arc<tokio::sync::Notify>,
    state: Arc<Mutex<State>>,
}

/// What all workers of one platform have seen. Clones share it.
#[derive(Clone, Debug, Default)]
pub struct UsersLedger {
    entries: Arc<Mutex<BTreeMap<String, Entry>>>,
    faults: Arc<Mutex<Vec<String>>>,
}

/// A task as workers have seen it.
#[derive(Clone, Debug, Default)]
pub struct Entry {
    /// Ends as done that were acknowledged.
    pub acknowledged: bool,
    /// Ends as done.
    pub done: u32,
    /// Ends as failed.
    pub failures: u32,
    /// Ends as failed that were acknowledged.
    pub failed: BTreeSet<u32>,
    /// Workers at which it runs.
    pub running: BTreeSet<String>,
    /// Starts.
    pub starts: u32,
}

#[derive(Debug)]
struct State {
    born: u64,
    ended: VecDeque<(u64, String, u32, &'static str)>,
    ends: u64,
    fails: bool,
    fence: u64,
    lease_until: u64,
    life: Instant,
    past: BTreeMap<String, u32>,
    running: BTreeMap<String, Run>,
    used_milli: u64,
}

#[derive(Debug)]
struct Run {
    run: u32,
    milli: u64,
    until: Instant,
}

/// What a worker holds, in thousandths of a core.
pub const CAPACITY_MILLI: u64 = 16_000;
/// The longest lease, in milliseconds.
pub const LEASE_MOST_MS: u64 = 6_000;
/// Between looks for runs that are over.
const STEP: Duration = Duration::from_millis(10);

impl State {
    /// Returns a new life, in which nothing is known of earlier ones.
    fn new(born: u64) -> Self {
        Self {
            born,
            ended: VecDeque::new(),
            ends: 0,
            fails: false,
            fence: 0,
            lease_until: 0,
            life: Instant::now(),
            past: BTreeMap::new(),
            running: BTreeMap::new(),
            used_milli: 0,
        }
    }
}

impl UsersLedger {
    /// Returns what is known of a task.
    pub fn entry(&self, task: &str) -> Entry {
        lock(&self.entries).get(task).cloned().unwrap_or_default()
    }

    /// Returns every task seen.
    pub fn tasks(&self) -> Vec<(String, Entry)> {
        lock(&self.entries).iter().map(|(task, entry)| (task.clone(), entry.clone())).collect()
    }

    /// Notes a broken promise.
    pub fn fault(&self, fault: String) {
        lock(&self.faults).push(fault);
    }

    /// Returns the broken promises.
    pub fn faults(&self) -> Vec<String> {
        lock(&self.faults).clone()
    }

    fn change(&self, task: &str, change: impl FnOnce(&mut Entry)) {
        change(lock(&self.entries).entry(task.into()).or_default());
    }
}

impl UsersWorker {
    /// Starts a worker on a free port of this machine, and returns its address.
    pub async fn start(id: &str, ledger: UsersLedger) -> io::Result<(Self, SocketAddr)> {
        let listener = TcpListener::bind(("127.0.0.1", 0)).await?;
        let address = listener.local_addr()?;
        let worker = Self {
            id: id.into(),
            ledger,
            changed: Arc::default(),
            state: Arc::new(Mutex::new(State::new(1))),
        };
        let working = worker.clone();
        tokio::spawn(async move {
            loop {
                tokio::time::sleep(STEP).await;
                working.work();
            }
        });
        let serving = worker.clone();
        users_http::serve(listener, move |parts, body| {
            let worker = serving.clone();
            async move { worker.answer(&parts, &body).await }
        });
        Ok((worker, address))
    }

    /// Writes the worker's entry, at `address`.
    pub fn register(&self, store: &UsersStore, address: SocketAddr, draining: bool) {
        let born = lock(&self.state).born;
        let entry = json!({
            "service": "desk", "address": address, "zone": "a", "version": "v1", "slots": 8,
            "state": if draining { "draining" } else { "ready" }, "cold_remaining_ms": 0,
            "capacity": {"cpu": CAPACITY_MILLI, "mem_mb": 65_536, "gpu": 0},
            "labels": ["a", "r1"], "seq": 1, "born": born,
        });
        store.put(&format!("servers/{}", self.id), &entry);
    }

    /// Fails everything that ends from now on, or no longer.
    pub fn fail(&self, fails: bool) {
        lock(&self.state).fails = fails;
    }

    /// Loses everything and begins a new life under the same id.
    pub fn crash(&self) {
        let mut state = lock(&self.state);
        for task in state.running.keys() {
            self.ledger.change(task, |entry| {
                entry.running.remove(&self.id);
            });
        }
        *state = State::new(state.born + 1);
    }

    fn work(&self) {
        let mut state = lock(&self.state);
        let clock = state.life.elapsed().as_millis() as u64;
        let lapsed = clock > state.lease_until;
        let now = Instant::now();
        let over: Vec<String> = state
            .running
            .iter()
            .filter(|(_, run)| lapsed || run.until <= now)
            .map(|(task, _)| task.clone())
            .collect();
        let how = match (lapsed, state.fails) {
            (true, _) => "lapsed",
            (false, true) => "failed",
            (false, false) => "done",
        };
        over.iter().for_each(|task| self.end(&mut state, task, how));
    }

    fn end(&self, state: &mut State, task: &str, how: &'static str) {
        let Some(run) = state.running.remove(task) else { return };
        state.used_milli -= run.milli;
        state.ends += 1;
        let number = state.ends;
        state.ended.push_back((number, task.into(), run.run, how));
        let past = state.past.entry(task.into()).or_default();
        *past = (*past).max(run.run);
        self.ledger.change(task, |entry| {
            entry.running.remove(&self.id);
            entry.done += u32::from(how == "done");
            entry.failures += u32::from(how == "failed");
        });
        self.changed.notify_waiters();
    }

    async fn answer(&self, parts: &Parts, body: &Value) -> Response<Full<Bytes>> {
        let meant = parts.headers.get("expect-instance").and_then(|value| value.to_str().ok());
        if meant.is_some_and(|id| id != self.id) {
            return respond(421, &json!({}));
        }
        let fence = body["fencing_token"].as_u64().unwrap_or(0);
        {
            let mut state = lock(&self.state);
            if fence < state.fence {
                return self.refuse(&state, "fence");
            }
            state.fence = fence;
        }
        match parts.uri.path() {
            "/-/run-start" => self.begin(body),
            "/-/run-stop" => self.stop(body),
            "/-/hold" => self.hold(body).await,
            "/-/pace" => respond(200, &json!({"clock_ms": 0})),
            _ => respond(404, &json!({})),
        }
    }

    fn refuse(&self, state: &State, reason: &str) -> Response<Full<Bytes>> {
        let clock = state.life.elapsed().as_millis() as u64;
        respond(409, &json!({"clock_ms": clock, "reason": reason}))
    }

    /// Starts a run. Its text says how long it takes and what it needs: "MS MILLI".
    fn begin(&self, body: &Value) -> Response<Full<Bytes>> {
        let mut state = lock(&self.state);
        let task = body["task"].as_str().unwrap_or_default().to_owned();
        let run = body["run"].as_u64().unwrap_or(0) as u32;
        let clock = state.life.elapsed().as_millis() as u64;
        let until = body["deadline_ms"].as_u64().unwrap_or(0);
        if until <= clock {
            return self.refuse(&state, "late");
        }
        if state.running.get(&task).is_some_and(|held| held.run == run) {
            return respond(200, &json!({"clock_ms": clock}));
        }
        if state.past.get(&task).is_some_and(|past| *past >= run) {
            return self.refuse(&state, "old");
        }
        let mut words = body["spec"].as_str().unwrap_or_default().split(' ');
        let mut number = || words.next().and_then(|word| word.parse::<u64>().ok()).unwrap_or(100);
        let (ms, milli) = (number(), number());
        if state.used_milli + milli > CAPACITY_MILLI {
            return self.refuse(&state, "room");
        }
        state.lease_until = state.lease_until.max(until.min(clock + LEASE_MOST_MS));
        let before = self.ledger.entry(&task);
        if !before.running.is_empty() {
            self.ledger
                .fault(format!("{task} starts at {} and runs at {:?}", self.id, before.running));
        }
        if before.acknowledged {
            self.ledger.fault(format!("{task} starts at {} after an acknowledged end", self.id));
        }
        self.ledger.change(&task, |entry| {
            entry.running.insert(self.id.clone());
            entry.starts += 1;
        });
        state.used_milli += milli;
        let until = Instant::now() + Duration::from_millis(ms);
        state.running.insert(task, Run { run, milli, until });
        respond(200, &json!({"clock_ms": clock}))
    }

    fn stop(&self, body: &Value) -> Response<Full<Bytes>> {
        let mut state = lock(&self.state);
        let task = body["task"].as_str().unwrap_or_default().to_owned();
        let run = body["run"].as_u64().unwrap_or(0) as u32;
        let past = state.past.entry(task.clone()).or_default();
        *past = (*past).max(run);
        self.end(&mut state, &task, "stopped");
        respond(200, &json!({"clock_ms": state.life.elapsed().as_millis() as u64}))
    }

    async fn hold(&self, body: &Value) -> Response<Full<Bytes>> {
        let seen = body["last_seen"].as_u64().unwrap_or(0);
        let wait = Duration::from_millis(body["wait_ms"].as_u64().unwrap_or(0));
        let end = Instant::now() + wait;
        {
            let mut state = lock(&self.state);
            let clock = state.life.elapsed().as_millis() as u64;
            let until = body["deadline_ms"].as_u64().unwrap_or(0).min(clock + LEASE_MOST_MS);
            state.lease_until = state.lease_until.max(until);
            while let Some((_, task, run, how)) =
                state.ended.front().filter(|(number, ..)| *number <= seen).cloned()
            {
                state.ended.pop_front();
                self.ledger.change(&task, |entry| match how {
                    "done" => entry.acknowledged = true,
                    "failed" => {
                        entry.failed.insert(run);
                    }
                    _ => {}
                });
            }
        }
        loop {
            let notified = self.changed.notified();
            {
                let state = lock(&self.state);
                if !state.ended.is_empty() || Instant::now() >= end {
                    return respond(200, &listing(&state));
                }
            }
            let _ = tokio::time::timeout_at(end, notified).await;
        }
    }
}

fn listing(state: &State) -> Value {
    let running: Vec<Value> =
        state.running.iter().map(|(task, run)| json!([task, run.run, "", 50, 500])).collect();
    let ended: Vec<Value> = state
        .ended
        .iter()
        .map(|(number, task, run, how)| json!([number, task, run, how, ""]))
        .collect();
    let clock = state.life.elapsed().as_millis() as u64;
    json!({"clock_ms": clock, "born": state.born, "running": running, "ended": ended})
}
