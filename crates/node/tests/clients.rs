//! Clients that don't behave, at every listener of the program. Each test checks what doesn't depend on the
//! machine's speed: the process lives, stays within the memory and the descriptors of its settings, and
//! answers an ordinary request while the crowd stays.

#![allow(clippy::unwrap_used)]

mod process;

use {
    hyper::Method,
    oleanderstage_adapter::Http,
    oleanderstage_proof::crowd::{Crowd, Script},
    oleanderstage_standin::{UsersLedger, UsersStore, UsersWorker},
    process::{Process, TIMEOUT, config, step, wait_until},
    serde_json::json,
    std::{
        cell::Cell,
        net::SocketAddr,
        rc::Rc,
        sync::{Mutex, PoisonError},
        time::{Duration, Instant},
    },
    tokio::io::{AsyncReadExt, AsyncWriteExt},
};

/// The largest body that the configuration allows, in bytes.
const BODY_LIMIT: usize = 262_144;
/// The memory of the VM in the settings, in MB.
const MEMORY_MB: u64 = 96;
/// The same where the crowd can't send much, in MB.
const LITTLE_MEMORY_MB: u64 = 48;
/// The descriptors of the VM in the settings.
const MAX_FDS: u64 = 4_100;
/// The same where the crowd is after descriptors.
const FEW_FDS: u64 = 700;
/// How many of them are reserved for files.
const FILES: u64 = 200;
/// Clients that hold memory with one connection each.
const CLIENTS: usize = 500;
/// Clients at a process with few descriptors.
const MANY_CLIENTS: usize = 900;
/// How many bytes short of its end a body stops.
const SHORT_BY: usize = 5;
/// The length of a body far over the limit, in bytes.
const FAR_OVER: usize = 10 << 20;
/// How much of it a client sends, in bytes.
const SENT_OF_FAR_OVER: usize = 500_000;

/// How long a process's memory does not grow once it has taken in what it gets of a crowd.
const CALM: Duration = Duration::from_millis(1_500);
/// How long a test waits for that.
const SETTLE_TIMEOUT: Duration = Duration::from_secs(60);

/// The listener that a crowd goes to.
#[derive(Clone, Copy)]
enum Port {
    Front,
    Metrics,
    Ready,
}

/// A crowd and the settings of the process that it meets.
struct Case {
    name: &'static str,
    port: Port,
    max_fds: u64,
    memory_mb: u64,
    scripts: Vec<Script>,
    /// Whether another process takes the crowd's jobs over at the end.
    successor: bool,
}

/// One test at a time, so that no crowd disturbs another.
static ONE_AT_A_TIME: Mutex<()> = Mutex::new(());

fn id(client: usize) -> String {
    format!("{:016x}", 0xc000_0000 + client)
}

/// Returns the head of a submission, with further header lines.
fn head(client: usize, lines: &str) -> String {
    format!("POST /q/{} HTTP/1.1\r\nhost: q.example\r\n{lines}\r\n", id(client))
}

fn script(opening: impl Into<Vec<u8>>, piece: impl Into<Vec<u8>>, pieces: usize) -> Script {
    let piece: Vec<u8> = piece.into();
    Script { opening: opening.into(), piece: piece.into(), pieces }
}

fn scripts(clients: usize, script: impl Fn(usize) -> Script) -> Vec<Script> {
    (0..clients).map(script).collect()
}

