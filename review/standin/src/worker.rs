//! A worker of the platform, and the account of what all workers ran.

use {
    crate::{
        http::{self, Reply, Request},
        json::{Json, object},
        record::Record,
        store::Store,
    },
    std::{
        collections::BTreeMap,
        net::{SocketAddr, TcpListener},
        sync::{Arc, Condvar, Mutex},
        thread,
        time::{Duration, Instant},
    },
};

/// One run of a task, with times in milliseconds since the start of the case.
#[derive(Clone, Debug)]
pub struct Run {
    pub task: String,
    pub run: u32,
    pub worker: String,
    pub checkpoint: String,
    pub started: u64,
    /// When it ended, and how.
    pub ended: Option<(u64, &'static str)>,
    /// When `last_seen` of a later call reached its end.
    pub noted: Option<u64>,
}

/// What all workers ran, in the order of the starts. Clones share it.
#[derive(Clone, Default)]
pub struct Ledger {
    runs: Arc<Mutex<Vec<Run>>>,
}

impl Ledger {
    /// Returns all runs so far.
    pub fn runs(&self) -> Vec<Run> {
        self.runs.lock().unwrap().clone()
    }

    /// Returns the runs of a job's tasks.
    pub fn runs_of(&self, job: &str) -> Vec<Run> {
        let prefix = format!("{job}.");
        self.runs().into_iter().filter(|run| run.task.starts_with(&prefix)).collect()
    }

    fn add(&self, run: Run) -> usize {
        let mut runs = self.runs.lock().unwrap();
        runs.push(run);
        runs.len() - 1
    }

    fn change(&self, number: usize, change: impl FnOnce(&mut Run)) {
        change(&mut self.runs.lock().unwrap()[number]);
    }
}

/// What a worker is.
#[derive(Clone, Debug)]
pub struct Kind {
    pub id: String,
    pub service: &'static str,
    pub zone: &'static str,
    pub cpu: u64,
    pub mem_mb: u64,
    pub labels: Vec<String>,
    /// The longest lease, in milliseconds.
    pub hold_max_ms: u64,
    /// Work after which a new checkpoint is there, in milliseconds.
    pub checkpoint_ms: u64,
}

/// A task's demands, from the specification of its job: `MS CPU MEM`. A task of 0 ms lasts.
#[derive(Clone, Copy, Debug)]
struct Demand {
    run_ms: u64,
    cpu: u64,
    mem_mb: u64,
}

/// A run in progress.
struct Active {
    run: u32,
    entry: usize,
    demand: Demand,
    started: Instant,
    /// The work that its checkpoint saved, in milliseconds.
    resumed_ms: u64,
    /// The number of members of its gang, and when all of them were present.
    gang: Option<Gang>,
}

/// A gang's members are known by the same task name up to the last dot and the same run.
#[derive(Clone)]
struct Gang {
    size: usize,
    key: String,
}

struct State {
    started: Instant,
    born: u64,
    fence: u64,
    lease_until: u64,
    /// When its lease was last found over, in milliseconds since the start of the case.
    lapsed_at: Option<u64>,
    /// When it last wrote to the store, and when a call that renews its lease last came.
    beaten_at: Instant,
    renewed_at: Instant,
    running: BTreeMap<String, Active>,
    /// Number of the end, task, run, how, checkpoint, entry of the ledger.
    ended: Vec<(u64, String, u32, &'static str, String, usize)>,
    last_end: u64,
    highest: BTreeMap<String, u32>,
    used: (u64, u64),
    draining: Option<Instant>,
    /// It is cut off, and runs on.
    cut: bool,
    /// It has crashed for good.
    dead: bool,
    seq: u64,
}

impl State {
    /// Returns the state of a new incarnation.
    fn new() -> Self {
        let unix = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH);
        Self {
            started: Instant::now(),
            born: unix.unwrap_or_default().as_millis() as u64,
            fence: 0,
            lease_until: 0,
            lapsed_at: None,
            beaten_at: Instant::now(),
            renewed_at: Instant::now(),
            running: BTreeMap::new(),
            ended: Vec::new(),
            last_end: 0,
            highest: BTreeMap::new(),
            used: (0, 0),
            draining: None,
            cut: false,
            dead: false,
            seq: 0,
        }
    }
}

/// The members of gangs that are present, over all workers: task name without index, and run.
pub type Gangs = Arc<Mutex<BTreeMap<(String, u32), GangState>>>;

/// The state of one run of a gang.
#[derive(Clone, Debug, Default)]
pub struct GangState {
    pub present: usize,
    pub complete_since: Option<Instant>,
    pub broken: bool,
    pub done: bool,
}

/// A worker. Clones share it.
#[derive(Clone)]
pub struct Worker {
    pub kind: Kind,
    pub address: SocketAddr,
    /// The number of members of the gangs that it is sent; 0 if tasks run alone.
    gang_size: usize,
    gangs: Gangs,
    ledger: Ledger,
    record: Record,
    state: Arc<(Mutex<State>, Condvar)>,
}

/// The most ends in an answer.
const MAX_ENDS: usize = 500;
/// The longest wait for an end, in milliseconds.
const MAX_WAIT_MS: u64 = 2_000;
/// The worker's clock starts at this time, in milliseconds.
const CLOCK_START_MS: u64 = 100_000;

impl Worker {
    /// Starts a worker, which registers itself in the store and writes there every `heartbeat`. The
    /// first write is made `phase` after the start.
    pub fn start(
        kind: Kind,
        gang_size: usize,
        gangs: Gangs,
        ledger: Ledger,
        record: Record,
        store: Store,
        heartbeat: Duration,
        phase: Duration,
    ) -> std::io::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let address = listener.local_addr()?;
        let state = State::new();
        let state = Arc::new((Mutex::new(state), Condvar::new()));
        let worker = Self { kind, address, gang_size, gangs, ledger, record, state };
        let served = worker.clone();
        http::serve(listener, move |request| served.answer(&request));
        let sweeper = worker.clone();
        thread::spawn(move || {
            loop {
                thread::sleep(Duration::from_millis(5));
                sweeper.end_runs();
            }
        });
        let beating = worker.clone();
        thread::spawn(move || {
            thread::sleep(phase);
            loop {
                beating.beat(&store);
                thread::sleep(heartbeat);
            }
        });
        Ok(worker)
    }

