//! A worker of the platform, after PROTOCOL.md. The spec of a task is its run time in milliseconds, "lasts", or
//! "gang COUNT" for the members of a gang that lasts and saves its progress.

use {
    crate::{
        http::{self, Answer, Call},
        json::quoted,
        record::Record,
        store::Store,
    },
    std::{
        collections::{BTreeMap, BTreeSet},
        net::{SocketAddr, TcpListener},
        sync::{Arc, Condvar, Mutex},
        thread,
        time::{Duration, Instant, SystemTime, UNIX_EPOCH},
    },
};

pub const HEARTBEAT: Duration = Duration::from_millis(1_500);
pub const HOLD_MAX_MS: u64 = 6_000;
const STOP_MS: u64 = 100;
/// How long a member of a gang waits for the others.
const GANG_TIMEOUT: Duration = Duration::from_secs(3);
const CHECKPOINT_MS: u128 = 1_000;
const CPU: u64 = 16_000;

struct Run {
    number: u64,
    since: Instant,
    until: Option<Instant>,
    stopping: bool,
    /// The gang's number of members.
    gang: Option<usize>,
    checkpoint: String,
}

/// A run of a gang on all workers.
#[derive(Default)]
struct Gang {
    present: BTreeSet<String>,
    complete_since: Option<Instant>,
    broken: bool,
}

/// The gangs' runs by the step and the number of the run. Clones share them.
#[derive(Clone, Default)]
pub struct Gangs(Arc<Mutex<BTreeMap<(String, u64), Gang>>>);

impl Gangs {
    fn with<T>(&self, task: &str, number: u64, look: impl FnOnce(&mut Gang) -> T) -> T {
        let step = task.rsplit_once('.').map_or(task, |(step, _)| step).to_owned();
        look(self.0.lock().unwrap().entry((step, number)).or_default())
    }

    /// Returns since when all members of a run are present.
    fn complete_since(&self, task: &str, number: u64) -> Option<Instant> {
        self.with(task, number, |gang| gang.complete_since.filter(|_| !gang.broken))
    }
}

struct State {
    born: u64,
    started: Instant,
    /// Until when it is down after a crash.
    down_until: Option<Instant>,
    fence: u64,
    lease_until_ms: u64,
    running: BTreeMap<String, Run>,
    highest: BTreeMap<String, u64>,
    ended: Vec<(u64, String, u64, &'static str, String)>,
    last_end: u64,
    seq: u64,
}

#[derive(Clone)]
pub struct Worker {
    pub id: String,
    pub address: SocketAddr,
    rack: String,
    record: Record,
    gangs: Gangs,
    state: Arc<(Mutex<State>, Condvar)>,
}

pub fn unix_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap().as_millis() as u64
}

impl State {
    fn new() -> Self {
        Self {
            born: unix_ms(),
            started: Instant::now(),
            down_until: None,
            fence: 0,
            lease_until_ms: 0,
            running: BTreeMap::new(),
            highest: BTreeMap::new(),
            ended: Vec::new(),
            last_end: 0,
            seq: 0,
        }
    }

    fn clock_ms(&self) -> u64 {
        self.started.elapsed().as_millis() as u64
    }

    fn extend(&mut self, deadline_ms: u64) {
        let longest = self.clock_ms() + HOLD_MAX_MS;
        self.lease_until_ms = self.lease_until_ms.max(deadline_ms.min(longest));
    }
}

