//! Group commit: collects records into groups, writes the groups in order, and compacts the journal
//! into snapshots.

use super::*;

/// Shortest time between two commits of a cell.
pub const COMMIT_INTERVAL: Duration = Duration::from_millis(20);
/// Maximum number of commits a second of all cells together. Each cell commits less often as the
/// number of cells grows.
pub const MAX_COMMITS_PER_SECOND: u32 = 100;
/// Mean pause after the first failed commit. Doubles with each further failure up to `MAX_PAUSE`.
pub const MIN_PAUSE: Duration = Duration::from_millis(200);
/// Maximum mean pause after a failed commit.
pub const MAX_PAUSE: Duration = Duration::from_secs(5);
/// Maximum size of the records of one group, in bytes.
pub const MAX_GROUP_BYTES: usize = sealed::MAX_VALUE_BYTES / 2;
/// Number of groups since the last snapshot that triggers a new one.
pub const MAX_JOURNAL_GROUPS: u64 = 256;
/// Size of the groups since the last snapshot that triggers a new one, in bytes.
pub const MAX_JOURNAL_BYTES: usize = 4 << 20;
/// Maximum number of keys that one transaction deletes.
pub const MAX_DELETES: usize = 64;

/// Writes the journal and the snapshots of a cell for one owner. One transaction is in progress at
/// a time, and each takes effect only while the owner key still names this owner.
#[derive(Clone, Debug)]
pub struct Writer {
    cell: cell::Id,
    /// Sequence number of the last group known to be in the journal.
    committed: u64,
    /// Groups that are complete and not yet committed, in order.
    pending_groups: VecDeque<PendingGroup>,
    faults: Faults,
    /// Keys that nothing refers to any more, to be deleted.
    garbage: VecDeque<String>,
    /// The last group that the current snapshot includes.
    snapshot_sequence: u64,
    holder: Holder,
    interval: Duration,
    /// Size of the groups written since the last snapshot was started.
    journal_bytes: usize,
    /// Records of the group that is being collected.
    open_records: Vec<Record>,
    open_bytes: usize,
    pause: Duration,
    random: Pcg64Mcg,
    next_call: Instant,
    snapshot: Option<Snapshot>,
    transaction: Option<Transaction>,
    /// Keys of the groups since the current snapshot, by sequence number, and of the snapshot's
    /// parts under `u64::MAX`.
    live_keys: VecDeque<(u64, String)>,
}

/// A group with its place in the journal.
#[derive(Clone, Debug)]
struct PendingGroup {
    records: Vec<Record>,
    sequence: u64,
}

/// A snapshot that is being written.
#[derive(Clone, Debug)]
struct Snapshot {
    /// Parts not yet written.
    parts: VecDeque<store::Value>,
    parts_total: u32,
    /// The last group that it includes.
    sequence: u64,
}

/// The transaction in progress.
#[derive(Clone, Debug)]
struct Transaction {
    kind: Kind,
    /// Whether it was sent and not yet answered.
    pending: bool,
    /// Whether it may have taken effect.
    in_doubt: bool,
    txn: store::Txn,
}

#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Kind {
    Append,
    Head,
    Part,
    Delete,
}

/// The effect of a reply on the owner.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Verdict {
    /// The owner continues.
    Continue,
    /// Another process owns the cell.
    Lost,
}

impl Writer {
    /// Returns a writer that continues the journal after the recovered state.
    pub fn new(cell: &cell::Id, holder: Holder, recovery: &Recovery, faults: Faults) -> Self {
        Self {
            cell: cell.clone(),
            committed: recovery.sequence,
            pending_groups: VecDeque::new(),
            faults,
            garbage: recovery.garbage.iter().cloned().collect(),
            snapshot_sequence: recovery.snapshot_sequence,
            journal_bytes: recovery.journal_bytes,
            open_records: Vec::new(),
            open_bytes: 0,
            pause: MIN_PAUSE,
            random: Pcg64Mcg::seed_from_u64(holder.incarnation),
            holder,
            interval: COMMIT_INTERVAL,
            next_call: Instant::default(),
            snapshot: None,
            transaction: None,
            live_keys: recovery.live_keys.iter().cloned().collect(),
        }
    }

    /// Returns the sequence number of the last group known to be in the journal.
    pub fn committed(&self) -> u64 {
        self.committed
    }

    /// Returns the owner's epoch.
    pub fn epoch(&self) -> cell::Epoch {
        self.holder.epoch
    }

    /// Returns whether everything that was pushed is in the journal.
    pub fn is_idle(&self) -> bool {
        self.pending_groups.is_empty() && self.open_records.is_empty() && self.transaction.is_none()
    }

    /// Returns whether the key-value service failed the last transaction.
    pub fn is_stalled(&self) -> bool {
        self.pause > MIN_PAUSE
    }

    /// Returns the sequence number of the group of the last record that was pushed.
    pub fn last_sequence(&self) -> u64 {
        self.next_sequence() - u64::from(self.open_records.is_empty())
    }