    /// Writes its entry, unless it is cut off or gone.
    pub fn beat(&self, store: &Store) {
        let mut state = self.state.0.lock().unwrap();
        if state.cut || state.dead {
            return;
        }
        state.seq += 1;
        state.beaten_at = Instant::now();
        let labels = self.kind.labels.iter().map(|label| label.as_str().into()).collect();
        let capacity = vec![
            ("cpu", self.kind.cpu.into()),
            ("mem_mb", self.kind.mem_mb.into()),
            ("gpu", 0.into()),
        ];
        let mut fields = vec![
            ("service", self.kind.service.into()),
            ("address", self.address.to_string().as_str().into()),
            ("zone", self.kind.zone.into()),
            ("version", "v1".into()),
            ("slots", 8.into()),
            ("state", if state.draining.is_some() { "draining" } else { "ready" }.into()),
            ("cold_remaining_ms", 0.into()),
            ("seq", state.seq.into()),
            ("capacity", object(capacity)),
            ("labels", Json::List(labels)),
            ("born", state.born.into()),
        ];
        if state.draining.is_some() {
            fields.push(("remaining_ms", 5_000.into()));
        }
        store.beat(&self.kind.id, &object(fields));
    }

    /// Starts to drain, and says so in the store.
    pub fn drain(&self, store: &Store) {
        self.state.0.lock().unwrap().draining = Some(Instant::now());
        self.record.line(format!("worker {} drains", self.kind.id));
        self.beat(store);
    }

    /// Cuts it off from everything, or ends that. It runs on.
    pub fn set_cut(&self, cut: bool) {
        self.state.0.lock().unwrap().cut = cut;
        self.state.1.notify_all();
        self.record.line(format!("worker {} cut off: {cut}", self.kind.id));
    }

