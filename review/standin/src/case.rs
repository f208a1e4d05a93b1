//! How a case runs: its arguments, its record and its verdict.

use {
    crate::{
        record::Record,
        store::Store,
        worker::{Gangs, Kind, Ledger, Worker},
    },
    std::{
        collections::BTreeMap,
        path::PathBuf,
        process::ExitCode,
        thread,
        time::{Duration, Instant},
    },
};

/// The interval at which workers write to the store.
pub const HEARTBEAT: Duration = Duration::from_millis(1_500);

/// What a case works with.
pub struct Case {
    pub record: Record,
    /// For settings and logs.
    pub directory: PathBuf,
    /// Whether the disruption is made.
    pub trouble: bool,
    pub ledger: Ledger,
    pub store: Store,
    pub gangs: Gangs,
}

/// The result of a case; `Err` if it could not run.
pub type Verdict = Result<bool, String>;

/// Runs a case: `PROGRAM RECORD DIRECTORY`. `play` returns whether the rule held.
pub fn run(play: impl FnOnce(&Case) -> Verdict) -> ExitCode {
    let arguments: Vec<String> = std::env::args().collect();
    let [_, record, directory] = &arguments[..] else {
        eprintln!("give the file of the record and a temporary folder");
        return ExitCode::from(2);
    };
    let Ok(record) = Record::create(&PathBuf::from(record)) else {
        eprintln!("cannot write {record}");
        return ExitCode::from(2);
    };
    let trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    record.say(format!("disruption: {trouble}"));
    let store = Store::start(record.clone(), HEARTBEAT);
    let case = Case {
        record: record.clone(),
        directory: directory.into(),
        trouble,
        ledger: Ledger::default(),
        store,
        gangs: Gangs::default(),
    };
    let verdict = play(&case);
    let (text, code) = match &verdict {
        Ok(true) => ("the rule held".into(), 0),
        Ok(false) => ("the rule was broken".into(), 1),
        Err(reason) => (format!("the case could not run: {reason}"), 2),
    };
    record.say(text);
    record.flush();
    ExitCode::from(code)
}

impl Case {
    /// Starts a worker whose first heartbeat is `phase` after the start.
    pub fn worker(&self, kind: Kind, gang_size: usize, phase: Duration) -> Result<Worker, String> {
        let (gangs, ledger) = (self.gangs.clone(), self.ledger.clone());
        let (record, store) = (self.record.clone(), self.store.clone());
        Worker::start(kind, gang_size, gangs, ledger, record, store, HEARTBEAT, phase)
            .map_err(|error| format!("worker: {error}"))
    }

    /// TWICE: two runs of a task at the same time, or a start after a run has ended `done`, if that end
    /// is taken note of then or later.
    pub fn judge_twice(&self) -> bool {
        let mut by_task: BTreeMap<String, Vec<_>> = BTreeMap::new();
        for run in self.ledger.runs() {
            by_task.entry(run.task.clone()).or_default().push(run);
        }
        let mut broken = 0;
        for (task, runs) in &by_task {
            for (index, later) in runs.iter().enumerate() {
                let Some(earlier) = runs[..index].iter().find(|earlier| {
                    let over = earlier.ended.is_some_and(|(at, _)| at <= later.started);
                    let done = earlier.ended.is_some_and(|(_, how)| how == "done");
                    !over || done && earlier.noted.is_some()
                }) else {
                    continue;
                };
                broken += 1;
                self.record.line(format!(
                    "TWICE: {task} run {} starts on {} at {} ms; run {} on {} ended {:?}, noted {:?}",
                    later.run, later.worker, later.started, earlier.run, earlier.worker, earlier.ended,
                    earlier.noted
                ));
            }
        }
        let starts: usize = by_task.values().map(Vec::len).sum();
        self.record.say(format!("{} tasks, {starts} starts, {broken} of them break TWICE", by_task.len()));
        broken == 0
    }
}

/// Waits until a condition holds, for at most `timeout`.
pub fn wait_until(what: &str, timeout: Duration, mut holds: impl FnMut() -> bool) -> Result<(), String> {
    let deadline = Instant::now() + timeout;
    while !holds() {
        if Instant::now() > deadline {
            return Err(format!("timed out waiting for {what}"));
        }
        thread::sleep(Duration::from_millis(20));
    }
    Ok(())
}

/// Sleeps for this many milliseconds.
pub fn pause(milliseconds: u64) {
    thread::sleep(Duration::from_millis(milliseconds));
}
