//! Exchange of the owner of a cell with one worker: batches of commands, the runs that the worker
//! may have, and their leases.
//!
//! Guards against a second run of a task while the first may still run. A run on an unreachable
//! worker counts as over only when its lease has ended, when its start was never sent, or when the
//! VM has been missing from the VM list for long enough.

use super::*;

/// Longest time from sending a batch to its effect on the worker.
pub const BATCH_VALIDITY: Duration = Duration::from_secs(2);
/// Length of a task lease.
pub const TASK_LEASE: Duration = Duration::from_secs(30);
/// Interval between renewals of a task lease.
pub const RENEW_INTERVAL: Duration = Duration::from_secs(10);
/// Interval between batches to a worker; one is sent even without commands, to get the report.
pub const REPORT_INTERVAL: Duration = Duration::from_secs(1);
/// Largest number of commands in a batch.
pub const MAX_COMMANDS: usize = 128;
/// How long an owner continues to renew task leases after its own lease has lapsed.
pub const OUTAGE_GRACE: Duration = Duration::from_secs(2 * 60 * 60);
/// Longest delay of a change in the VM list.
pub const LIST_LAG: Duration = Duration::from_secs(60);

/// One worker as seen by the owner of its cell. At most one batch is in flight, and none is sent
/// while an unanswered one can still take effect.
#[derive(Clone, Debug, Default)]
pub struct Contact {
    /// Runs that are over and to be acknowledged, with the journal group that makes their end
    /// durable.
    pub acks: BTreeMap<worker::Run, u64>,
    /// Since when it has been missing from the VM list.
    pub gone: Option<Instant>,
    /// Whether no task may be started on it, because batch work slows its services down too much.
    pub starts_held: bool,
    /// Whether the VM list announces its removal.
    pub leaving: bool,
    /// Runs that it may have, by task.
    pub assignments: BTreeMap<Key, Assignment>,
    /// Runs that it reported and that are not in `assignments`; they are stopped.
    pub strays: BTreeSet<worker::Run>,
    clock: Option<Clock>,
    /// Whether there may be commands to send.
    dirty: bool,
    /// Whether it has answered a batch of this owner.
    fenced: bool,
    /// When the next batch is due.
    next_batch: Instant,
    /// Whether it answered the last batch.
    reachable: bool,
    /// When the batch in flight was sent.
    batch_sent: Option<Instant>,
}

/// A run that a worker may have.
#[derive(Clone, Debug)]
pub struct Assignment {
    /// Its attempt.
    pub attempt: task::Attempt,
    /// Whether it is to write a checkpoint and stop.
    pub evict: bool,
    /// The latest end of its lease, by the owner's clock.
    pub lease_end: Instant,
    /// When its lease was last renewed.
    pub renewed: Instant,
    /// Whether its start was sent to the worker.
    pub sent: bool,
    /// When it was started or taken over.
    pub since: Instant,
    /// The journal group that makes its start durable.
    pub sequence: u64,
    /// The journal group that must be durable before the run is stopped; `None` if it goes on.
    pub stop: Option<u64>,
    /// Share of its processors in thousandths that is not yet sent to the worker.
    pub throttle: Option<u32>,
}

/// What an owner is allowed to send now.
#[derive(Clone, Copy, Debug)]
pub struct Mode {
    /// The last durable journal group.
    pub committed: u64,
    /// The owner's epoch.
    pub epoch: cell::Epoch,
    /// Whether it may renew task leases.
    pub may_renew: bool,
    /// Whether it may start tasks.
    pub may_start: bool,
}

/// A worker's clock at its last report.
#[derive(Clone, Copy, Debug)]
struct Clock {
    incarnation: u64,
    clock_ms: u64,
    received: Instant,
}

impl Contact {
    /// Returns whether new tasks may be placed on the worker.
    pub fn is_open(&self) -> bool {
        self.fenced && self.reachable && !self.starts_held && !self.leaving && self.gone.is_none()
    }

    /// Returns whether the worker has answered the last batch.
    pub fn is_reachable(&self) -> bool {
        self.reachable
    }

    /// Returns whether the worker has answered this owner. Only until then can it have runs of the
    /// previous owner that are unknown to this one.
    pub fn is_fenced(&self) -> bool {
        self.fenced
    }