    /// Crashes: everything that it runs is lost, and it is silent from now on.
    pub fn crash(&self) {
        let mut state = self.state.0.lock().unwrap();
        state.dead = true;
        let lost: Vec<String> = state.running.keys().cloned().collect();
        for task in lost {
            self.end(&mut state, &task, "crashed");
        }
        state.ended.clear();
        self.state.1.notify_all();
        self.record.line(format!("worker {} crashed for good", self.kind.id));
    }

    /// Starts again under its id: it knows nothing of before, and its counts begin anew.
    pub fn restart(&self, store: &Store) {
        {
            let mut state = self.state.0.lock().unwrap();
            *state = State::new();
        }
        self.record.line(format!("worker {} starts again", self.kind.id));
        self.beat(store);
    }

    /// Returns whether it runs something.
    pub fn is_busy(&self) -> bool {
        !self.state.0.lock().unwrap().running.is_empty()
    }

    /// Returns how long ago it last wrote to the store, and how long ago a call last renewed its lease.
    pub fn ages(&self) -> (Duration, Duration) {
        let state = self.state.0.lock().unwrap();
        (state.beaten_at.elapsed(), state.renewed_at.elapsed())
    }

    /// Returns its processors in use, in thousandths of a core.
    pub fn used_milli(&self) -> u64 {
        self.state.0.lock().unwrap().used.0
    }

    /// Returns the number of its ends that no call has taken note of.
    pub fn unseen_ends(&self) -> usize {
        self.state.0.lock().unwrap().ended.len()
    }

    fn end_runs(&self) {
        let mut state = self.state.0.lock().unwrap();
        let lapsed = clock_ms(&state) > state.lease_until;
        if lapsed {
            state.lapsed_at = Some(self.record.now_ms());
        }
        if state.dead || state.running.is_empty() {
            return;
        }
        let mut over: Vec<(String, &'static str)> = Vec::new();
        for (task, active) in &state.running {
            if lapsed {
                over.push((task.clone(), "lapsed"));
            } else if let Some(how) = self.outcome(active) {
                over.push((task.clone(), how));
            }
        }
        for (task, how) in over {
            self.end(&mut state, &task, how);
        }
    }

    /// Returns how a run ends now, if it does.
    fn outcome(&self, active: &Active) -> Option<&'static str> {
        let work_ms = match &active.gang {
            None => active.started.elapsed().as_millis() as u64 + active.resumed_ms,
            Some(gang) => {
                let gangs = self.gangs.lock().unwrap();
                let state = gangs.get(&(gang.key.clone(), active.run))?;
                if state.broken {
                    return Some("broken");
                }
                state.complete_since?.elapsed().as_millis() as u64 + active.resumed_ms
            }
        };
        (active.demand.run_ms > 0 && work_ms >= active.demand.run_ms).then_some("done")
    }

    /// Returns a run's checkpoint: the work done and the member that saved it.
    fn checkpoint(&self, task: &str, active: &Active, at_stop: bool) -> String {
        let Some(gang) = &active.gang else { return String::new() };
        let gangs = self.gangs.lock().unwrap();
        let complete = gangs.get(&(gang.key.clone(), active.run)).and_then(|g| g.complete_since);
        let work = complete.map_or(0, |at| at.elapsed().as_millis() as u64);
        let unit = if at_stop { 1 } else { self.kind.checkpoint_ms };
        let saved = work / unit * unit + active.resumed_ms;
        let member = task.rsplit('.').next().unwrap_or_default();
        if saved == 0 { String::new() } else { format!("{saved:08}-{member}") }
    }