impl Worker {
    pub fn start(id: &str, rack: &str, store: &Store, record: &Record, gangs: &Gangs) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let worker = Self {
            id: id.into(),
            address: listener.local_addr().unwrap(),
            rack: rack.into(),
            record: record.clone(),
            gangs: gangs.clone(),
            state: Arc::new((Mutex::new(State::new()), Condvar::new())),
        };
        let served = worker.clone();
        http::serve(listener, move |call| served.answer(&call));
        let ending = worker.clone();
        thread::spawn(move || {
            loop {
                thread::sleep(Duration::from_millis(5));
                ending.end_runs();
            }
        });
        let (beating, store) = (worker.clone(), store.clone());
        thread::spawn(move || {
            loop {
                beating.beat(&store);
                thread::sleep(HEARTBEAT);
            }
        });
        worker
    }

    fn beat(&self, store: &Store) {
        let mut state = self.state.0.lock().unwrap();
        if state.down_until.is_some() {
            return;
        }
        state.seq += 1;
        let entry = format!(
            "{{\"service\":\"desk\",\"address\":\"{}\",\"zone\":\"z\",\"version\":\"v1\",\"slots\":8,\
             \"state\":\"ready\",\"cold_remaining_ms\":0,\"seq\":{},\"born\":{},\
             \"capacity\":{{\"cpu\":{CPU},\"mem_mb\":65536,\"gpu\":0}},\"labels\":[\"a\",\"{}\"]}}",
            self.address, state.seq, state.born, self.rack
        );
        drop(state);
        store.put(&format!("servers/{}", self.id), &entry);
    }

    /// Crashes: everything that runs is gone. It starts again under its id after `down`.
    pub fn crash(&self, store: &Store, down: Duration) {
        let mut state = self.state.0.lock().unwrap();
        for (task, run) in &state.running {
            self.record.task_line(
                task,
                &format!("worker {} crash: {task} run {} is gone", self.id, run.number),
            );
            self.record.lost(task);
            if run.gang.is_some() {
                self.gangs.with(task, run.number, |gang| gang.broken = true);
            }
        }
        *state = State { down_until: Some(Instant::now() + down), ..State::new() };
        drop(state);
        self.state.1.notify_all();
        let (worker, store) = (self.clone(), store.clone());
        thread::spawn(move || {
            thread::sleep(down);
            *worker.state.0.lock().unwrap() = State::new();
            worker.record.line(&format!("worker {} is up again", worker.id));
            worker.beat(&store);
        });
    }

    pub fn running(&self) -> usize {
        self.state.0.lock().unwrap().running.len()
    }

    fn end_runs(&self) {
        let mut state = self.state.0.lock().unwrap();
        let now = Instant::now();
        let lapsed = state.clock_ms() > state.lease_until_ms;
        let mut over: Vec<(String, &'static str)> = Vec::new();
        for (task, run) in &mut state.running {
            if run.gang.is_some()
                && let Some(since) = self.gangs.complete_since(task, run.number)
            {
                let index = task.rsplit('.').next().unwrap_or_default();
                let saved = since.elapsed().as_millis() / CHECKPOINT_MS;
                if saved > 0 {
                    run.checkpoint = format!("run{}-member{index}-{saved}s", run.number);
                }
            }
            let (is_broken, is_alone) = match run.gang {
                None => (false, false),
                Some(_) => self.gangs.with(task, run.number, |gang| {
                    let waits = gang.complete_since.is_none();
                    (gang.broken, waits && run.since.elapsed() > GANG_TIMEOUT)
                }),
            };
            let is_due = run.until.is_some_and(|until| until <= now);
            match () {
                () if lapsed => over.push((task.clone(), "lapsed")),
                () if run.stopping && is_due => over.push((task.clone(), "stopped")),
                () if is_broken => over.push((task.clone(), "broken")),
                () if is_alone => over.push((task.clone(), "alone")),
                () if is_due => over.push((task.clone(), "done")),
                () => {}
            }
        }
        for (task, how) in &over {
            let Some(run) = state.running.remove(task) else { continue };
            if run.gang.is_some() {
                self.gangs.with(task, run.number, |gang| gang.broken = true);
            }
            state.last_end += 1;
            let number = state.last_end;
            state.ended.push((number, task.clone(), run.number, how, run.checkpoint));
            let highest = state.highest.entry(task.clone()).or_default();
            *highest = (*highest).max(run.number);
            self.record.ended(task, how);
            self.record.task_line(
                task,
                &format!("worker {} ends {task} run {} {how}", self.id, run.number),
            );
        }
        if !over.is_empty() {
            drop(state);
            self.state.1.notify_all();
        }
    }

    fn answer(&self, call: &Call) -> Answer {
        if !call.instance.is_empty() && call.instance != self.id {
            return Answer::Reply(421, "{}".into());
        }
        let mut state = self.state.0.lock().unwrap();
        if state.down_until.is_some() {
            return Answer::Close;
        }
        let body = &call.body;
        let fence = body.get("fencing_token").number();
        let refuse = |state: &State, reason: &str| {
            let text = format!("{{\"clock_ms\":{},\"reason\":\"{reason}\"}}", state.clock_ms());
            Answer::Reply(409, text)
        };
        if fence < state.fence {
            return refuse(&state, "fence");
        }
        state.fence = fence;
        let (task, number) = (body.get("task").text().to_owned(), body.get("run").number());
        match call.path.as_str() {
            "/-/run-start" => {
                let deadline = body.get("deadline_ms").number();
                if deadline <= state.clock_ms() {
                    return refuse(&state, "late");
                }
                state.extend(deadline);
                let there = state.running.get(&task).is_some_and(|run| run.number == number);
                if !there && state.highest.get(&task).is_some_and(|highest| *highest >= number) {
                    return refuse(&state, "old");
                }
                if !there {
                    let spec = body.get("spec").text();
                    let run_ms = spec.parse().ok().map(Duration::from_millis);
                    let since = Instant::now();
                    let until = run_ms.map(|run_ms| since + run_ms);
                    let gang: Option<usize> =
                        spec.strip_prefix("gang ").and_then(|count| count.parse().ok());
                    let checkpoint = body.get("checkpoint").text().to_owned();
                    if let Some(count) = gang {
                        self.gangs.with(&task, number, |gang| {
                            gang.present.insert(task.clone());
                            if gang.present.len() == count {
                                gang.complete_since = Some(since);
                            }
                        });
                    }
                    self.record.started(&task, number, &checkpoint);
                    self.record.task_line(&task, &format!(
                        "worker {} starts {task} run {number} fence {fence} checkpoint {checkpoint:?}",
                        self.id
                    ));
                    let run = Run { number, since, until, stopping: false, gang, checkpoint };
                    state.running.insert(task.clone(), run);
                }
                Answer::Reply(200, format!("{{\"clock_ms\":{}}}", state.clock_ms()))
            }
            "/-/run-stop" => {
                let highest = state.highest.entry(task.clone()).or_default();
                *highest = (*highest).max(number);
                if let Some(run) = state.running.get_mut(&task).filter(|run| run.number <= number) {
                    run.stopping = true;
                    run.until = Some(Instant::now() + Duration::from_millis(STOP_MS));
                }
                Answer::Reply(200, format!("{{\"clock_ms\":{}}}", state.clock_ms()))
            }
            "/-/pace" => Answer::Reply(200, format!("{{\"clock_ms\":{}}}", state.clock_ms())),
            "/-/hold" => {
                let seen = body.get("last_seen").number();
                state.extend(body.get("deadline_ms").number());
                state.ended.retain(|(end, ..)| *end > seen);
                let wait = Duration::from_millis(body.get("wait_ms").number().min(2_000));
                let (deadline, born) = (Instant::now() + wait, state.born);
                loop {
                    if state.down_until.is_some() || state.born != born {
                        return Answer::Close;
                    }
                    let now = Instant::now();
                    if !state.ended.is_empty() || now >= deadline {
                        return Answer::Reply(200, listing(&state));
                    }
                    state = self.state.1.wait_timeout(state, deadline - now).unwrap().0;
                }
            }
            _ => Answer::Reply(404, "{}".into()),
        }
    }
}

fn listing(state: &State) -> String {
    let running = state.running.iter().map(|(task, run)| {
        format!("[{},{},{},100,1000]", quoted(task), run.number, quoted(&run.checkpoint))
    });
    let ended = state.ended.iter().take(500).map(|(end, task, run, how, saved)| {
        format!("[{end},{},{run},\"{how}\",{}]", quoted(task), quoted(saved))
    });
    format!(
        "{{\"clock_ms\":{},\"born\":{},\"running\":[{}],\"ended\":[{}]}}",
        state.clock_ms(),
        state.born,
        running.collect::<Vec<String>>().join(","),
        ended.collect::<Vec<String>>().join(",")
    )
}
