//! Clients that don't behave, at the entry's HTTP listener. The program runs as a process with the settings that it
//! has by default, and has to stay within the memory that a VM spends for control.

#![allow(clippy::unwrap_used)]

mod cluster;

use {
    cluster::{Builder, Client, until},
    oleanderstage_proof::crowd::{Crowd, Script},
    rustix::process::{Pid, Resource, Rlimit, prlimit},
    std::{
        fs,
        process::{Child, Command, Stdio},
        sync::{Mutex, PoisonError},
        time::{Duration, Instant},
    },
};

/// The memory that a VM spends for control, in MB, by the target in DEVELOPERS.md.
const MEMORY_MB: u64 = 128;
/// The descriptors that the process may have open.
const MAX_FDS: u64 = 4_096;
/// The same where the crowd is after descriptors.
const FEW_FDS: u64 = 1_024;
/// The share of them that stays free for VMs, peers and the store, in percent.
const OWN_PERCENT: u64 = 25;
/// Clients that hold memory with one connection each.
const CLIENTS: usize = 900;
/// Clients that hold descriptors.
const MANY_CLIENTS: usize = 1_500;
/// Clients that hold little memory each.
const MOST_CLIENTS: usize = 3_500;
/// The slots of the service's VM.
const SLOTS: u32 = 4_000;
/// The limit of the service's bodies, in bytes.
const BODY_LIMIT: usize = 200_000;
/// How long a process's memory does not grow once it has taken in what it gets of a crowd.
const CALM: Duration = Duration::from_millis(1_500);
/// How long a test waits for that.
const SETTLE_TIMEOUT: Duration = Duration::from_secs(60);

/// One test at a time, so that no crowd disturbs another.
static ONE_AT_A_TIME: Mutex<()> = Mutex::new(());

/// An entry's process, which is killed when the test ends.
struct Process(Child);

impl Process {
    fn peak_memory_mb(&self) -> u64 {
        let status = fs::read_to_string(format!("/proc/{}/status", self.0.id())).unwrap();
        let line = status.lines().find_map(|line| line.strip_prefix("VmHWM:")).unwrap();
        line.trim().trim_end_matches(" kB").parse::<u64>().unwrap() / 1_024
    }

    fn descriptors(&self) -> u64 {
        fs::read_dir(format!("/proc/{}/fd", self.0.id())).unwrap().count() as u64
    }

    fn assert_lives(&mut self, max_fds: u64) {
        assert!(self.0.try_wait().unwrap().is_none(), "the process has ended");
        let (peak, open) = (self.peak_memory_mb(), self.descriptors());
        println!("peak: {peak} MB, {open} descriptors");
        assert!(peak <= MEMORY_MB, "{peak} MB were held; at most {MEMORY_MB} are allowed");
        let most = max_fds * (100 - OWN_PERCENT) / 100;
        assert!(open <= most, "{open} descriptors are open; at most {most} are allowed");
    }

    /// Waits until the process has taken in what it gets of a crowd.
    async fn settle(&self) {
        let (deadline, mut since) = (Instant::now() + SETTLE_TIMEOUT, Instant::now());
        let mut peak = self.peak_memory_mb();
        while since.elapsed() < CALM && Instant::now() < deadline {
            tokio::time::sleep(Duration::from_millis(50)).await;
            let now = self.peak_memory_mb();
            if now > peak {
                (peak, since) = (now, Instant::now());
            }
        }
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        self.0.kill().unwrap();
        self.0.wait().unwrap();
    }
}

/// Plays a crowd: ordinary requests are answered before, beside and after it.
fn check(folder: &'static str, max_fds: u64, scripts: Vec<Script>) {
    let _guard = ONE_AT_A_TIME.lock().unwrap_or_else(PoisonError::into_inner);
    let runtime = tokio::runtime::Runtime::new().unwrap();
    runtime.block_on(async {
        let client = Builder::new(folder).slots(SLOTS).start_without_entries().await;
        let log = fs::File::create(client.settings.with_extension("log")).unwrap();
        let mut command = Command::new(env!("CARGO_BIN_EXE_oleanderstage-entry"));
        command.arg("--settings").arg(&client.settings);
        let child = command.stdin(Stdio::null()).stdout(Stdio::null()).stderr(log).spawn();
        let mut process = Process(child.unwrap());
        let limit = Rlimit { current: Some(max_fds), maximum: Some(max_fds) };
        let pid = Pid::from_raw(process.0.id() as i32);
        prlimit(pid, Resource::Nofile, limit).unwrap();
        until_served(&client).await;
        let crowd = Crowd::gather(client.address, scripts).await;
        process.settle().await;
        process.assert_lives(max_fds);
        until_served(&client).await;
        process.assert_lives(max_fds);
        drop(crowd);
        until_served(&client).await;
        process.assert_lives(max_fds);
    });
}

/// Waits until an ordinary request is answered.
async fn until_served(client: &Client) {
    until(async || {
        let url = format!("http://{}/services/site/x", client.address);
        let answer = client.http.post(url).body("ordinary").send().await;
        answer.is_ok_and(|answer| answer.status().is_success())
    })
    .await;
}

fn head(client: usize, path: &str, lines: &str) -> String {
    format!(
        "POST {path} HTTP/1.1\r\nhost: site\r\noleanderstage-caller: caller-{client}\r\n\
         idempotency-key: key-{client}\r\n{lines}\r\n"
    )
}

fn scripts(clients: usize, script: impl Fn(usize) -> Script) -> Vec<Script> {
    (0..clients).map(script).collect()
}

#[test]
fn many_unfinished_keyed_bodies_are_borne() {
    let lines = format!("content-length: {BODY_LIMIT}\r\n");
    let opening = |client| head(client, "/services/site/x", &lines).into_bytes();
    let piece = vec![b' '; BODY_LIMIT - 5];
    check(
        "clients-keyed",
        MAX_FDS,
        scripts(CLIENTS, |client| Script {
            opening: opening(client),
            piece: piece.as_slice().into(),
            pieces: 1,
        }),
    );
}

#[test]
fn many_unfinished_jobs_are_borne() {
    let opening = |client| head(client, "/jobs", "transfer-encoding: chunked\r\n").into_bytes();
    let chunk = format!("{:x}\r\n{}\r\n", 8_000, " ".repeat(8_000)).into_bytes();
    check(
        "clients-jobs",
        MAX_FDS,
        scripts(MOST_CLIENTS, |client| Script {
            opening: opening(client),
            piece: chunk.as_slice().into(),
            pieces: 8,
        }),
    );
}

#[test]
fn many_unfinished_heads_are_borne() {
    let opening = "GET /services/site/x HTTP/1.1\r\nhost: site\r\nx-fill: ".as_bytes().to_vec();
    let piece = vec![b'x'; 30_000];
    check(
        "clients-heads",
        FEW_FDS,
        scripts(MANY_CLIENTS, |_| Script {
            opening: opening.clone(),
            piece: piece.as_slice().into(),
            pieces: 1,
        }),
    );
}

#[test]
fn many_silent_connections_are_borne() {
    let silent = || Script { opening: Vec::new(), piece: [].into(), pieces: 0 };
    check("clients-silent", FEW_FDS, scripts(MANY_CLIENTS, |_| silent()));
}