    /// Adds a record to the open group, and returns the sequence number of that group.
    pub fn push(&mut self, record: Record) -> u64 {
        let bytes = sealed::encode(&record).len();
        if self.open_bytes + bytes > MAX_GROUP_BYTES {
            self.close_group();
        }
        self.open_bytes += bytes;
        self.open_records.push(record);
        self.next_sequence()
    }

    /// Sets the number of cells that share the key-value service, and so the commit interval.
    pub fn set_cell_count(&mut self, cells: u32) {
        self.interval =
            (Duration::from_secs(1) * cells / MAX_COMMITS_PER_SECOND).max(COMMIT_INTERVAL);
    }

    /// Returns the call to make now, if any.
    pub fn poll(&mut self, now: Instant, ledger: &Ledger) -> Option<store::Request> {
        if now < self.next_call
            || self.transaction.as_ref().is_some_and(|transaction| transaction.pending)
        {
            return None;
        }
        if self.transaction.is_none() {
            self.begin_transaction(ledger);
        }
        let transaction = self.transaction.as_mut()?;
        transaction.pending = true;
        self.next_call = now + self.interval;
        if transaction.kind == Kind::Append
            && transaction.in_doubt
            && self.faults != Faults::NoReadBack
        {
            let key = journal::group_key(&self.cell, self.committed + 1);
            return Some(store::Request::Read(vec![journal::owner_key(&self.cell), key]));
        }
        Some(store::Request::Commit(transaction.txn.clone()))
    }

    /// Handles the reply to the last call.
    pub fn on_reply(&mut self, now: Instant, reply: &store::Reply) -> Verdict {
        let Some(transaction) = self.transaction.as_mut().filter(|transaction| transaction.pending)
        else {
            return Verdict::Continue;
        };
        transaction.pending = false;
        match reply {
            store::Reply::Committed => self.complete(),
            // The group may be there already, written by an earlier attempt of this transaction.
            store::Reply::Conflict if transaction.kind == Kind::Append => {
                transaction.in_doubt = true;
                Verdict::Continue
            }
            store::Reply::Conflict => Verdict::Lost,
            store::Reply::Values(values) => self.read_back(values),
            store::Reply::Doubt => {
                transaction.in_doubt = true;
                self.back_off(now)
            }
            _ => self.back_off(now),
        }
    }

    fn back_off(&mut self, now: Instant) -> Verdict {
        if self.faults == Faults::NoReadBack {
            self.renumber();
        }
        let jitter = self.random.random_range(0.5..1.5);
        self.next_call = now + self.pause.mul_f64(jitter);
        self.pause = (self.pause * 2).min(MAX_PAUSE);
        Verdict::Continue
    }

    /// Starts the next transaction: first groups, then the snapshot, then the deletion of garbage.
    fn begin_transaction(&mut self, ledger: &Ledger) {
        if self.pending_groups.is_empty() && !self.open_records.is_empty() {
            self.close_group();
        }
        self.begin_snapshot(ledger);
        let transaction =
            self.append_group().or_else(|| self.write_snapshot()).or_else(|| self.delete_garbage());
        self.transaction = transaction.map(|(kind, operations)| Transaction {
            in_doubt: false,
            kind,
            pending: false,
            txn: self.conditional_txn(kind, operations),
        });
    }

    /// Starts a snapshot of `ledger` if the journal has grown enough since the last one.
    fn begin_snapshot(&mut self, ledger: &Ledger) {
        let groups = self.committed - self.snapshot_sequence;
        if self.snapshot.is_some()
            || (groups < MAX_JOURNAL_GROUPS && self.journal_bytes < MAX_JOURNAL_BYTES)
        {
            return;
        }
        self.close_group();
        let sequence = self.next_sequence() - 1;
        let bytes = sealed::encode(ledger.content());
        let parts: VecDeque<store::Value> = bytes
            .chunks(sealed::MAX_VALUE_BYTES)
            .enumerate()
            .map(|(index, chunk)| store::Value {
                bytes: sealed::seal(&chunk),
                key: journal::part_key(&self.cell, sequence, index as u32),
            })
            .collect();
        self.snapshot = Some(Snapshot { parts_total: parts.len() as u32, parts, sequence });
        self.journal_bytes = 0;
    }

    fn append_group(&self) -> Option<(Kind, Vec<store::Operation>)> {
        let group = self.pending_groups.front()?;
        let group = Group {
            records: group.records.clone(),
            sequence: group.sequence,
            writer: self.holder.clone(),
        };
        let key = journal::group_key(&self.cell, group.sequence);
        let value = store::Value { bytes: sealed::seal(&group), key };
        Some((Kind::Append, vec![store::Operation::Put { lease: None, value }]))
    }

