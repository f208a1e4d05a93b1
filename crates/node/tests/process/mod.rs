//! Runs the program as a process against stand-ins that the test controls.

#![allow(clippy::unwrap_used, dead_code, unreachable_pub)]

use {
    hyper::Method,
    oleanderstage_adapter::Http,
    rustix::process::{Pid, Resource, Rlimit, Signal, kill_process, prlimit},
    serde_json::{Value, json},
    std::{
        fs,
        future::Future,
        net::{Ipv4Addr, SocketAddr},
        path::{Path, PathBuf},
        process::{Child, Command, Stdio},
        sync::atomic::{AtomicU8, Ordering},
        time::{Duration, Instant},
    },
};

/// The time limit for an awaited state.
pub const TIMEOUT: Duration = Duration::from_secs(20);
/// The port at which a process answers callers, at an IP address of its own.
const FRONT_PORT: u16 = 8_161;
/// The port at which it answers readiness checks.
const READY_PORT: u16 = 8_167;
/// The port of its metrics page.
const METRICS_PORT: u16 = 9_464;
/// The time limit for an answer to a caller.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(3);

/// Number of processes that this test program has started.
static COUNT: AtomicU8 = AtomicU8::new(0);

/// A process that is killed when the test ends.
pub struct Process {
    child: Child,
    settings: PathBuf,
    /// The address at which it answers callers.
    pub front: SocketAddr,
    /// The address of its metrics page.
    pub metrics: SocketAddr,
    /// The address at which it answers readiness checks.
    pub ready: SocketAddr,
}

impl Process {
    /// Starts a VM's process, whose endpoints may get new runs for `drain_ms` after they drain.
    pub fn start(name: &str, store: SocketAddr, drain_ms: u64) -> Self {
        Self::start_with(name, store, drain_ms, "")
    }

    /// Starts a VM's process with further lines in its settings.
    pub fn start_with(name: &str, store: SocketAddr, drain_ms: u64, lines: &str) -> Self {
        let directory = PathBuf::from(env!("CARGO_TARGET_TMPDIR"));
        let settings = directory.join(format!("process-{name}.conf"));
        // Several runs of the tests share a machine.
        let id = std::process::id();
        let (high, low) = ((1 + id / 250 % 250) as u8, (id % 250) as u8);
        let number = 200 + COUNT.fetch_add(1, Ordering::Relaxed);
        let ip = Ipv4Addr::new(127, high, low, number);
        let text = format!(
            "node_name={name}\nzone=z\nip={ip}\nlisten.front={ip}:{FRONT_PORT}\n\
             listen.ready={ip}:{READY_PORT}\nplatform.address={store}\nlimits.cpu_share=0.5\n\
             limits.cores=1\nbounds.hold_max_ms=6000\nbounds.stop_timeout_ms=400\n\
             bounds.gang_timeout_ms=3000\nbounds.grace_s=6\nbounds.drain_ms={drain_ms}\n{lines}"
        );
        fs::write(&settings, text).unwrap();
        Self {
            child: spawn(&settings),
            settings,
            front: (ip, FRONT_PORT).into(),
            metrics: (ip, METRICS_PORT).into(),
            ready: (ip, READY_PORT).into(),
        }
    }

    /// Starts another process of the same VM beside this one, with ports that are higher by `port_offset`.
    pub fn start_beside(&self, store: SocketAddr, port_offset: u16) -> Self {
        let settings = self.settings.with_extension(format!("{port_offset}.conf"));
        let moved =
            |address: SocketAddr| SocketAddr::new(address.ip(), address.port() + port_offset);
        let (front, metrics, ready) = (moved(self.front), moved(self.metrics), moved(self.ready));
        // Of two lines, the later one counts.
        let text = fs::read_to_string(&self.settings).unwrap();
        let text = format!(
            "{text}\nlisten.front={front}\nlisten.ready={ready}\nplatform.address={store}\n"
        );
        fs::write(&settings, text).unwrap();
        let port = metrics.port().to_string();
        let child = spawn_with(&settings, &["--metrics-port", &port]);
        Self { child, settings, front, metrics, ready }
    }

    /// Kills the process and starts another one in its place.
    pub fn restart(&mut self) {
        self.child.kill().unwrap();
        self.child.wait().unwrap();
        self.start_again();
    }

    /// Asks the process to end.
    pub fn terminate(&self) {
        kill_process(self.pid(), Signal::TERM).unwrap();
    }

    /// Starts another process in place of one that has ended.
    pub fn start_again(&mut self) {
        self.child = spawn(&self.settings);
    }

    /// Returns whether the process has not ended by itself.
    pub fn is_running(&mut self) -> bool {
        self.child.try_wait().unwrap().is_none()
    }

    /// Pauses the process, or resumes it.
    pub fn pause(&self, paused: bool) {
        kill_process(self.pid(), if paused { Signal::STOP } else { Signal::CONT }).unwrap();
    }

