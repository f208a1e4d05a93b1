//! Durability of a cell: recovery, compaction, damaged values and outages, with bounds on calls and
//! bytes.

#![allow(clippy::unwrap_used)]

mod world;

use {
    oleanderstage_core::{
        Faults, Group, Holder, Instant, Key, Ledger, Record, Recovery, Stage, Writer, cell, job,
        journal,
        ledger::Content,
        sealed,
        store::{self, Reply, Request},
        task, worker, writer,
    },
    std::{collections::BTreeMap, sync::Arc, time::Duration},
    world::{Incident, Store, World, cell_id, name, small, spec},
};

const fn seconds(seconds: u64) -> Duration {
    Duration::from_secs(seconds)
}

/// A writer with a key-value service, driven one transaction at a time.
struct Harness {
    ledger: Ledger,
    /// Whether `history` is recorded.
    records_history: bool,
    now: Instant,
    /// The content after each group, by sequence number.
    history: BTreeMap<u64, Content>,
    store: Store,
    writer: Writer,
}

impl Harness {
    fn new() -> Self {
        let holder =
            Holder { epoch: cell::Epoch(1), incarnation: 1, scheduler: name("scheduler-0") };
        let mut store = Store::default();
        let bytes = sealed::seal(&holder);
        let value = store::Value { bytes, key: journal::owner_key(&cell_id()) };
        let operations = vec![store::Operation::Put { lease: None, value }];
        store.apply(Instant(0), &store::Txn { conditions: Vec::new(), operations });
        let life = Arc::new(Stage::life().unwrap());
        Self {
            ledger: Ledger::new(life, Content::default()),
            records_history: true,
            now: Instant(0),
            history: BTreeMap::from([(0, Content::default())]),
            store,
            writer: Writer::new(&cell_id(), holder, &Recovery::default(), Faults::None),
        }
    }

    fn record(&mut self, record: Record) {
        self.ledger.apply(&record).unwrap();
        let sequence = self.writer.push(record);
        if self.records_history {
            self.history.insert(sequence, self.ledger.content().clone());
        }
    }

    fn recovery(&self) -> Result<Recovery, sealed::Error> {
        let values: Vec<store::Value> = self
            .store
            .keys
            .iter()
            .map(|(key, (bytes, _))| store::Value { bytes: bytes.clone(), key: key.clone() })
            .collect();
        Recovery::from_values(&cell_id(), &values, &Arc::new(Stage::life().unwrap()))
    }

    /// Advances time by the commit interval and carries out one transaction. Returns false if there
    /// is none.
    fn advance(&mut self) -> bool {
        self.now = self.now + writer::COMMIT_INTERVAL;
        self.step()
    }

    /// Carries out one transaction. Returns false if there is none.
    fn step(&mut self) -> bool {
        let Some(request) = self.writer.poll(self.now, &self.ledger) else { return false };
        let Request::Commit(txn) = request else { panic!("{request:?}") };
        assert!(self.store.apply(self.now, &txn));
        assert_eq!(self.writer.on_reply(self.now, &Reply::Committed), writer::Verdict::Continue);
        true
    }

    fn submit(&mut self, serial: u128, payload: usize) {
        let spec = job::Spec { payload: "x".repeat(payload), ..spec(3, 1, 1_000) };
        self.record(Record::Accept { serial, spec });
        let key = Key { index: 0, serial };
        let attempt = task::Attempt(1);
        self.record(Record::Start { attempt, key, vm: name("vm-0") });
        self.record(Record::Over { attempt, end: worker::End::Finished, key });
    }
}

#[test]
fn a_compaction_can_be_cut_at_any_step() {
    let mut harness = Harness::new();
    let mut snapshots = 0;
    let mut most_keys = 0;
    for serial in 1..=600 {
        harness.submit(serial, 40);
        while harness.advance() {
            let recovery = harness.recovery().unwrap();
            assert_eq!(recovery.content, harness.history[&recovery.sequence]);
            assert_eq!(recovery.sequence, harness.writer.committed());
            snapshots = snapshots.max(recovery.snapshot_sequence);
            most_keys = most_keys.max(harness.store.keys.len());
        }
    }
    assert!(snapshots > 256, "the last snapshot holds {snapshots} groups");
    assert!(most_keys < 600, "{most_keys} keys at once");
    assert!(harness.store.keys.len() < 300, "{} keys in the end", harness.store.keys.len());
}

#[test]
fn all_cells_together_commit_at_most_100_times_a_second() {
    for cells in [1, 4, 90, 300] {
        let mut harness = Harness::new();
        harness.records_history = false;
        harness.writer.set_cell_count(cells);
        let mut commits = 0;
        for millis in 1..=10_000 {
            harness.now = Instant::from_millis(millis);
            harness.submit(millis.into(), 10);
            commits += u32::from(harness.step());
        }
        assert!(commits * cells <= 10 * 100 + cells, "{commits} commits of each of {cells} cells");
        assert!(commits > 0);
    }
}

#[test]
fn a_value_with_one_flipped_bit_is_refused_by_name() {
    let mut harness = Harness::new();
    for serial in 1..=4 {
        harness.submit(serial, 10);
        while harness.advance() {}
    }
    let keys: Vec<String> =
        harness.store.keys.keys().filter(|k| k.contains("journal")).cloned().collect();
    for key in keys {
        for bit in 0..harness.store.keys[&key].0.len() * 8 {
            let flip = |harness: &mut Harness| {
                harness.store.keys.get_mut(&key).unwrap().0[bit / 8] ^= 1 << (bit % 8)
            };
            flip(&mut harness);
            let error = harness.recovery().unwrap_err().to_string();
            assert!(error.contains(&format!("value of `{key}`")), "bit {bit}: {error}");
            flip(&mut harness);
        }
    }
    harness.recovery().unwrap();
}