    fn end(&self, state: &mut State, task: &str, how: &'static str) {
        let Some(active) = state.running.get(task) else { return };
        let saved = self.checkpoint(task, active, how == "stopped");
        let Some(active) = state.running.remove(task) else { return };
        if let Some(gang) = &active.gang {
            let mut gangs = self.gangs.lock().unwrap();
            let entry = gangs.entry((gang.key.clone(), active.run)).or_default();
            entry.present = entry.present.saturating_sub(1);
            if how == "done" {
                entry.done = true;
            } else if !entry.done {
                entry.broken = true;
            }
        }
        state.used.0 -= active.demand.cpu;
        state.used.1 -= active.demand.mem_mb;
        state.last_end += 1;
        let number = state.last_end;
        state.ended.push((number, task.into(), active.run, how, saved, active.entry));
        let highest = state.highest.entry(task.into()).or_default();
        *highest = (*highest).max(active.run);
        let now = self.record.now_ms();
        self.ledger.change(active.entry, |run| run.ended = Some((now, how)));
        self.record.line(format!("worker {}: {task} run {} ended {how}", self.kind.id, active.run));
        self.state.1.notify_all();
    }

    fn answer(&self, request: &Request) -> Reply {
        if request.expect_instance.as_ref().is_some_and(|id| *id != self.kind.id) {
            return Reply::Answer(421, object(vec![]));
        }
        let body = &request.body;
        {
            let mut state = self.state.0.lock().unwrap();
            if state.cut || state.dead {
                return Reply::Silence;
            }
            let fence = body.get("fencing_token").int();
            if fence < state.fence {
                return refuse(&state, "fence");
            }
            state.fence = fence;
        }
        match request.path.as_str() {
            "/-/run-start" => self.start_run(body),
            "/-/run-stop" => self.stop_run(body),
            "/-/hold" => self.hold(body),
            "/-/pace" => self.clock(),
            _ => Reply::Answer(404, object(vec![])),
        }
    }

    fn clock(&self) -> Reply {
        let state = self.state.0.lock().unwrap();
        Reply::Answer(200, object(vec![("clock_ms", clock_ms(&state).into())]))
    }

    fn grant(&self, state: &mut State, deadline_ms: u64) {
        if clock_ms(state) > state.lease_until {
            state.lapsed_at = Some(self.record.now_ms());
        }
        state.renewed_at = Instant::now();
        let until = deadline_ms.min(clock_ms(state) + self.kind.hold_max_ms);
        state.lease_until = state.lease_until.max(until);
    }

    fn start_run(&self, body: &Json) -> Reply {
        let mut state = self.state.0.lock().unwrap();
        let task = body.get("task").text().to_owned();
        let run = body.get("run").int() as u32;
        let checkpoint = body.get("checkpoint").text().to_owned();
        let deadline_ms = body.get("deadline_ms").int();
        if deadline_ms <= clock_ms(&state) {
            return refuse(&state, "late");
        }
        self.grant(&mut state, deadline_ms);
        if state.running.get(&task).is_some_and(|active| active.run == run) {
            drop(state);
            return self.clock();
        }
        if state.highest.get(&task).is_some_and(|highest| *highest >= run) {
            return refuse(&state, "old");
        }
        let mut words = body.get("spec").text().split(' ').map(|word| word.parse().unwrap_or(0));
        let mut word = || words.next().unwrap_or(0);
        let (run_ms, cpu, mem_mb, spread_ms) = (word(), word(), word(), word());
        let index: u64 = task.rsplit('.').next().and_then(|word| word.parse().ok()).unwrap_or(0);
        let run_ms = run_ms + if spread_ms > 0 { index * 37 % spread_ms } else { 0 };
        let demand = Demand { run_ms, cpu, mem_mb };
        let fits = state.used.0 + cpu <= self.kind.cpu && state.used.1 + mem_mb <= self.kind.mem_mb;
        if !fits || state.running.contains_key(&task) {
            return refuse(&state, "room");
        }
        state.used.0 += cpu;
        state.used.1 += mem_mb;
        let started = self.record.now_ms();
        let entry = self.ledger.add(Run {
            task: task.clone(),
            run,
            worker: self.kind.id.clone(),
            checkpoint: checkpoint.clone(),
            started,
            ended: None,
            noted: None,
        });
        let saved = checkpoint.split('-').next().and_then(|word| word.parse().ok()).unwrap_or(0);
        let gang = (self.gang_size > 0).then(|| {
            let key = task.rsplit_once('.').map_or("", |(key, _)| key).to_owned();
            let mut gangs = self.gangs.lock().unwrap();
            let entry = gangs.entry((key.clone(), run)).or_default();
            entry.present += 1;
            if entry.present == self.gang_size {
                entry.complete_since = Some(Instant::now());
            }
            Gang { size: self.gang_size, key }
        });
        debug_assert!(gang.as_ref().is_none_or(|gang| gang.size > 0));
        let active =
            Active { run, entry, demand, started: Instant::now(), resumed_ms: saved, gang };
        let suffix = if checkpoint.is_empty() { String::new() } else { format!(" from {checkpoint}") };
        self.record.line(format!("worker {}: {task} run {run} starts{suffix}", self.kind.id));
        state.running.insert(task, active);
        drop(state);
        self.clock()
    }

