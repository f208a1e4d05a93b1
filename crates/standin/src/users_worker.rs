//! A worker of the users' platform: runs tasks on request under one lease, and records starts that
//! violate the scheduler's guarantees.

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

/// A simulated worker of the users' platform. Clones share it.
#[derive(Clone, Debug)]
pub struct UsersWorker {
    /// Its id.
    pub id: String,
    /// Its availability zone.
    pub zone: &'static str,
    ledger: UsersLedger,
    /// Wakes the polls when a run ends.
    changed: Arc<tokio::sync::Notify>,
    state: Arc<Mutex<State>>,
}

/// Ground truth of a test: what ran on all workers of one platform, and the violations of the
/// scheduler's guarantees. Clones share it.
#[derive(Clone, Debug, Default)]
pub struct UsersLedger {
    entries: Arc<Mutex<BTreeMap<String, Entry>>>,
    violations: Arc<Mutex<Vec<String>>>,
}

/// The runs of one task on all workers.
#[derive(Clone, Debug, Default)]
pub struct Entry {
    /// Whether a run that ended as done was acknowledged, and its lease hadn't lapsed since.
    pub acknowledged: bool,
    /// Workers that it has crashed.
    pub crashes: u32,
    /// Ends as done that are not acknowledged yet and count if they are.
    open_ends: Vec<OpenEnd>,
    /// Runs that ended as done.
    pub done: u32,
    /// Runs that ended as failed.
    pub failures: u32,
    /// Numbers of the runs that ended as failed and were acknowledged.
    pub failed: BTreeSet<u32>,
    /// Ids of the workers on which it runs.
    pub running: BTreeSet<String>,
    /// Runs that were started.
    pub starts: u32,
    /// Runs that were started after `MAX_CRASHES` crashes.
    pub late_starts: u32,
}

/// The end of a run as done that its worker still lists.
#[derive(Clone, Debug)]
struct OpenEnd {
    worker: String,
    /// Its sequence number at the worker.
    sequence: u64,
    /// The worker at which the task was started after this end.
    restarted_on: Option<String>,
}

/// A run that is over and not yet acknowledged.
#[derive(Clone, Debug)]
struct End {
    sequence: u64,
    task: String,
    /// Number of the run.
    run: u32,
    outcome: &'static str,
}

/// State of one incarnation of a worker.
#[derive(Debug)]
struct State {
    incarnation: u64,
    /// The first incarnation whose connections are answered. Those to earlier ones stay open and silent.
    connected_since: u64,
    /// Number of times that it has written its entry.
    writes: u64,
    /// Processors that its entry tells, in thousandths of a core.
    capacity_milli: u64,
    /// Since when these are fewer than before. A worker that has shrunk rejects no start for want of
    /// room.
    shrunk_since: Option<Instant>,
    /// When the tasks that crash it do so.
    crash_at: Option<Instant>,
    /// Until when it does nothing after a crash.
    down_until: Option<Instant>,
    /// Whether it has left, and answers no call.
    left: bool,
    /// Since when its entry says that it drains.
    draining_since: Option<Instant>,
    /// Since when its zone is evacuated.
    evacuated_since: Option<Instant>,
    /// Runs that are over and not yet acknowledged.
    ended: VecDeque<End>,
    /// Sequence number of the last run that ended.
    last_sequence: u64,
    /// Whether runs that reach their end fail.
    fails: bool,
    /// The highest fencing token received; lower ones are refused.
    fence: u64,
    /// End of the lease that all runs share, in milliseconds since `started`.
    lease_until_ms: u64,
    /// By how much starts are carried out late, without an answer.
    delays_starts: Option<Duration>,
    /// Rate of its clock, in percent of the true one.
    clock_percent: u64,
    started: Instant,
    /// The highest number of a run of each task that ended or was stopped here. A start with this
    /// number or a lower one is refused.
    highest_ended: BTreeMap<String, u32>,
    running: BTreeMap<String, Run>,
    /// Processors of all runs in progress, in thousandths of a core.
    used_milli: u64,
}

/// A run in progress.
#[derive(Debug)]
struct Run {
    /// Number of the run.
    run: u32,
    /// Its processors, in thousandths of a core.
    milli: u64,
    /// When its work is done, or its stop.
    until: Instant,
    /// Whether it was told to stop.
    stopping: bool,
}

