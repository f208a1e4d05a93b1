//! The scripts of the third review: starts the program beside a store, workers and clients of its own.
//!
//! Usage: review-standin-3 CASE RECORD FOLDER. Exits with 1 if the rule was broken, 0 if it held, and 2 if the
//! case couldn't run. With TROUBLE=0 in the environment the disruption is left out.

mod gang;
mod http;
mod json;
mod late_leave;
mod node;
mod record;
mod store;
mod wide;
mod wide_gang;
mod worker;

use {
    node::Node,
    record::Record,
    std::{env, path::Path, process::exit, thread, time::Duration, time::Instant},
    store::Store,
};

/// The outcome of a case.
pub enum Outcome {
    Held,
    Broken,
    NotRun(String),
}

pub const CONFIG: &str = "{\"version\":3,\"routes\":[{\"name\":\"q\",\"host\":\"\",\"prefix\":\"/q/\",\
    \"service\":\"desk\",\"priority\":0,\"max_attempts\":3,\"stretch\":1.5,\"target_duration_ms\":250}],\
    \"services\":[{\"name\":\"desk\",\"admission_check\":true}],\"limits\":{\"max_body_bytes\":262144}}";
/// The longest time that a case takes.
const TIME_LIMIT: Duration = Duration::from_secs(114);
/// How long clients wait for an answer.
pub const PATIENCE: Duration = Duration::from_secs(3);

fn main() {
    let arguments: Vec<String> = env::args().collect();
    let [_, case, record, folder] = arguments.as_slice() else {
        eprintln!("usage: review-standin-3 CASE RECORD FOLDER");
        exit(2);
    };
    let trouble = env::var("TROUBLE").as_deref() != Ok("0");
    let record = Record::new(Path::new(record));
    record.line(&format!("case {case}, disruption {}", if trouble { "on" } else { "left out" }));
    let late = record.clone();
    thread::spawn(move || {
        thread::sleep(TIME_LIMIT);
        late.line("the case couldn't run: it took too long");
        node::kill_all();
        exit(2);
    });
    let outcome = match case.as_str() {
        "late-leave" => late_leave::run(&record, Path::new(folder), trouble),
        "gang" => gang::run(&record, Path::new(folder), trouble),
        "wide-gang" => wide_gang::run(&record, Path::new(folder), trouble),
        "wide" => wide::run(&record, Path::new(folder), trouble),
        _ => Outcome::NotRun(format!("no case `{case}`")),
    };
    let (text, status) = match outcome {
        Outcome::Held => ("the rule held".to_owned(), 0),
        Outcome::Broken => ("the rule was broken".to_owned(), 1),
        Outcome::NotRun(why) => (format!("the case couldn't run: {why}"), 2),
    };
    record.line(&text);
    println!("{case}: {text}");
    exit(status);
}

/// Waits until a condition holds, and returns whether it did in time.
pub fn wait_until(patience: Duration, mut holds: impl FnMut() -> bool) -> bool {
    let deadline = Instant::now() + patience;
    while !holds() {
        if Instant::now() >= deadline {
            return false;
        }
        thread::sleep(Duration::from_millis(20));
    }
    true
}

/// Submits a job until it is accepted or refused for `tries` times, and returns whether it was accepted.
pub fn submit(
    record: &Record,
    node: &Node,
    job: &str,
    spec: &str,
    steps: &str,
    tries: u32,
) -> bool {
    let body = format!("{{\"spec\":\"{spec}\",\"steps\":{steps}}}");
    for _ in 0..tries {
        let status = http::call(node.front, "POST", &format!("/q/{job}"), &body, PATIENCE).0;
        record.line(&format!("client: POST /q/{job} at {}: {status}", node.name));
        if status == 200 {
            return true;
        }
        thread::sleep(Duration::from_millis(300));
    }
    false
}

/// Returns what a machine answers to a request for a job's state.
pub fn state_of(record: &Record, node: &Node, job: &str) -> (u16, String) {
    let (status, body) = http::call(node.front, "GET", &format!("/q/{job}"), "", PATIENCE);
    record.line(&format!("client: GET /q/{job} at {}: {status} {body}", node.name));
    let state = json::Json::parse(body.as_bytes()).map(|body| body.get("state").text().to_owned());
    (status, state.unwrap_or_default())
}

/// Starts a store with the configuration.
pub fn store() -> Store {
    let store = Store::start();
    store.put("op/config", CONFIG);
    store
}