#[test]
fn a_journal_with_a_gap_is_refused_by_name() {
    let mut harness = Harness::new();
    for serial in 1..=3 {
        harness.submit(serial, 10);
        while harness.advance() {}
    }
    harness.store.keys.remove(&journal::group_key(&cell_id(), 2));
    let error = harness.recovery().unwrap_err().to_string();
    insta::assert_snapshot!(error, @"value of `oleanderstage/cells/kigali-1.0/journal/0000000000000003` is damaged, group 3 does not follow group 1: restore it from a backup");
}

/// Describes how many records of each kind the journal holds, and their size in bytes.
fn journal_bytes(store: &Store) -> String {
    let mut kinds: BTreeMap<&str, (usize, usize)> = BTreeMap::new();
    let journal = store.keys.iter().filter(|(key, _)| key.contains("/journal/"));
    let groups: Vec<Group> =
        journal.map(|(key, (bytes, _))| sealed::open(key, bytes).unwrap()).collect();
    for record in groups.iter().flat_map(|group| &group.records) {
        let kind = match record {
            Record::Accept { .. } => "accepted",
            Record::Start { .. } => "started",
            _ => "other",
        };
        let sum = kinds.entry(kind).or_default();
        *sum = (sum.0 + 1, sum.1 + sealed::encode(record).len());
    }
    let started = |group: &&Group| group.records.iter().all(|r| matches!(r, Record::Start { .. }));
    let started = groups.iter().filter(started).count();
    format!("{} groups, {started} of starts only; records and bytes: {kinds:?}", groups.len())
}

#[test]
fn a_cell_of_300_workers_and_5000_tasks_is_recovered_in_few_calls() {
    let mut world = World::new(3, 2, 300, Faults::None);
    world.run(seconds(3));
    for _ in 0..50 {
        world.submit(small(100, 3_600_000));
    }
    world.run(seconds(20));
    let running = |world: &World| {
        let ledger = world.owner().unwrap().owner.ledger().unwrap();
        ledger.tasks().filter(|(_, _, task)| task.stage == Stage::Running).count()
    };
    assert_eq!(running(&world), 5_000);
    let written = world.store.bytes_written;
    println!("{}", journal_bytes(&world.store));
    world.schedule(Duration::ZERO, Incident::KillScheduler { index: 0, span: seconds(600) });
    world.run(Duration::from_millis(200));
    let (calls, bytes, sent, killed) =
        (world.store.calls, world.store.bytes_read, world.batches, world.now);
    while world.owner().is_none() {
        world.run(Duration::from_millis(100));
    }
    let (took, calls, bytes) =
        (world.now.since(killed), world.store.calls - calls, world.store.bytes_read - bytes);
    while running(&world) < 5_000 {
        world.run(Duration::from_millis(100));
    }
    let (batches, adopted) = (world.batches - sent, world.now.since(killed));
    println!(
        "written {written} bytes; recovery: {calls} calls, {bytes} bytes read, owned after \
         {took:?}, 5,000 tasks adopted after {adopted:?} with {batches} batches"
    );
    assert!(calls <= 30, "{calls} calls");
    assert!(bytes <= 1_000_000, "{bytes} bytes");
    assert!(batches <= 600, "{batches} batches");
    let runs: usize = world.workers.iter().map(|worker| worker.executions.len()).sum();
    assert_eq!(runs, 5_000, "a task was started again");
}

#[test]
fn an_hour_without_the_store_keeps_tasks_alive_and_ends_without_a_stampede() {
    let mut world = World::new(5, 3, 4, Faults::None);
    world.run(seconds(3));
    let id = world.submit(spec(6, 2, 5_400_000));
    world.run(seconds(5));
    world.schedule(Duration::ZERO, Incident::StoreDown(seconds(3_600)));
    world.run(seconds(60));
    let late = world.submit(spec(1, 1, 1_000));
    let back = world.now.0 / 1_000_000 + 3_540;
    world.run(seconds(3_580));
    assert!(!world.accepted(1), "`{late}` was accepted in the outage");
    let most = world.store.seconds.range(back..).map(|(_, calls)| *calls).max().unwrap();
    println!("at most {most} calls a second from 3 schedulers of one cell after the outage");
    assert!(most <= 12, "{most} calls in one second");
    world.settle(seconds(3_600));
    let status = world.status(&id).unwrap();
    assert_eq!((status.state, status.finished), (job::State::Finished, 6));
    let runs: usize = world.workers.iter().map(|worker| worker.executions.len()).sum();
    assert_eq!(runs, 7, "a running task was started again");
}

#[test]
fn a_wave_of_cancellations_is_one_record_a_job_and_bounded_batches() {
    let mut world = World::new(9, 1, 20, Faults::None);
    world.run(seconds(3));
    let ids: Vec<job::Id> = (0..400).map(|_| world.submit(small(200, 600_000))).collect();
    world.run(seconds(30));
    let (written, batches) = (world.store.bytes_written, world.batches);
    let tickets: Vec<_> = ids.iter().map(|id| world.cancel(id)).collect();
    world.run(seconds(1));
    let written = world.store.bytes_written - written;
    assert!(tickets.iter().all(|ticket| world.answers.contains_key(ticket)), "answered in 1 s");
    world.run(seconds(10));
    let batches = world.batches - batches;
    println!("400 jobs of 80,000 tasks cancelled: {written} bytes written, {batches} batches");
    assert!(written <= 40_000, "{written} bytes");
    assert!(batches <= 20 * 15, "{batches} batches to 20 workers in 11 s");
    for id in &ids {
        let status = world.status(id).unwrap();
        assert_eq!((&status.state, status.running), (&job::State::Cancelled, 0), "{status:?}");
    }
}