/// Time between two beats of a worker.
pub const HEARTBEAT: Duration = Duration::from_millis(1_500);
/// How long after a worker's last beat its entry is removed.
const ENTRY_LIFETIME: Duration = Duration::from_millis(4_500);
/// Processors of a worker, in thousandths of a core.
pub const CAPACITY_MILLI: u64 = 16_000;
/// How long after its entry says that it drains a worker may get new runs.
pub const DRAIN_LIMIT: Duration = Duration::from_secs(2);
/// How long after its zone is evacuated a worker may get new runs.
pub const EVACUATION_LIMIT: Duration = Duration::from_secs(2);
/// How long after its entry says that it has less room a worker may get runs that exceed it.
pub const SHRINK_LIMIT: Duration = Duration::from_secs(4);
/// Crashes of workers under a task after which it may be started fewer than `MAX_LATE_STARTS` times.
pub const MAX_CRASHES: u32 = 3;
/// Number of starts of such a task that violates the guarantees.
pub const MAX_LATE_STARTS: u32 = 3;
/// The most ended runs of an answer to a poll.
const ENDS_PER_ANSWER: usize = 500;
/// How long a crashed worker does nothing.
const DOWN_TIME: Duration = Duration::from_millis(1_500);
/// Time between the start of a task that crashes its worker and the crash.
const FUSE_TIME: Duration = Duration::from_millis(10);
/// Maximum length of the lease, in milliseconds.
pub const MAX_LEASE_MS: u64 = 6_000;
/// The path of orders to start a run.
const START_PATH: &str = "/-/run-start";
/// How long a stop takes.
const STOP_TIME: Duration = Duration::from_millis(200);
/// Rate of the clock of every second worker, in percent of the true one.
const SLOW_CLOCK_PERCENT: u64 = 98;
/// Interval between two checks for runs that are over.
const CHECK_INTERVAL: Duration = Duration::from_millis(10);

impl State {
    /// Returns the state of a new incarnation, which has nothing of earlier ones.
    fn new(incarnation: u64, clock_percent: u64) -> Self {
        Self {
            incarnation,
            connected_since: 0,
            writes: 0,
            capacity_milli: CAPACITY_MILLI,
            shrunk_since: None,
            crash_at: None,
            down_until: None,
            left: false,
            draining_since: None,
            evacuated_since: None,
            ended: VecDeque::new(),
            last_sequence: 0,
            fails: false,
            fence: 0,
            lease_until_ms: 0,
            delays_starts: None,
            clock_percent,
            started: Instant::now(),
            highest_ended: BTreeMap::new(),
            running: BTreeMap::new(),
            used_milli: 0,
        }
    }

    /// Returns its own clock, in milliseconds since its start.
    fn clock_ms(&self) -> u64 {
        self.started.elapsed().as_millis() as u64 * self.clock_percent / 100
    }

    /// Returns whether it does nothing yet after a crash.
    fn is_down(&self) -> bool {
        self.down_until.is_some_and(|until| Instant::now() < until)
    }

    /// Extends the lease as an order or a poll asks.
    fn extend_lease(&mut self, deadline_ms: u64) {
        let longest_ms = self.clock_ms() + MAX_LEASE_MS;
        self.lease_until_ms = self.lease_until_ms.max(deadline_ms.min(longest_ms));
    }
}

impl UsersLedger {
    /// Returns the runs of a task.
    pub fn entry(&self, task: &str) -> Entry {
        lock(&self.entries).get(task).cloned().unwrap_or_default()
    }

    /// Returns every task that was started, with its runs.
    pub fn tasks(&self) -> Vec<(String, Entry)> {
        lock(&self.entries).iter().map(|(task, entry)| (task.clone(), entry.clone())).collect()
    }

    /// Records a violation of the scheduler's guarantees.
    pub fn record_violation(&self, violation: String) {
        lock(&self.violations).push(violation);
    }

    /// Returns the violations recorded so far.
    pub fn violations(&self) -> Vec<String> {
        lock(&self.violations).clone()
    }

    fn change(&self, task: &str, change: impl FnOnce(&mut Entry)) {
        change(lock(&self.entries).entry(task.into()).or_default());
    }

