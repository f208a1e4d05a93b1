//! Measures the cost of an entry for a request: latency compared with direct calls in the same run,
//! processor time, and the resident memory of each program, idle and after load.

#![allow(clippy::unwrap_used)]

use {
    hdrhistogram::Histogram,
    oleanderstage_platform::http,
    oleanderstage_proof::Plan,
    std::{
        fs,
        net::SocketAddr,
        time::{Duration, Instant},
    },
};

/// Requests in progress at once, each on its own connection.
const CONNECTIONS: usize = 64;
/// Requests of each round.
const REQUESTS: usize = 12_800;
/// Rounds of direct calls; each is followed by a round through the entry.
const ROUNDS: usize = 3;
/// Clock ticks per second in `/proc/PID/stat`.
const TICKS_PER_SECOND: f64 = 100.0;
/// Workers; together they have more slots than there are connections.
const WORKERS: u16 = 16;

/// The results of one round of requests.
struct Round {
    /// Latency of the requests that succeeded, in microseconds.
    latency: Histogram<u64>,
    /// Number of requests that were answered without success.
    refused: u64,
}

#[tokio::main]
async fn main() {
    let program = env!("CARGO_BIN_EXE_oleanderstage-proof");
    let plan = Plan::new(program, env!("CARGO_TARGET_TMPDIR"), "path").workers(WORKERS);
    let mut fleet = plan.start().await.unwrap();
    let entry = fleet.process("entry-0").unwrap().id();
    let scheduler = fleet.process("scheduler-0").unwrap().id();
    println!(
        "idle: entry {:.1} MB, scheduler {:.1} MB",
        resident_mb(entry),
        resident_mb(scheduler)
    );
    let direct: Vec<SocketAddr> = fleet.worker_relays.iter().map(|relay| relay.address).collect();
    let entries = fleet.entry_addresses.clone();
    // Warms up the entry; its latency is not printed.
    run_round(&entries).await;
    for number in 0..ROUNDS {
        print_round(&format!("round {number}, direct"), &run_round(&direct).await);
        run_entry_round(number, entry, &entries).await;
    }
    println!(
        "after load: entry {:.1} MB, scheduler {:.1} MB",
        resident_mb(entry),
        resident_mb(scheduler)
    );
}

/// Runs a round through the entry with the process ID `entry`, and prints it with the entry's cost.
async fn run_entry_round(number: usize, entry: u32, entries: &[SocketAddr]) {
    let before = processor_seconds(entry);
    let round = run_round(entries).await;
    let spent = processor_seconds(entry) - before;
    print_round(&format!("round {number}, through the entry"), &round);
    let rate = round.latency.len() as f64 / spent;
    println!("    {rate:.0} requests a second a core of the entry, {:.1} MB", resident_mb(entry));
}

async fn run_round(targets: &[SocketAddr]) -> Round {
    let start = Instant::now();
    let callers: Vec<_> =
        (0..CONNECTIONS).map(|index| tokio::spawn(call(targets[index % targets.len()]))).collect();
    let mut round = Round { latency: Histogram::new(3).unwrap(), refused: 0 };
    for caller in callers {
        let part = caller.await.unwrap();
        round.latency.add(part.latency).unwrap();
        round.refused += part.refused;
    }
    println!("    took {:?}", start.elapsed());
    round
}

async fn call(target: SocketAddr) -> Round {
    let http = http::client("path", Duration::from_secs(5)).unwrap();
    let mut round = Round { latency: Histogram::new(3).unwrap(), refused: 0 };
    for _ in 0..REQUESTS / CONNECTIONS {
        let start = Instant::now();
        let url = format!("http://{target}/services/bulletin/path?work_ms=1");
        let answer = http.post(url).body("x").send().await.unwrap();
        let succeeded = answer.status().is_success();
        answer.bytes().await.unwrap();
        match succeeded {
            true => round.latency.record(start.elapsed().as_micros() as u64).unwrap(),
            false => round.refused += 1,
        }
    }
    round
}

fn print_round(label: &str, round: &Round) {
    let millis = |quantile| round.latency.value_at_quantile(quantile) as f64 / 1_000.0;
    println!(
        "{label}: median {:.2} ms, p99 {:.2} ms, {} answered, {} refused",
        millis(0.5),
        millis(0.99),
        round.latency.len(),
        round.refused
    );
}

/// Returns the resident memory of a process, in MB.
fn resident_mb(pid: u32) -> f64 {
    let status = fs::read_to_string(format!("/proc/{pid}/status")).unwrap();
    let line = status.lines().find(|line| line.starts_with("VmRSS:")).unwrap();
    line.split_whitespace().nth(1).unwrap().parse::<f64>().unwrap() / 1_000.0
}

/// Returns the processor time that a process has used, in seconds.
fn processor_seconds(pid: u32) -> f64 {
    let stat = fs::read_to_string(format!("/proc/{pid}/stat")).unwrap();
    let fields: Vec<&str> = stat.rsplit_once(')').unwrap().1.split_whitespace().collect();
    let ticks = |at: usize| fields[at].parse::<f64>().unwrap();
    (ticks(11) + ticks(12)) / TICKS_PER_SECOND
}