    fn stop_run(&self, body: &Json) -> Reply {
        let mut state = self.state.0.lock().unwrap();
        let task = body.get("task").text().to_owned();
        let run = body.get("run").int() as u32;
        let highest = state.highest.entry(task.clone()).or_default();
        *highest = (*highest).max(run);
        if state.running.get(&task).is_some_and(|active| active.run <= run) {
            self.end(&mut state, &task, "stopped");
        }
        drop(state);
        self.clock()
    }

    fn hold(&self, body: &Json) -> Reply {
        let (mutex, changed) = &*self.state;
        let mut state = mutex.lock().unwrap();
        let deadline_ms = body.get("deadline_ms").int();
        if deadline_ms > 0 {
            self.grant(&mut state, deadline_ms);
        }
        let seen = body.get("last_seen").int();
        let (now, lapsed_at) = (self.record.now_ms(), state.lapsed_at);
        for (number, .., entry) in &state.ended {
            if *number <= seen {
                // An end isn't taken note of if the lease lapsed between the two.
                self.ledger.change(*entry, |run| {
                    let kept = |(at, _): (u64, _)| lapsed_at.is_none_or(|lapsed| lapsed < at);
                    run.noted = run.ended.is_some_and(kept).then_some(now);
                });
            }
        }
        state.ended.retain(|(number, ..)| *number > seen);
        let wait_ms = body.get("wait_ms").int().min(MAX_WAIT_MS);
        let deadline = Instant::now() + Duration::from_millis(wait_ms);
        loop {
            if state.cut || state.dead {
                return Reply::Silence;
            }
            let now = Instant::now();
            if !state.ended.is_empty() || now >= deadline {
                return Reply::Answer(200, self.listing(&state));
            }
            state = changed.wait_timeout(state, deadline - now).unwrap().0;
        }
    }

    fn listing(&self, state: &State) -> Json {
        let running = state.running.iter().map(|(task, active)| {
            let saved = self.checkpoint(task, active, false);
            let elapsed = active.started.elapsed().as_millis() as u64;
            let percent = match active.demand.run_ms {
                0 => 100,
                run_ms => (elapsed * 100 / run_ms).min(99),
            };
            Json::List(vec![
                task.as_str().into(),
                u64::from(active.run).into(),
                saved.as_str().into(),
                percent.into(),
                active.demand.cpu.into(),
            ])
        });
        let ended = state.ended.iter().take(MAX_ENDS).map(|(number, task, run, how, saved, _)| {
            Json::List(vec![
                (*number).into(),
                task.as_str().into(),
                u64::from(*run).into(),
                (*how).into(),
                saved.as_str().into(),
            ])
        });
        object(vec![
            ("clock_ms", clock_ms(state).into()),
            ("born", state.born.into()),
            ("running", Json::List(running.collect())),
            ("ended", Json::List(ended.collect())),
        ])
    }
}

fn clock_ms(state: &State) -> u64 {
    CLOCK_START_MS + state.started.elapsed().as_millis() as u64
}

fn refuse(state: &State, reason: &str) -> Reply {
    let fields = vec![("clock_ms", clock_ms(state).into()), ("reason", reason.into())];
    Reply::Answer(409, object(fields))
}