    /// Voids ends that their worker has forgotten, or whose lease has lapsed since.
    fn void_ends<'a>(&self, worker: &str, ends: impl IntoIterator<Item = &'a End>) {
        for end in ends.into_iter().filter(|end| end.outcome == "done") {
            self.change(&end.task, |entry| {
                drop(entry.take_open_end(worker, end.sequence));
            });
        }
    }

    /// Records that the end of a run as done was acknowledged. It doesn't count once it is void.
    fn acknowledge_done(&self, worker: &str, end: &End) {
        let mut open_end = None;
        self.change(&end.task, |entry| {
            open_end = entry.take_open_end(worker, end.sequence);
            entry.acknowledged |= open_end.is_some();
        });
        if let Some(other) = open_end.and_then(|end| end.restarted_on) {
            self.record_violation(format!(
                "task {} was started on {other} after its end as done on {worker}, which was \
                 acknowledged later",
                end.task
            ));
        }
    }
}

impl Entry {
    fn take_open_end(&mut self, worker: &str, sequence: u64) -> Option<OpenEnd> {
        let is_this = |end: &OpenEnd| end.worker == worker && end.sequence == sequence;
        let position = self.open_ends.iter().position(is_this)?;
        Some(self.open_ends.swap_remove(position))
    }
}

impl UsersWorker {
    /// Starts a worker on a free port of this machine, and returns its address.
    pub async fn start(id: &str, ledger: UsersLedger) -> io::Result<(Self, SocketAddr)> {
        let listener = TcpListener::bind(("127.0.0.1", 0)).await?;
        let address = listener.local_addr()?;
        let is_slow = id.bytes().last().is_some_and(|last| last % 2 == 1);
        let clock_percent = if is_slow { SLOW_CLOCK_PERCENT } else { 100 };
        let worker = Self {
            id: id.into(),
            zone: "a",
            ledger,
            changed: Arc::default(),
            state: Arc::new(Mutex::new(State::new(1, clock_percent))),
        };
        let background = worker.clone();
        tokio::spawn(async move {
            loop {
                tokio::time::sleep(CHECK_INTERVAL).await;
                background.crash_if_due();
                background.end_runs();
            }
        });
        let served_worker = worker.clone();
        users_http::serve(listener, move || {
            let worker = served_worker.clone();
            let life = lock(&worker.state).incarnation;
            move |parts, body| {
                let worker = worker.clone();
                async move { worker.answer(life, &parts, &body).await }
            }
        });
        Ok((worker, address))
    }

    /// Writes the worker's entry to the store, with `address` as its address.
    pub fn register(&self, store: &UsersStore, address: SocketAddr, draining: bool) {
        store.put(&self.key(), &self.tell(address, draining));
    }

    /// Writes the entry as `register` does, for the time until it counts as silent.
    pub fn beat(&self, store: &UsersStore, address: SocketAddr, draining: bool) {
        store.beat(&self.key(), &self.tell(address, draining), ENTRY_LIFETIME);
    }

    /// Returns the key of its entry.
    pub fn key(&self) -> String {
        format!("servers/{}", self.id)
    }

    /// Returns its next entry, from which on it counts as draining or not.
    fn tell(&self, address: SocketAddr, draining: bool) -> Value {
        let mut state = lock(&self.state);
        state.writes += 1;
        state.draining_since = draining.then(|| state.draining_since.unwrap_or_else(Instant::now));
        json!({
            "service": "desk", "address": address, "zone": self.zone, "version": "v1", "slots": 8,
            "state": if draining { "draining" } else { "ready" }, "cold_remaining_ms": 0,
            "capacity": {"cpu": state.capacity_milli, "mem_mb": 65_536, "gpu": 0},
            "labels": ["a", "r1"], "seq": state.writes, "born": state.incarnation,
        })
    }

    /// Sets the worker's zone, before it registers.
    pub fn in_zone(mut self, zone: &'static str) -> Self {
        self.zone = zone;
        self
    }

    /// Sets whether the worker's zone is evacuated.
    pub fn set_evacuated(&self, evacuated: bool) {
        lock(&self.state).evacuated_since = evacuated.then(Instant::now);
    }

    /// Returns whether its entry says that it drains.
    pub fn is_draining(&self) -> bool {
        lock(&self.state).draining_since.is_some()
    }

    /// Returns the number of its current life, as its entry and listings tell it.
    pub fn life(&self) -> u64 {
        lock(&self.state).incarnation
    }

    /// Returns whether it does nothing yet after a crash by a task.
    pub fn is_down(&self) -> bool {
        lock(&self.state).is_down()
    }

