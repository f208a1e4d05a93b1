//! One worker as the owner of its cell sees it: what it was told, and what it has reported.

use super::*;

/// Longest time from sending a batch to its effect on the worker.
pub const SEND_LIMIT: Duration = Duration::from_secs(2);
/// Length of a task lease.
pub const TASK_LEASE: Duration = Duration::from_secs(30);
/// How often a task lease is renewed.
pub const RENEW: Duration = Duration::from_secs(10);
/// How often a worker without news is asked for its report.
pub const REPORT: Duration = Duration::from_secs(1);
/// Commands of one batch.
pub const MAX_COMMANDS: usize = 128;
/// How long an owner goes on renewing task leases after its own lease has lapsed.
pub const OUTAGE_GRACE: Duration = Duration::from_secs(2 * 60 * 60);
/// How far the VM list lags.
pub const LIST_LAG: Duration = Duration::from_secs(60);

/// One worker as the owner of its cell sees it. At most one batch is under way, and none is sent
/// before an unanswered one can no longer take effect.
#[derive(Clone, Debug, Default)]
pub struct Contact {
    /// Runs that are over, with the group that makes their end durable.
    pub acks: BTreeMap<worker::Run, u64>,
    /// Since when the VM list lacks it.
    pub gone: Option<Instant>,
    /// Whether its services leave no room for more.
    pub held: bool,
    /// Whether it will go soon.
    pub leaving: bool,
    /// Runs that it may have, by task.
    pub runs: BTreeMap<Key, Held>,
    /// Runs that it has and should not have.
    pub strays: BTreeSet<worker::Run>,
    clock: Option<Clock>,
    /// Whether there may be commands to send.
    dirty: bool,
    /// Whether it has answered a batch of this owner.
    fenced: bool,
    next: Instant,
    /// Whether it answered the last batch.
    reachable: bool,
    sent: Option<Instant>,
}

/// A run that a worker may have.
#[derive(Clone, Debug)]
pub struct Held {
    /// Its attempt.
    pub attempt: task::Attempt,
    /// Whether it is to write a checkpoint and stop.
    pub evict: bool,
    /// The latest end of its lease, by the owner's clock.
    pub lease_end: Instant,
    /// When its lease was last renewed.
    pub renewed: Instant,
    /// Whether the worker was told to start it.
    pub sent: bool,
    /// When it was started or taken over.
    pub since: Instant,
    /// The group that makes its start durable.
    pub sequence: u64,
    /// The group after which it is to stop.
    pub stop: Option<u64>,
    /// Thousandths of its processors that it may use, until told.
    pub throttle: Option<u32>,
}

/// What an owner may do at a moment.
#[derive(Clone, Copy, Debug)]
pub struct Mode {
    /// The last group that is durable.
    pub committed: u64,
    /// The owner's epoch.
    pub epoch: cell::Epoch,
    /// Whether it may renew task leases.
    pub renew: bool,
    /// Whether it may start tasks.
    pub start: bool,
}

/// A worker's clock, as its last report gave it.
#[derive(Clone, Copy, Debug)]
struct Clock {
    incarnation: u64,
    millis: u64,
    received: Instant,
}

impl Contact {
    /// Returns whether new tasks may be placed on the worker.
    pub fn is_open(&self) -> bool {
        self.fenced && self.reachable && !self.held && !self.leaving && self.gone.is_none()
    }

    /// Returns whether the worker has answered the last batch.
    pub fn is_reachable(&self) -> bool {
        self.reachable
    }

    /// Returns whether the worker can't have runs of the previous owner that this one ignores.
    pub fn is_fenced(&self) -> bool {
        self.fenced
    }

    /// Asks for a batch at the next opportunity.
    pub fn wake(&mut self) {
        self.dirty = true;
    }

    /// Builds the next batch, if one is due, and counts it as sent at `now`.
    pub fn batch(
        &mut self,
        now: Instant,
        cell: &cell::Id,
        mode: &Mode,
        ledger: &Ledger,
    ) -> Option<worker::Batch> {
        let due = now >= self.next;
        if self.sent.is_some() || !(due || self.dirty && self.reachable) {
            return None;
        }
        let commands = self.commands(now, cell, mode, ledger, due);
        if commands.is_empty() && !due {
            return None;
        }
        self.dirty = commands.len() == MAX_COMMANDS;
        self.next = now + REPORT;
        self.sent = Some(now);
        let validity = self.validity(now);
        Some(worker::Batch { cell: cell.clone(), commands, epoch: mode.epoch, validity })
    }

    /// Takes note of an answered batch.
    pub fn answered(&mut self, now: Instant, report: &worker::Report) {
        self.clock =
            Some(Clock { incarnation: report.incarnation, millis: report.clock_ms, received: now });
        self.fenced = true;
        self.reachable = true;
        self.sent = None;
    }

    /// Takes note of a batch without an answer; it may take effect up to `SEND_LIMIT` after it was
    /// sent.
    pub fn unanswered(&mut self, now: Instant) {
        let sent = self.sent.take().unwrap_or(now);
        self.reachable = false;
        self.next = self.next.max(sent + SEND_LIMIT + lease::DRIFT_MARGIN).max(now + REPORT);
    }

    /// Returns whether it may have the run.
    pub fn holds(&self, run: &worker::Run) -> bool {
        let key = Key { index: run.task.index, serial: run.task.job.serial };
        self.runs.get(&key).is_some_and(|held| held.attempt == run.attempt)
    }