    /// Requests a batch as soon as possible, without waiting for the interval.
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
        let due = now >= self.next_batch;
        if self.batch_sent.is_some() || !(due || self.dirty && self.reachable) {
            return None;
        }
        let commands = self.commands(now, cell, mode, ledger, due);
        if commands.is_empty() && !due {
            return None;
        }
        self.dirty = commands.len() == MAX_COMMANDS;
        self.next_batch = now + REPORT_INTERVAL;
        self.batch_sent = Some(now);
        let validity = self.validity(now);
        Some(worker::Batch { cell: cell.clone(), commands, epoch: mode.epoch, validity })
    }

    /// Records that the worker answered a batch.
    pub fn answered(&mut self, now: Instant, report: &worker::Report) {
        self.clock = Some(Clock {
            incarnation: report.incarnation,
            clock_ms: report.clock_ms,
            received: now,
        });
        self.fenced = true;
        self.reachable = true;
        self.batch_sent = None;
    }

    /// Records that a batch was not answered; it may take effect up to `BATCH_VALIDITY` after it
    /// was sent.
    pub fn unanswered(&mut self, now: Instant) {
        let batch_sent = self.batch_sent.take().unwrap_or(now);
        self.reachable = false;
        self.next_batch = self
            .next_batch
            .max(batch_sent + BATCH_VALIDITY + lease::DRIFT_MARGIN)
            .max(now + REPORT_INTERVAL);
    }

    /// Returns whether the run is assigned to the worker.
    pub fn is_assigned(&self, run: &worker::Run) -> bool {
        let key = Key { index: run.task.index, serial: run.task.job.serial };
        self.assignments.get(&key).is_some_and(|assignment| assignment.attempt == run.attempt)
    }

    /// Returns the runs whose start was sent to the worker.
    pub fn sent_runs(&self) -> Vec<(Key, task::Attempt)> {
        let sent = self.assignments.iter().filter(|(_, assignment)| assignment.sent);
        sent.map(|(key, assignment)| (*key, assignment.attempt)).collect()
    }

    /// Returns the runs that are proven over although the worker is unreachable.
    pub fn proven_over(&self, now: Instant, faults: Faults) -> Vec<Key> {
        if self.reachable {
            return Vec::new();
        }
        let wait = LIST_LAG + BATCH_VALIDITY + TASK_LEASE + lease::DRIFT_MARGIN;
        let gone = self.gone.is_some_and(|since| now >= since + wait);
        let over = |assignment: &Assignment| {
            gone || (assignment.sent && now >= assignment.lease_end)
                || !assignment.sent && self.batch_sent.is_none()
                || faults == Faults::NoLeaseWait
        };
        self.assignments
            .iter()
            .filter(|(_, assignment)| over(assignment))
            .map(|(key, _)| *key)
            .collect()
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
        let mut commands = self.unassigned_commands(mode);
        for (key, assignment) in &mut self.assignments {
            if commands.len() >= MAX_COMMANDS {
                break;
            }
            let run = worker::Run { attempt: assignment.attempt, task: key.task(cell) };
            commands.extend(assignment.command(now, mode, due, run.clone(), *key, ledger));
            commands.extend(assignment.throttle_command(run));
        }
        commands
    }

    /// Returns the commands for runs that are not assigned: acknowledgements of durable ends, at
    /// most half a batch of them, and stops of stray runs.
    fn unassigned_commands(&mut self, mode: &Mode) -> Vec<worker::Command> {
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

    /// Returns until when a batch sent now may take effect, by the worker's clock; `None` if that
    /// clock is unknown or the worker is unreachable.
    fn validity(&self, now: Instant) -> Option<worker::Validity> {
        let clock = self.clock.filter(|_| self.reachable)?;
        let until_ms =
            clock.clock_ms + (now.since(clock.received) + BATCH_VALIDITY).as_millis() as u64;
        Some(worker::Validity { incarnation: clock.incarnation, until_ms })
    }
}

impl Assignment {
    /// Returns a run whose start is in the journal group `sequence` and not yet sent.
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

    /// Returns a run started by the previous owner, whose lease may last until `lease_end`.
    pub fn adopted(attempt: task::Attempt, lease_end: Instant) -> Self {
        let renewed = Instant::default();
        Self { renewed, sent: true, ..Self::new(lease_end, attempt, 0) }
    }

    /// Returns the start, stop, eviction or renewal that the run needs. Stops and evictions are
    /// repeated in each `due` batch until the run is over.
    fn command(
        &mut self,
        now: Instant,
        mode: &Mode,
        due: bool,
        run: worker::Run,
        key: Key,
        ledger: &Ledger,
    ) -> Option<worker::Command> {
        if !self.sent {
            return self.start_command(now, mode, run, key, ledger);
        }
        if self.stop.is_some_and(|sequence| sequence <= mode.committed) {
            return due.then_some(worker::Command::Stop { run });
        }
        if self.evict {
            return due.then_some(worker::Command::Checkpoint { run });
        }
        if !mode.may_renew || now.since(self.renewed) < RENEW_INTERVAL {
            return None;
        }
        self.extend_lease(now);
        let lease_ms = TASK_LEASE.as_millis() as u64;
        Some(worker::Command::Renew { lease_ms, run })
    }

    /// Returns the change of its processor share that is not yet sent.
    fn throttle_command(&mut self, run: worker::Run) -> Option<worker::Command> {
        if !self.sent || self.evict || self.stop.is_some() {
            return None;
        }
        let share_milli = self.throttle.take()?;
        Some(worker::Command::Throttle { run, share_milli })
    }

    /// Sets the lease end for a start or a renewal sent now, at the latest the worker may apply it.
    fn extend_lease(&mut self, now: Instant) {
        self.renewed = now;
        self.lease_end = now + BATCH_VALIDITY + TASK_LEASE + lease::DRIFT_MARGIN;
    }

    /// Returns the start of the run once its record is durable, and begins its lease.
    fn start_command(
        &mut self,
        now: Instant,
        mode: &Mode,
        run: worker::Run,
        key: Key,
        ledger: &Ledger,
    ) -> Option<worker::Command> {
        if self.stop.is_some() || !mode.may_start || self.sequence > mode.committed {
            return None;
        }
        let spec = &ledger.job(key.serial)?.spec;
        let checkpoint = ledger.task(key)?.checkpoint.clone();
        self.sent = true;
        self.extend_lease(now);
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