    /// Returns the processors that its runs leave, in thousandths of a core.
    pub fn free_milli(&self) -> u64 {
        let state = lock(&self.state);
        state.capacity_milli.saturating_sub(state.used_milli)
    }

    /// Sets the processors that its entry tells from the next registration on, in thousandths of a core.
    pub fn set_capacity(&self, milli: u64) {
        let mut state = lock(&self.state);
        if milli < state.capacity_milli {
            state.shrunk_since = Some(Instant::now());
        } else if milli == CAPACITY_MILLI {
            state.shrunk_since = None;
        }
        state.capacity_milli = milli;
    }

    /// Sets whether runs that reach their end from now on fail.
    pub fn set_failing(&self, fails: bool) {
        lock(&self.state).fails = fails;
    }

    /// Lets starts that arrive from now on get no answer. They are carried out later, by the life that the worker
    /// then has, unless it has seen no fencing token, as nothing could keep such a life from it. `None`: starts are
    /// carried out at once.
    pub fn delay_starts(&self, delay: Option<Duration>) {
        lock(&self.state).delays_starts = delay;
    }

    /// Loses every run and all state, and continues as a new incarnation under the same id.
    pub fn crash(&self) {
        let mut state = lock(&self.state);
        for task in state.running.keys() {
            self.ledger.change(task, |entry| {
                entry.running.remove(&self.id);
            });
        }
        self.ledger.void_ends(&self.id, &state.ended);
        let next = State::new(state.incarnation + 1, state.clock_percent);
        *state = State {
            capacity_milli: state.capacity_milli,
            connected_since: state.connected_since,
            delays_starts: state.delays_starts,
            evacuated_since: state.evacuated_since,
            shrunk_since: state.shrunk_since,
            ..next
        };
    }

    /// Crashes, and answers calls over new connections only. Those that are open tell nobody, as after a loss of power.
    pub fn restart_silently(&self) {
        self.crash();
        let mut state = lock(&self.state);
        state.connected_since = state.incarnation;
    }

    /// Loses every run, and answers no call from now on. Its entry in the store stays.
    pub fn leave(&self) {
        self.crash();
        lock(&self.state).left = true;
    }

    /// Crashes if a task that does so has run for `FUSE_TIME`, and is down for `DOWN_TIME`.
    fn crash_if_due(&self) {
        let now = Instant::now();
        if lock(&self.state).crash_at.is_none_or(|at| at > now) {
            return;
        }
        self.crash();
        lock(&self.state).down_until = Some(now + DOWN_TIME);
        self.changed.notify_waiters();
    }

