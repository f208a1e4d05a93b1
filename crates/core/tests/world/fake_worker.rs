//! A worker in virtual time, which records the runs that it executed.

use super::*;

/// A worker in virtual time.
pub struct Worker {
    pub capacity: Resources,
    pub cut_until: Instant,
    pub dead: bool,
    pub died: Option<Instant>,
    pub fails_every_run: bool,
    /// Whether the VM list shows it as leaving.
    pub leaving: bool,
    pub paused_until: Instant,
    /// All runs, in order of start.
    pub executions: Vec<Execution>,
    /// Peak use of processors, in thousandths of a core.
    pub peak_processors_milli: u64,
    checks_epochs: bool,
    epoch: cell::Epoch,
    incarnation: u64,
    over: BTreeMap<worker::Run, worker::End>,
    running: BTreeMap<worker::Run, Running>,
    started: Instant,
}

/// A run that was executed.
#[derive(Clone, Debug)]
pub struct Execution {
    pub acknowledged: Option<Instant>,
    pub checkpoint: Option<String>,
    pub end: Option<(Instant, worker::End)>,
    pub run: worker::Run,
    pub start: Instant,
}

struct Running {
    finish: Instant,
    lease_end: Instant,
    resources: Resources,
}

impl Worker {
    pub fn new(capacity: Resources, checks_epochs: bool) -> Self {
        Self {
            capacity,
            checks_epochs,
            cut_until: Instant::default(),
            dead: false,
            died: None,
            epoch: cell::Epoch(0),
            fails_every_run: false,
            leaving: false,
            incarnation: 1,
            over: BTreeMap::new(),
            paused_until: Instant::default(),
            executions: Vec::new(),
            running: BTreeMap::new(),
            started: Instant::default(),
            peak_processors_milli: 0,
        }
    }

    /// Ends the runs that have finished or whose lease has expired by `now`.
    pub fn advance(&mut self, now: Instant) {
        let due = |r: &Running| r.finish.min(r.lease_end) <= now;
        let ended: Vec<worker::Run> =
            self.running.iter().filter(|(_, r)| due(r)).map(|(run, _)| run.clone()).collect();
        for run in ended {
            let Running { finish, lease_end, .. } = self.running[&run];
            let end = match (finish < lease_end, self.fails_every_run) {
                (true, true) => worker::End::Failed { reason: "broken".into() },
                (true, false) => worker::End::Finished,
                (false, _) => worker::End::Lapsed,
            };
            self.end(finish.min(lease_end), &run, end);
        }
    }

    pub fn die(&mut self, now: Instant) {
        self.restart(now);
        self.dead = true;
        self.died.get_or_insert(now);
    }

    pub fn heal(&mut self) {
        self.cut_until = Instant::default();
    }

    pub fn restart(&mut self, now: Instant) {
        let running: Vec<worker::Run> = self.running.keys().cloned().collect();
        running.iter().for_each(|run| self.end(now, run, worker::End::Lapsed));
        self.over.clear();
        self.epoch = cell::Epoch(0);
        self.incarnation += 1;
        self.started = now;
    }

    /// Executes a batch and returns a report, or `None` if its epoch is too low.
    pub fn handle_batch(&mut self, now: Instant, batch: &worker::Batch) -> Option<worker::Report> {
        if self.checks_epochs && batch.epoch < self.epoch {
            return None;
        }
        self.epoch = batch.epoch;
        let clock_ms = now.since(self.started).as_millis() as u64;
        let valid = batch.validity.is_some_and(|validity| {
            validity.incarnation == self.incarnation && clock_ms <= validity.until_ms
        });
        if valid {
            batch.commands.iter().for_each(|command| self.execute(now, command));
        }
        let running = self.running.iter().map(|(run, running)| worker::Running {
            lease_ms: running.lease_end.since(now).as_millis() as u64,
            progress_milli: 0,
            run: run.clone(),
        });
        let over = self.over.iter();
        Some(worker::Report {
            age_ms: 0,
            clock_ms,
            epoch: self.epoch,
            incarnation: self.incarnation,
            over: over
                .map(|(run, end)| worker::Over { end: end.clone(), run: run.clone() })
                .collect(),
            running: running.collect(),
            usage: worker::Usage::default(),
        })
    }

    fn execute(&mut self, now: Instant, command: &worker::Command) {
        match command {
            worker::Command::Acknowledge { run } => {
                self.over.remove(run);
                let execution =
                    self.executions.iter_mut().rev().find(|execution| execution.run == *run);
                execution.into_iter().for_each(|execution| {
                    execution.acknowledged = execution.acknowledged.or(Some(now))
                });
            }
            worker::Command::Checkpoint { run } => {
                let token = format!("token-{}-{}", run.task.index, run.attempt.0);
                self.end(now, run, worker::End::Checkpointed { token });
            }
            worker::Command::Renew { lease_ms, run } => {
                if let Some(running) = self.running.get_mut(run) {
                    running.lease_end = now + Duration::from_millis(*lease_ms);
                }
            }
            worker::Command::Start { checkpoint, lease_ms, resources, run, run_ms, .. } => {
                if self.running.contains_key(run) || self.over.contains_key(run) {
                    return;
                }
                let lease_end = now + Duration::from_millis(*lease_ms);
                let finish = now + Duration::from_millis(*run_ms);
                let resources = *resources;
                self.running.insert(run.clone(), Running { finish, lease_end, resources });
                let checkpoint = checkpoint.clone();
                let run = run.clone();
                self.executions.push(Execution {
                    acknowledged: None,
                    checkpoint,
                    end: None,
                    run,
                    start: now,
                });
                let used = self.running.values().map(|r| r.resources.processors_milli).sum();
                self.peak_processors_milli = self.peak_processors_milli.max(used);
            }
            worker::Command::Stop { run } => self.end(now, run, worker::End::Stopped),
            worker::Command::Throttle { .. } => (),
        }
    }

    fn end(&mut self, now: Instant, run: &worker::Run, end: worker::End) {
        if self.running.remove(run).is_none() {
            return;
        }
        self.over.insert(run.clone(), end.clone());
        let execution =
            self.executions.iter_mut().rev().find(|execution| execution.run == *run).unwrap();
        execution.end = Some((now, end));
    }
}