    /// Returns the runs that it was told to start.
    pub fn sent_runs(&self) -> Vec<(Key, task::Attempt)> {
        let sent = self.runs.iter().filter(|(_, held)| held.sent);
        sent.map(|(key, held)| (*key, held.attempt)).collect()
    }

    /// Returns the runs that are proven over although the worker is out of reach.
    pub fn proven_over(&self, now: Instant, faults: Faults) -> Vec<Key> {
        if self.reachable {
            return Vec::new();
        }
        let wait = LIST_LAG + SEND_LIMIT + TASK_LEASE + lease::DRIFT_MARGIN;
        let gone = self.gone.is_some_and(|since| now >= since + wait);
        let over = |held: &Held| {
            gone || (held.sent && now >= held.lease_end)
                || !held.sent && self.sent.is_none()
                || faults == Faults::NoLeaseWait
        };
        self.runs.iter().filter(|(_, held)| over(held)).map(|(key, _)| *key).collect()
    }

    fn commands(
        &mut self,
        now: Instant,
        cell: &cell::Id,
        mode: &Mode,
        ledger: &Ledger,
        due: bool,
    ) -> Vec<worker::Command> {
        if !self.reachable || self.clock.is_none() {
            return Vec::new();
        }
        let mut commands = self.stray_commands(mode);
        for (key, held) in &mut self.runs {
            if commands.len() >= MAX_COMMANDS {
                break;
            }
            let run = worker::Run { attempt: held.attempt, task: key.task(cell) };
            commands.extend(held.commands(now, mode, due, run.clone(), *key, ledger));
            commands.extend(held.throttle(run));
        }
        commands
    }

    fn stray_commands(&mut self, mode: &Mode) -> Vec<worker::Command> {
        let durable = |(_, sequence): &(&worker::Run, &u64)| **sequence <= mode.committed;
        let acks: Vec<worker::Run> = self
            .acks
            .iter()
            .filter(durable)
            .map(|(run, _)| run.clone())
            .take(MAX_COMMANDS / 2)
            .collect();
        for run in &acks {
            self.acks.remove(run);
        }
        let strays = std::mem::take(&mut self.strays);
        let acks = acks.into_iter().map(|run| worker::Command::Acknowledge { run });
        acks.chain(strays.into_iter().map(|run| worker::Command::Stop { run })).collect()
    }

    fn validity(&self, now: Instant) -> Option<worker::Validity> {
        let clock = self.clock.filter(|_| self.reachable)?;
        let until = clock.millis + (now.since(clock.received) + SEND_LIMIT).as_millis() as u64;
        Some(worker::Validity { incarnation: clock.incarnation, until_ms: until })
    }
}

impl Held {
    /// Returns a run whose start is in the group `sequence` and not yet sent.
    pub fn new(now: Instant, attempt: task::Attempt, sequence: u64) -> Self {
        Self {
            attempt,
            evict: false,
            lease_end: now,
            renewed: now,
            sent: false,
            since: now,
            sequence,
            stop: None,
            throttle: None,
        }
    }

    /// Returns a run of the previous owner, which may last until `lease_end`.
    pub fn adopted(attempt: task::Attempt, lease_end: Instant) -> Self {
        let renewed = Instant::default();
        Self { renewed, sent: true, ..Self::new(lease_end, attempt, 0) }
    }

    fn commands(
        &mut self,
        now: Instant,
        mode: &Mode,
        due: bool,
        run: worker::Run,
        key: Key,
        ledger: &Ledger,
    ) -> Option<worker::Command> {
        if !self.sent {
            return self.start(now, mode, run, key, ledger);
        }
        if self.stop.is_some_and(|sequence| sequence <= mode.committed) {
            return due.then_some(worker::Command::Stop { run });
        }
        if self.evict {
            return due.then_some(worker::Command::Checkpoint { run });
        }
        if !mode.renew || now.since(self.renewed) < RENEW {
            return None;
        }
        self.extend(now);
        let lease_ms = TASK_LEASE.as_millis() as u64;
        Some(worker::Command::Renew { lease_ms, run })
    }

    /// Returns the change of its share that the worker was not told yet.
    fn throttle(&mut self, run: worker::Run) -> Option<worker::Command> {
        if !self.sent || self.evict || self.stop.is_some() {
            return None;
        }
        let share_milli = self.throttle.take()?;
        Some(worker::Command::Throttle { run, share_milli })
    }

    fn extend(&mut self, now: Instant) {
        self.renewed = now;
        self.lease_end = now + SEND_LIMIT + TASK_LEASE + lease::DRIFT_MARGIN;
    }

    fn start(
        &mut self,
        now: Instant,
        mode: &Mode,
        run: worker::Run,
        key: Key,
        ledger: &Ledger,
    ) -> Option<worker::Command> {
        if self.stop.is_some() || !mode.start || self.sequence > mode.committed {
            return None;
        }
        let spec = &ledger.job(key.serial)?.spec;
        let checkpoint = ledger.task(key)?.checkpoint.clone();
        self.sent = true;
        self.extend(now);
        Some(worker::Command::Start {
            checkpoint,
            class: spec.class.clone(),
            lease_ms: TASK_LEASE.as_millis() as u64,
            payload: spec.payload.clone(),
            resources: spec.resources,
            run,
            run_ms: spec.run_ms,
        })
    }
}