    /// Ends the runs that are over: all if the lease has expired, else those whose work is done or that
    /// have stopped.
    fn end_runs(&self) {
        let mut state = lock(&self.state);
        let lapsed = state.clock_ms() > state.lease_until_ms;
        if lapsed {
            self.ledger.void_ends(&self.id, &state.ended);
        }
        let now = Instant::now();
        let fails = state.fails;
        let outcome = |run: &Run| match (lapsed, run.stopping, fails) {
            (true, ..) => "lapsed",
            (false, true, _) => "stopped",
            (false, false, true) => "failed",
            (false, false, false) => "done",
        };
        let over: Vec<(String, &'static str)> = state
            .running
            .iter()
            .filter(|(_, run)| lapsed || run.until <= now)
            .map(|(task, run)| (task.clone(), outcome(run)))
            .collect();
        over.iter().for_each(|(task, outcome)| self.end(&mut state, task, outcome));
    }

    fn end(&self, state: &mut State, task: &str, outcome: &'static str) {
        let Some(run) = state.running.remove(task) else { return };
        state.used_milli -= run.milli;
        state.last_sequence += 1;
        let sequence = state.last_sequence;
        state.ended.push_back(End { sequence, task: task.into(), run: run.run, outcome });
        let highest = state.highest_ended.entry(task.into()).or_default();
        *highest = (*highest).max(run.run);
        self.ledger.change(task, |entry| {
            entry.running.remove(&self.id);
            entry.done += u32::from(outcome == "done");
            entry.failures += u32::from(outcome == "failed");
            if outcome == "done" {
                let worker = self.id.clone();
                entry.open_ends.push(OpenEnd { worker, sequence, restarted_on: None });
            }
        });
        self.changed.notify_waiters();
    }

    /// Answers a call over a connection that was made in the incarnation `life`.
    async fn answer(&self, life: u64, parts: &Parts, body: &Value) -> Response<Full<Bytes>> {
        let expected_id =
            parts.headers.get("expect-instance").and_then(|value| value.to_str().ok());
        if expected_id.is_some_and(|id| id != self.id) {
            return respond(421, &json!({}));
        }
        let is_silent = |state: &State| state.left || life < state.connected_since;
        if is_silent(&lock(&self.state)) {
            std::future::pending::<()>().await;
        }
        let delay = lock(&self.state).delays_starts.filter(|_| parts.uri.path() == START_PATH);
        if let Some(delay) = delay {
            let (worker, body) = (self.clone(), body.clone());
            tokio::spawn(async move {
                tokio::time::sleep(delay).await;
                if lock(&worker.state).fence > 0 {
                    worker.carry_out(START_PATH, &body).await;
                }
            });
            std::future::pending::<()>().await;
        }
        let answer = self.carry_out(parts.uri.path(), body).await;
        // A poll may have waited through a crash.
        if is_silent(&lock(&self.state)) {
            std::future::pending::<()>().await;
        }
        answer
    }

    /// Carries an order or a poll out.
    async fn carry_out(&self, path: &str, body: &Value) -> Response<Full<Bytes>> {
        let fence = body["fencing_token"].as_u64().unwrap_or(0);
        {
            let mut state = lock(&self.state);
            if state.is_down() {
                return respond(503, &json!({}));
            }
            if fence < state.fence {
                return self.refuse(&state, "fence");
            }
            state.fence = fence;
        }
        match path {
            START_PATH => self.start_run(body),
            "/-/run-stop" => self.stop_run(body),
            "/-/hold" => self.poll(body).await,
            "/-/pace" => respond(200, &json!({"clock_ms": 0})),
            _ => respond(404, &json!({})),
        }
    }

    fn refuse(&self, state: &State, reason: &str) -> Response<Full<Bytes>> {
        respond(409, &json!({"clock_ms": state.clock_ms(), "reason": reason}))
    }

    /// Starts a run. The task's spec is "MS MILLI": its run time in milliseconds and its processors
    /// in thousandths of a core; 100 for each that is not a number. A third word names the task of the
    /// job, as STEP.INDEX, that crashes its worker.
    fn start_run(&self, body: &Value) -> Response<Full<Bytes>> {
        let mut state = lock(&self.state);
        let task = body["task"].as_str().unwrap_or_default().to_owned();
        let run = body["run"].as_u64().unwrap_or(0) as u32;
        let clock_ms = state.clock_ms();
        let deadline_ms = body["deadline_ms"].as_u64().unwrap_or(0);
        if deadline_ms <= clock_ms {
            return self.refuse(&state, "late");
        }
        // A start that is refused as old or for want of room extends it, too.
        state.extend_lease(deadline_ms);
        if state.running.get(&task).is_some_and(|active| active.run == run) {
            return respond(200, &json!({"clock_ms": clock_ms}));
        }
        if state.highest_ended.get(&task).is_some_and(|highest| *highest >= run) {
            return self.refuse(&state, "old");
        }
        let mut words = body["spec"].as_str().unwrap_or_default().split(' ');
        let mut number = || words.next().and_then(|word| word.parse::<u64>().ok()).unwrap_or(100);
        let (run_ms, milli) = (number(), number());
        let crashing = words.next().is_some_and(|suffix| task.ends_with(&format!(".0.{suffix}")));
        let shrunk_for = state.shrunk_since.map(|since| since.elapsed());
        if state.used_milli + milli > state.capacity_milli {
            match shrunk_for {
                None => return self.refuse(&state, "room"),
                Some(shrunk_for) if shrunk_for > SHRINK_LIMIT => {
                    self.ledger.record_violation(format!(
                        "task {task} is started on {}, which holds {} of {} since {} ms",
                        self.id,
                        state.used_milli,
                        state.capacity_milli,
                        shrunk_for.as_millis()
                    ));
                }
                Some(_) => {}
            }
        }
        let task_entry = self.ledger.entry(&task);
        if !task_entry.running.is_empty() {
            self.ledger.record_violation(format!(
                "task {task} is started on {} while it runs on {:?}",
                self.id, task_entry.running
            ));
        }
        if task_entry.acknowledged {
            self.ledger.record_violation(format!(
                "task {task} is started on {} after its end as done was acknowledged",
                self.id
            ));
        }
        let drained_for = state.draining_since.map_or(Duration::ZERO, |since| since.elapsed());
        if drained_for > DRAIN_LIMIT {
            self.ledger.record_violation(format!(
                "task {task} is started on {}, which has drained for {} ms",
                self.id,
                drained_for.as_millis()
            ));
        }
        let evacuated_for = state.evacuated_since.map_or(Duration::ZERO, |since| since.elapsed());
        if evacuated_for > EVACUATION_LIMIT {
            self.ledger.record_violation(format!(
                "task {task} is started on {}, whose zone {} has been evacuated for {} ms",
                self.id,
                self.zone,
                evacuated_for.as_millis()
            ));
        }
        self.ledger.change(&task, |entry| {
            entry.running.insert(self.id.clone());
            for end in &mut entry.open_ends {
                end.restarted_on.get_or_insert_with(|| self.id.clone());
            }
            entry.starts += 1;
            entry.late_starts += u32::from(entry.crashes >= MAX_CRASHES);
            entry.crashes += u32::from(crashing);
        });
        if crashing {
            state.crash_at = Some(Instant::now() + FUSE_TIME);
            if self.ledger.entry(&task).late_starts >= MAX_LATE_STARTS {
                self.ledger.record_violation(format!(
                    "task {task} is started {MAX_LATE_STARTS} times more after {MAX_CRASHES} workers \
                     had crashed under it"
                ));
            }
        }
        state.used_milli += milli;
        let until = Instant::now() + Duration::from_millis(run_ms);
        state.running.insert(task, Run { run, milli, until, stopping: false });
        respond(200, &json!({"clock_ms": clock_ms}))
    }

    /// Stops a run of a task, which takes `STOP_TIME`, and refuses later starts up to this run.
    fn stop_run(&self, body: &Value) -> Response<Full<Bytes>> {
        let mut state = lock(&self.state);
        let task = body["task"].as_str().unwrap_or_default().to_owned();
        let run = body["run"].as_u64().unwrap_or(0) as u32;
        let highest = state.highest_ended.entry(task.clone()).or_default();
        *highest = (*highest).max(run);
        if let Some(active) = state.running.get_mut(&task).filter(|active| active.run <= run) {
            active.until = active.until.min(Instant::now() + STOP_TIME);
            active.stopping = true;
        }
        respond(200, &json!({"clock_ms": state.clock_ms()}))
    }

    /// Renews the lease, drops the ended runs up to `last_seen`, which this acknowledges, and
    /// answers once another one is there or `wait_ms` is over.
    async fn poll(&self, body: &Value) -> Response<Full<Bytes>> {
        let acknowledged_sequence = body["last_seen"].as_u64().unwrap_or(0);
        let wait = Duration::from_millis(body["wait_ms"].as_u64().unwrap_or(0));
        let deadline = Instant::now() + wait;
        {
            let mut state = lock(&self.state);
            state.extend_lease(body["deadline_ms"].as_u64().unwrap_or(0));
            while let Some(end) =
                state.ended.front().filter(|end| end.sequence <= acknowledged_sequence).cloned()
            {
                state.ended.pop_front();
                match end.outcome {
                    "done" => self.ledger.acknowledge_done(&self.id, &end),
                    "failed" => self.ledger.change(&end.task, |entry| {
                        entry.failed.insert(end.run);
                    }),
                    _ => {}
                }
            }
        }
        loop {
            let notified = self.changed.notified();
            {
                let state = lock(&self.state);
                if !state.ended.is_empty() || Instant::now() >= deadline {
                    return respond(200, &poll_answer(&state));
                }
            }
            let _ = tokio::time::timeout_at(deadline, notified).await;
        }
    }
}

/// Returns the runs in progress and the ended ones, as answered to a poll.
fn poll_answer(state: &State) -> Value {
    let running: Vec<Value> =
        state.running.iter().map(|(task, run)| json!([task, run.run, "", 50, 500])).collect();
    let ended: Vec<Value> = state
        .ended
        .iter()
        .take(ENDS_PER_ANSWER)
        .map(|end| json!([end.sequence, end.task, end.run, end.outcome, ""]))
        .collect();
    json!({"clock_ms": state.clock_ms(), "born": state.incarnation, "running": running, "ended": ended})
}