    /// Limits how many descriptors the process may have open.
    pub fn limit_descriptors(&self, most: u64) {
        let limit = Rlimit { current: Some(most), maximum: Some(most) };
        prlimit(Some(self.pid()), Resource::Nofile, limit).unwrap();
    }

    /// Returns the number of its open descriptors.
    pub fn descriptors(&self) -> usize {
        fs::read_dir(format!("/proc/{}/fd", self.child.id())).unwrap().count()
    }

    /// Returns the most memory that it has held so far, in KiB.
    pub fn peak_memory_kib(&self) -> u64 {
        let status = fs::read_to_string(format!("/proc/{}/status", self.child.id())).unwrap();
        let line = status.lines().find_map(|line| line.strip_prefix("VmHWM:")).unwrap();
        line.trim().trim_end_matches(" kB").parse().unwrap()
    }

    fn pid(&self) -> Pid {
        Pid::from_raw(self.child.id() as i32).unwrap()
    }

    /// Posts a body once, and returns whether there was an answer.
    pub async fn post(&self, path: &str, body: &str) -> bool {
        let body = body.as_bytes().to_vec();
        Http::default().call(self.front, Method::POST, path, body, ANSWER_TIMEOUT).await.is_ok()
    }

    /// Sends a request without a body, and returns the status of the answer.
    pub async fn send(&self, method: Method, path: &str) -> u16 {
        let http = Http::default();
        let answer = http.call(self.front, method, path, Vec::new(), ANSWER_TIMEOUT).await;
        answer.map_or(0, |answer| answer.status.as_u16())
    }

    /// Posts a job, and returns the status of the answer; 0 if the caller leaves before it, after `patience`.
    pub async fn offer(&self, job: &str, task_ms: u64, steps: Value, patience: Duration) -> u16 {
        let body = json!({"spec": format!("{task_ms} 1000"), "steps": steps}).to_string();
        let (body, path) = (body.into_bytes(), format!("/q/{job}"));
        let http = Http::default();
        let answer = http.call(self.front, Method::POST, &path, body, ANSWER_TIMEOUT);
        let answer = tokio::time::timeout(patience, answer).await;
        answer.ok().and_then(Result::ok).map_or(0, |answer| answer.status.as_u16())
    }

    /// Submits a job until it is accepted. The duration of its tasks is in milliseconds.
    pub async fn submit(&self, job: &str, task_ms: u64, steps: Value) {
        let http = Http::default();
        let body = json!({"spec": format!("{task_ms} 1000"), "steps": steps}).to_string();
        let deadline = Instant::now() + TIMEOUT;
        loop {
            let body = body.clone().into_bytes();
            let path = format!("/q/{job}");
            let answer = http.call(self.front, Method::POST, &path, body, ANSWER_TIMEOUT).await;
            if answer.is_ok_and(|answer| answer.status.is_success()) {
                return;
            }
            assert!(Instant::now() < deadline, "job {job} was not accepted in time");
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    }
}

/// Starts the program with a file of settings; it logs beside that file.
fn spawn(settings: &Path) -> Child {
    spawn_with(settings, &[])
}

/// Starts the program with a file of settings and further arguments; it logs beside that file.
fn spawn_with(settings: &Path, arguments: &[&str]) -> Child {
    let log = fs::File::create(settings.with_extension("log")).unwrap();
    let mut command = Command::new(env!("CARGO_BIN_EXE_oleanderstage-node"));
    command.arg("--settings").arg(settings).args(arguments);
    command.stdin(Stdio::null()).stdout(log).spawn().unwrap()
}

impl Drop for Process {
    fn drop(&mut self) {
        self.child.kill().unwrap();
        self.child.wait().unwrap();
    }
}

/// Runs a test whose calls to the process are bound to one thread.
pub fn run(test: impl Future<Output = ()>) {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
    tokio::task::LocalSet::new().block_on(&runtime, test);
}

/// Waits until a condition holds, and fails the test after `timeout`.
pub async fn wait_until(what: &str, timeout: Duration, mut holds: impl FnMut() -> bool) {
    let deadline = Instant::now() + timeout;
    while !holds() {
        assert!(Instant::now() < deadline, "timed out waiting for {what}");
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
}

/// Returns a configuration with one queue, for any host.
pub fn config() -> Value {
    json!({
        "version": 1,
        "routes": [{
            "name": "q", "host": "", "prefix": "/q/", "service": "desk", "priority": 0,
            "max_attempts": 3, "stretch": 1.5, "target_duration_ms": 250,
        }],
        "services": [{"name": "desk", "admission_check": true}],
        "limits": {"max_body_bytes": 262_144},
    })
}

/// Returns a step of tasks that need a core each.
pub fn step(count: u64, after: &[u64]) -> Value {
    json!({"count": count, "cpu": 1_000, "mem_mb": 64, "estimate_ms": 500, "after": after})
}