    fn write_snapshot(&self) -> Option<(Kind, Vec<store::Operation>)> {
        let snapshot = self.snapshot.as_ref()?;
        if let Some(part) = snapshot.parts.front() {
            let value = part.clone();
            return Some((Kind::Part, vec![store::Operation::Put { lease: None, value }]));
        }
        if self.committed < snapshot.sequence {
            return None;
        }
        let head = Head { parts: snapshot.parts_total, sequence: snapshot.sequence };
        let value = store::Value { bytes: sealed::seal(&head), key: journal::head_key(&self.cell) };
        Some((Kind::Head, vec![store::Operation::Put { lease: None, value }]))
    }

    fn delete_garbage(&self) -> Option<(Kind, Vec<store::Operation>)> {
        let keys = self.garbage.iter().take(MAX_DELETES).cloned();
        let operations: Vec<_> = keys.map(store::Operation::Delete).collect();
        (!operations.is_empty()).then_some((Kind::Delete, operations))
    }

    fn close_group(&mut self) {
        if self.open_records.is_empty() {
            return;
        }
        let sequence = self.next_sequence();
        self.pending_groups
            .push_back(PendingGroup { records: std::mem::take(&mut self.open_records), sequence });
        self.open_bytes = 0;
    }

    /// Returns a transaction that takes effect only while this owner holds the cell, and that never
    /// overwrites a group.
    fn conditional_txn(&self, kind: Kind, operations: Vec<store::Operation>) -> store::Txn {
        let bytes = sealed::seal(&self.holder);
        let own = store::Value { bytes, key: journal::owner_key(&self.cell) };
        let mut conditions = vec![store::Condition::Equals(own)];
        if let (Kind::Append, Some(store::Operation::Put { value, .. })) =
            (kind, operations.first())
        {
            conditions.push(store::Condition::Absent(value.key.clone()));
        }
        store::Txn { conditions, operations }
    }

    fn next_sequence(&self) -> u64 {
        self.pending_groups.back().map_or(self.committed, |group| group.sequence) + 1
    }

    /// Finds out from the stored values whether an append in doubt took effect.
    fn read_back(&mut self, values: &[store::Value]) -> Verdict {
        let find = |key: &str| values.iter().find(|value| value.key == key);
        let own = sealed::seal(&self.holder);
        if find(&journal::owner_key(&self.cell)).is_none_or(|value| value.bytes != own) {
            return Verdict::Lost;
        }
        let Some(transaction) = self.transaction.as_mut() else { return Verdict::Continue };
        let Some(store::Operation::Put { value, .. }) = transaction.txn.operations.first() else {
            return Verdict::Continue;
        };
        match find(&value.key) {
            Some(found) if found.bytes == value.bytes => self.complete(),
            Some(_) => Verdict::Lost,
            None => {
                transaction.in_doubt = false;
                Verdict::Continue
            }
        }
    }

    /// Treats an append in doubt as failed, and writes its group again under the next sequence
    /// number: the fault of `Faults::NoReadBack`.
    fn renumber(&mut self) {
        if self
            .transaction
            .as_ref()
            .is_none_or(|transaction| transaction.kind != Kind::Append || !transaction.in_doubt)
        {
            return;
        }
        self.transaction = None;
        self.committed += 1;
        for group in &mut self.pending_groups {
            group.sequence += 1;
        }
    }

    /// Marks the transaction in progress as done.
    fn complete(&mut self) -> Verdict {
        self.pause = MIN_PAUSE;
        let Some(transaction) = self.transaction.take() else { return Verdict::Continue };
        match transaction.kind {
            Kind::Append => self.complete_append(&transaction.txn),
            Kind::Head => self.complete_head(),
            Kind::Part => self.complete_part(),
            Kind::Delete => {
                self.garbage.drain(..transaction.txn.operations.len());
            }
        }
        Verdict::Continue
    }

    fn complete_append(&mut self, txn: &store::Txn) {
        let Some(group) = self.pending_groups.pop_front() else { return };
        self.committed = group.sequence;
        if let Some(store::Operation::Put { value, .. }) = txn.operations.first() {
            self.journal_bytes += value.bytes.len();
            self.live_keys.push_back((group.sequence, value.key.clone()));
        }
    }

    fn complete_head(&mut self) {
        let Some(snapshot) = self.snapshot.take() else { return };
        self.snapshot_sequence = snapshot.sequence;
        let parts = (0..snapshot.parts_total)
            .map(|index| (u64::MAX, journal::part_key(&self.cell, snapshot.sequence, index)));
        let (old, kept): (Vec<_>, Vec<_>) = std::mem::take(&mut self.live_keys)
            .into_iter()
            .partition(|(sequence, _)| *sequence <= snapshot.sequence || *sequence == u64::MAX);
        self.garbage.extend(old.into_iter().map(|(_, key)| key));
        self.live_keys = kept.into_iter().chain(parts).collect();
    }

    fn complete_part(&mut self) {
        if let Some(snapshot) = &mut self.snapshot {
            snapshot.parts.pop_front();
        }
    }
}