/// Returns a submission of steps that no worker can take, filled up to a length.
fn submission(steps: &str, length: usize) -> String {
    let open = format!(r#"{{"spec":"300 1000","steps":[{steps}],"note":""#);
    let fill = length.saturating_sub(open.len() + 2);
    format!("{open}{}\"}}", "x".repeat(fill))
}

/// Returns a chunk with `bytes` of data.
fn chunk(bytes: usize) -> Vec<u8> {
    format!("{bytes:x}\r\n{}\r\n", " ".repeat(bytes)).into_bytes()
}

/// Plays a case: the process works before the crowd comes, while it stays, and after it has left.
fn check(case: Case) {
    let _guard = ONE_AT_A_TIME.lock().unwrap_or_else(PoisonError::into_inner);
    process::run(async {
        let (store, address) = UsersStore::start().await.unwrap();
        store.put("op/config", &config());
        let ledger = UsersLedger::default();
        let (worker, worker_address) = UsersWorker::start("i-1", ledger.clone()).await.unwrap();
        worker.register(&store, worker_address, false);
        let lines =
            format!("limits.memory_mb={}\nlimits.max_fds={}\n", case.memory_mb, case.max_fds);
        let name = format!("vm-{}", case.name);
        let vm = Rc::new(Process::start_with(&name, address, 2_000, &lines));
        vm.limit_descriptors(case.max_fds);
        let other_name = format!("{name}-2");
        let start_other = || Process::start_with(&other_name, address, 2_000, &lines);
        let other = case.successor.then(start_other);
        let has_run = |job: &str| {
            let task = format!("{job}.0.0.0");
            let ledger = ledger.clone();
            move || ledger.entry(&task).done == 1
        };
        vm.submit("00000000000000a1", 300, json!([step(1, &[])])).await;
        wait_until("the job before the crowd", TIMEOUT, has_run("00000000000000a1")).await;

        let descriptors = watch_descriptors(&vm);
        let target = match case.port {
            Port::Front => vm.front,
            Port::Metrics => vm.metrics,
            Port::Ready => vm.ready,
        };
        let crowd = Crowd::gather(target, case.scripts).await;
        settle(&vm).await;
        assert_lives(&vm, case.memory_mb);
        wait_until_ok("the readiness check", vm.ready, "/-/ready").await;
        wait_until_ok("the metrics", vm.metrics, "/metrics").await;
        vm.submit("00000000000000a2", 300, json!([step(1, &[])])).await;
        wait_until("the job beside the crowd", TIMEOUT, has_run("00000000000000a2")).await;
        wait_until_completed(&vm, "00000000000000a2").await;
        assert_lives(&vm, case.memory_mb);
        drop(crowd);
        vm.submit("00000000000000a3", 300, json!([step(1, &[])])).await;
        wait_until("the job after the crowd", TIMEOUT, has_run("00000000000000a3")).await;
        wait_until_completed(&vm, "00000000000000a3").await;
        assert_lives(&vm, case.memory_mb);
        let (open, most) = (descriptors.get(), case.max_fds - FILES);
        assert!(open <= most, "{open} descriptors were open; at most {most} are allowed");
        if let Some(other) = other {
            drop(vm);
            other.submit("00000000000000a4", 300, json!([step(1, &[])])).await;
            wait_until("the job at the successor", TIMEOUT, has_run("00000000000000a4")).await;
            settle(&other).await;
            assert_lives(&other, case.memory_mb);
        }
        assert_eq!(ledger.violations(), Vec::<String>::new());
    });
}

/// Checks that a process has not ended and has stayed within its memory.
fn assert_lives(vm: &Process, memory_mb: u64) {
    let peak_mb = vm.peak_memory_kib() / 1_024;
    println!("peak: {peak_mb} MB");
    assert!(peak_mb <= memory_mb, "{peak_mb} MB were held; the VM has {memory_mb} MB");
}

/// Waits until a process has taken in what it gets of a crowd: its memory has not grown for `CALM`.
async fn settle(vm: &Process) {
    let (deadline, mut since) = (Instant::now() + SETTLE_TIMEOUT, Instant::now());
    let mut peak = vm.peak_memory_kib();
    while since.elapsed() < CALM && Instant::now() < deadline {
        tokio::time::sleep(Duration::from_millis(50)).await;
        let now = vm.peak_memory_kib();
        if now > peak {
            (peak, since) = (now, Instant::now());
        }
    }
}

/// Returns the most descriptors that a process has open from now on.
fn watch_descriptors(vm: &Rc<Process>) -> Rc<Cell<u64>> {
    let most = Rc::new(Cell::new(0));
    let (vm, seen) = (Rc::downgrade(vm), most.clone());
    tokio::task::spawn_local(async move {
        while let Some(vm) = vm.upgrade() {
            seen.set(seen.get().max(vm.descriptors() as u64));
            drop(vm);
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    });
    most
}

/// Waits until a listener answers a request with 200.
async fn wait_until_ok(what: &str, address: SocketAddr, path: &str) {
    let deadline = Instant::now() + TIMEOUT;
    let ask = || async {
        let http = Http::default();
        let answer = http.call(address, Method::GET, path, Vec::new(), Duration::from_secs(3));
        answer.await.is_ok_and(|answer| answer.status.is_success())
    };
    while !ask().await {
        assert!(Instant::now() < deadline, "timed out waiting for {what}");
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
}

/// Waits until a job is shown as completed.
async fn wait_until_completed(vm: &Process, job: &str) {
    let deadline = Instant::now() + TIMEOUT;
    let path = format!("/q/{job}");
    let is_completed = || async {
        let http = Http::default();
        let answer = http.call(vm.front, Method::GET, &path, Vec::new(), Duration::from_secs(3));
        answer.await.is_ok_and(|answer| answer.body.ends_with(br#""completed"}"#))
    };
    while !is_completed().await {
        assert!(Instant::now() < deadline, "timed out waiting for the end of {job}");
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
}

fn check_memory(name: &'static str, scripts: Vec<Script>) {
    let (port, max_fds, memory_mb) = (Port::Front, MAX_FDS, MEMORY_MB);
    check(Case { name, port, max_fds, memory_mb, scripts, successor: false });
}

/// Plays jobs that are large to hold.
fn check_jobs(name: &'static str, clients: usize, body: &str) {
    let head = |client| head(client, &format!("content-length: {}\r\n", body.len()));
    let scripts = scripts(clients, |client| script(head(client), body, 1));
    let (port, max_fds, memory_mb) = (Port::Front, MAX_FDS, MEMORY_MB);
    check(Case { name, port, max_fds, memory_mb, scripts, successor: true });
}

fn check_descriptors(name: &'static str, port: Port, script: Script) {
    let scripts = scripts(MANY_CLIENTS, |_| script.clone());
    let (max_fds, memory_mb) = (FEW_FDS, MEMORY_MB);
    check(Case { name, port, max_fds, memory_mb, scripts, successor: false });
}

/// Bodies of just the limit, each whole.
#[test]
fn many_legal_bodies_are_borne() {
    let body = submission(r#"{"count":1,"requirements":"none"}"#, BODY_LIMIT);
    let head = |client| head(client, &format!("content-length: {BODY_LIMIT}\r\n"));
    check_memory("whole", scripts(CLIENTS, |client| script(head(client), body.as_str(), 1)));
}

/// Bodies of just the limit that stop short of their end.
#[test]
fn many_unfinished_bodies_are_borne() {
    let body = vec![b' '; BODY_LIMIT - SHORT_BY];
    let head = |client| head(client, &format!("content-length: {BODY_LIMIT}\r\n"));
    check_memory("short", scripts(CLIENTS, |client| script(head(client), body.clone(), 1)));
}

/// The same in pieces, as on a slow link.
#[test]
fn many_unfinished_bodies_in_pieces_are_borne() {
    let head = |client| head(client, &format!("content-length: {BODY_LIMIT}\r\n"));
    let pieces = BODY_LIMIT / 4_096 - 1;
    check_memory(
        "pieces",
        scripts(CLIENTS, |client| script(head(client), vec![b' '; 4_096], pieces)),
    );
}

/// Chunked bodies of almost the limit, without an end, in large chunks.
#[test]
fn many_unfinished_bodies_in_large_chunks_are_borne() {
    let head = |client| head(client, "transfer-encoding: chunked\r\n");
    let bytes = 65_535;
    check_memory(
        "large-chunks",
        scripts(CLIENTS, |client| script(head(client), chunk(bytes), BODY_LIMIT / bytes)),
    );
}

/// One chunk of the limit that stops short of its end.
#[test]
fn many_unfinished_chunks_are_borne() {
    let head = |client| head(client, "transfer-encoding: chunked\r\n");
    let opening = |client| format!("{}{BODY_LIMIT:x}\r\n", head(client));
    let part = vec![b' '; BODY_LIMIT - SHORT_BY];
    check_memory("one-chunk", scripts(CLIENTS, |client| script(opening(client), part.clone(), 1)));
}

/// Chunked bodies of almost the limit, without an end, in very small chunks.
#[test]
fn many_unfinished_bodies_in_tiny_chunks_are_borne() {
    let head = |client| head(client, "transfer-encoding: chunked\r\n");
    let bytes = 32;
    // Many chunks in a write, so that the crowd isn't what is slow.
    let (piece, chunks) = (chunk(bytes).repeat(1_024), BODY_LIMIT / bytes - 1);
    let scripts =
        scripts(CLIENTS / 2, |client| script(head(client), piece.clone(), chunks / 1_024));
    let (name, port, memory_mb) = ("tiny-chunks", Port::Front, LITTLE_MEMORY_MB);
    let max_fds = MAX_FDS;
    check(Case { name, port, max_fds, memory_mb, scripts, successor: false });
}

/// Bodies that announce far more than the limit, and send much of it.
#[test]
fn many_announced_bodies_over_the_limit_are_borne() {
    let head = |client| head(client, &format!("content-length: {FAR_OVER}\r\n"));
    let piece = vec![b' '; 50_000];
    let pieces = SENT_OF_FAR_OVER / piece.len();
    check_memory("over", scripts(CLIENTS, |client| script(head(client), piece.clone(), pieces)));
}

/// Chunked bodies that go on far beyond the limit.
#[test]
fn many_chunked_bodies_over_the_limit_are_borne() {
    let head = |client| head(client, "transfer-encoding: chunked\r\n");
    let piece = chunk(50_000);
    let pieces = SENT_OF_FAR_OVER / 50_000;
    check_memory(
        "over-chunked",
        scripts(CLIENTS, |client| script(head(client), piece.clone(), pieces)),
    );
}

/// Small jobs to write down that are large to hold: one step of many tasks.
#[test]
fn many_jobs_of_many_tasks_are_borne() {
    check_jobs("many-tasks", 60, &submission(r#"{"count":20000,"requirements":"none"}"#, 0));
}

/// Jobs of many steps.
#[test]
fn many_jobs_of_many_steps_are_borne() {
    let steps = vec![r#"{"count":1,"requirements":"none"}"#; 7_000].join(",");
    let body = submission(&steps, 0);
    assert!(body.len() <= BODY_LIMIT);
    check_jobs("many-steps", 30, &body);
}

/// Queries whose answers nobody reads, many on each connection.
#[test]
fn answers_that_nobody_reads_are_borne() {
    let query = format!("GET /q/{} HTTP/1.1\r\nhost: q.example\r\n\r\n", id(0));
    check_descriptors("unread", Port::Front, script("", query.repeat(200), 1));
}

/// Heads without an end.
fn unfinished_head() -> Script {
    let opening = format!("GET /q/{} HTTP/1.1\r\nhost: q.example\r\nx-fill: ", id(0));
    script(opening, vec![b'x'; 30_000], 1)
}

#[test]
fn unfinished_heads_of_callers_are_borne() {
    check_descriptors("heads-front", Port::Front, unfinished_head());
}

#[test]
fn unfinished_heads_of_readiness_checks_are_borne() {
    check_descriptors("heads-ready", Port::Ready, unfinished_head());
}

#[test]
fn unfinished_heads_of_readers_of_metrics_are_borne() {
    check_descriptors("heads-metrics", Port::Metrics, unfinished_head());
}

#[test]
fn silent_callers_are_borne() {
    check_descriptors("silent-front", Port::Front, script("", "", 0));
}

#[test]
fn silent_readiness_checks_are_borne() {
    check_descriptors("silent-ready", Port::Ready, script("", "", 0));
}

#[test]
fn silent_readers_of_metrics_are_borne() {
    check_descriptors("silent-metrics", Port::Metrics, script("", "", 0));
}

/// Bodies that a readiness check or a reader of metrics has no use for.
#[test]
fn unfinished_bodies_at_other_listeners_are_borne() {
    for (name, port) in [("bodies-ready", Port::Ready), ("bodies-metrics", Port::Metrics)] {
        let head =
            format!("GET /-/ready HTTP/1.1\r\nhost: x\r\ncontent-length: {BODY_LIMIT}\r\n\r\n");
        let script = script(head, vec![b' '; BODY_LIMIT - SHORT_BY], 1);
        check_descriptors(name, port, script);
    }
}

/// The memory of the smallest VM of the platform, in MB.
const SMALLEST_MEMORY_MB: u64 = 160;

/// Returns the status of the answer to a request, which is sent in pieces with a pause between them.
async fn exchange(address: SocketAddr, pieces: &[Vec<u8>], pause: Duration) -> String {
    let mut stream = tokio::net::TcpStream::connect(address).await.unwrap();
    for piece in pieces {
        stream.write_all(piece).await.unwrap();
        tokio::time::sleep(pause).await;
    }
    let mut answer = vec![0; 1_024];
    let length = stream.read(&mut answer).await.unwrap();
    String::from_utf8_lossy(&answer[..length]).chars().skip(9).take(3).collect()
}

/// Single requests inside the limits, in every shape, on a VM of the smallest kind.
#[test]
fn single_legal_requests_are_served_in_calm() {
    let _guard = ONE_AT_A_TIME.lock().unwrap_or_else(PoisonError::into_inner);
    process::run(async {
        let (store, address) = UsersStore::start().await.unwrap();
        store.put("op/config", &config());
        let ledger = UsersLedger::default();
        let (worker, worker_address) = UsersWorker::start("i-1", ledger.clone()).await.unwrap();
        worker.register(&store, worker_address, false);
        let lines = format!("limits.memory_mb={SMALLEST_MEMORY_MB}\nlimits.max_fds={MAX_FDS}\n");
        let vm = Process::start_with("vm-calm", address, 2_000, &lines);
        vm.submit("00000000000000a1", 300, json!([step(1, &[])])).await;

        let plain = submission(r#"{"count":1,"requirements":"none"}"#, BODY_LIMIT);
        let many_tasks = submission(r#"{"count":20000,"requirements":"none"}"#, 0);
        let cpu = vec![r#"{"count":1,"cpu":99000}"#; 10_900].join(",");
        let many_steps = submission(&cpu, BODY_LIMIT);
        let spec = "s".repeat(4_000);
        let long_spec =
            format!(r#"{{"spec":"{spec}","steps":[{{"count":1,"requirements":"none"}}]}}"#);
        let bodies = [&plain, &many_tasks, &many_steps, &long_spec];
        for (number, body) in bodies.into_iter().enumerate() {
            assert!(body.len() <= BODY_LIMIT);
            let head = head(number, &format!("content-length: {}\r\n", body.len()));
            let pieces = [head.into_bytes(), body.clone().into_bytes()];
            let status = exchange(vm.front, &pieces, Duration::ZERO).await;
            assert_eq!(status, "200", "body {number}");
            // A repetition is the same job.
            assert_eq!(exchange(vm.front, &pieces, Duration::ZERO).await, "200", "body {number}");
            tokio::time::sleep(Duration::from_secs(2)).await;
        }
        let head = |number, lines: &str| head(number, lines).into_bytes();
        let chunk =
            |part: &[u8]| [format!("{:x}\r\n", part.len()).as_bytes(), part, b"\r\n"].concat();
        let mut chunked = vec![head(10, "transfer-encoding: chunked\r\n")];
        chunked.push(plain.as_bytes().chunks(7).flat_map(chunk).collect());
        chunked.push(b"0\r\n\r\n".to_vec());
        assert_eq!(exchange(vm.front, &chunked, Duration::ZERO).await, "200");
        let mut slow = vec![head(11, &format!("content-length: {BODY_LIMIT}\r\n"))];
        slow.extend(plain.as_bytes().chunks(BODY_LIMIT / 10).map(<[u8]>::to_vec));
        assert_eq!(exchange(vm.front, &slow, Duration::from_millis(250)).await, "200");
        let over = [head(12, &format!("content-length: {}\r\n", BODY_LIMIT + 1))];
        assert_eq!(exchange(vm.front, &over, Duration::ZERO).await, "413");
        let mut over = vec![head(13, "transfer-encoding: chunked\r\n")];
        over.push(chunk(&vec![b' '; BODY_LIMIT + 1]));
        assert_eq!(exchange(vm.front, &over, Duration::ZERO).await, "413");
        assert_lives(&vm, SMALLEST_MEMORY_MB);
    });
}

/// Jobs whose names are long: what is told of them must fit into the store.
#[test]
fn long_names_are_borne() {
    let image = |client: usize| format!("{client:04}{}", "i".repeat(BODY_LIMIT - 400));
    let body = |client| {
        let step = format!(r#"{{"count":1,"cpu":100,"fills":true,"image":"{}"}}"#, image(client));
        submission(&step, 0)
    };
    let request = |client| {
        let body = body(client);
        format!("{}{body}", head(client, &format!("content-length: {}\r\n", body.len())))
    };
    check_memory("long-names", scripts(12, |client| script(request(client), "", 0)));
}

/// Many jobs, each with a name of its own.
#[test]
fn many_names_are_borne() {
    let image = |client: usize| format!("{client:04}{}", "i".repeat(246));
    let request = |client| {
        let image = image(client);
        let step = format!(
            r#"{{"count":1,"cpu":1,"fills":true,"requirements":"none","image":"{image}"}}"#
        );
        let body = submission(&step, 0);
        format!("{}{body}", head(client, &format!("content-length: {}\r\n", body.len())))
    };
    check_memory("many-names", scripts(5_000, |client| script(request(client), "", 0)));
}
