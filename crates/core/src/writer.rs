//! Group commit: collects records, writes them in order, and compacts what is written.

use super::*;

/// Shortest time between two commits of a cell.
pub const COMMIT_INTERVAL: Duration = Duration::from_millis(20);
/// Commits a second of all cells together; with more cells each commits less often.
pub const COMMITS_PER_SECOND: u32 = 100;
/// First pause after a commit that failed; it doubles up to `MAX_PAUSE`.
pub const MIN_PAUSE: Duration = Duration::from_millis(200);
/// Longest pause after a commit that failed.
pub const MAX_PAUSE: Duration = Duration::from_secs(5);
/// Largest group, in bytes of its records.
pub const MAX_GROUP_BYTES: usize = sealed::MAX_VALUE_BYTES / 2;
/// Groups since the snapshot after which a new one is made.
pub const MAX_GROUPS: u64 = 256;
/// Bytes of groups since the snapshot after which a new one is made.
pub const MAX_JOURNAL_BYTES: usize = 4 << 20;
/// Keys that one transaction removes.
pub const MAX_SWEEP: usize = 64;

/// Writes the journal and the snapshots of a cell on behalf of one owner. One transaction is under
/// way at a time, and each takes effect only while the owner key is the owner's own.
#[derive(Clone, Debug)]
pub struct Writer {
    cell: cell::Id,
    /// The last group known to be in the journal.
    committed: u64,
    /// Groups that are cut and not yet committed, in order.
    cuts: VecDeque<Cut>,
    faults: Faults,
    /// Keys that nothing refers to any more.
    garbage: VecDeque<String>,
    /// The last group of the snapshot in force.
    head: u64,
    holder: Holder,
    interval: Duration,
    journal_bytes: usize,
    /// Records of the group that is being collected.
    open: Vec<Record>,
    open_bytes: usize,
    pause: Duration,
    random: Pcg64Mcg,
    resume: Instant,
    snapshot: Option<Snapshot>,
    step: Option<Step>,
    /// Keys of groups and parts that are in force.
    used: VecDeque<(u64, String)>,
}

/// A group with its place in the journal.
#[derive(Clone, Debug)]
struct Cut {
    records: Vec<Record>,
    sequence: u64,
}

/// A snapshot that is being written.
#[derive(Clone, Debug)]
struct Snapshot {
    /// Parts not yet written.
    parts: VecDeque<store::Value>,
    parts_total: u32,
    /// The last group that it holds.
    sequence: u64,
}

/// The transaction under way.
#[derive(Clone, Debug)]
struct Step {
    kind: Kind,
    /// Whether it was asked for and not yet answered.
    pending: bool,
    /// Whether it may have taken effect.
    doubt: bool,
    txn: store::Txn,
}

#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Kind {
    Append,
    Head,
    Part,
    Sweep,
}

/// What a reply means for the owner.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Verdict {
    /// Go on.
    Continue,
    /// Another process owns the cell.
    Lost,
}

impl Writer {
    /// Returns a writer for a cell whose journal was loaded up to `restored`.
    pub fn new(cell: &cell::Id, holder: Holder, restored: &Restored, faults: Faults) -> Self {
        Self {
            cell: cell.clone(),
            committed: restored.sequence,
            cuts: VecDeque::new(),
            faults,
            garbage: restored.garbage.iter().cloned().collect(),
            head: restored.head,
            journal_bytes: restored.journal_bytes,
            open: Vec::new(),
            open_bytes: 0,
            pause: MIN_PAUSE,
            random: Pcg64Mcg::seed_from_u64(holder.incarnation),
            holder,
            interval: COMMIT_INTERVAL,
            resume: Instant::default(),
            snapshot: None,
            step: None,
            used: restored.used.iter().cloned().collect(),
        }
    }

    /// Returns the last group known to be in the journal.
    pub fn committed(&self) -> u64 {
        self.committed
    }

    /// Returns the owner's epoch.
    pub fn epoch(&self) -> cell::Epoch {
        self.holder.epoch
    }

    /// Returns whether everything that was pushed is in the journal.
    pub fn is_idle(&self) -> bool {
        self.cuts.is_empty() && self.open.is_empty() && self.step.is_none()
    }

    /// Returns whether the key-value service failed the last transaction.
    pub fn is_stalled(&self) -> bool {
        self.pause > MIN_PAUSE
    }

    /// Returns the group of the last record that was pushed.
    pub fn last(&self) -> u64 {
        self.next_sequence() - u64::from(self.open.is_empty())
    }

    /// Takes a record, and returns the group that it will be committed with.
    pub fn push(&mut self, record: Record) -> u64 {
        let bytes = sealed::encode(&record).len();
        if self.open_bytes + bytes > MAX_GROUP_BYTES {
            self.cut();
        }
        self.open_bytes += bytes;
        self.open.push(record);
        self.next_sequence()
    }

    /// Takes the number of cells that share the key-value service.
    pub fn pace(&mut self, cells: u32) {
        self.interval = (Duration::from_secs(1) * cells / COMMITS_PER_SECOND).max(COMMIT_INTERVAL);
    }

    /// Returns the call to make now, if any.
    pub fn poll(&mut self, now: Instant, ledger: &Ledger) -> Option<store::Request> {
        if now < self.resume || self.step.as_ref().is_some_and(|step| step.pending) {
            return None;
        }
        if self.step.is_none() {
            self.begin(ledger);
        }
        let step = self.step.as_mut()?;
        step.pending = true;
        self.resume = now + self.interval;
        if step.kind == Kind::Append && step.doubt && self.faults != Faults::NoReadBack {
            let key = journal::group(&self.cell, self.committed + 1);
            return Some(store::Request::Read(vec![journal::owner(&self.cell), key]));
        }
        Some(store::Request::Commit(step.txn.clone()))
    }

    /// Takes the answer to the last call.
    pub fn reply(&mut self, now: Instant, reply: &store::Reply) -> Verdict {
        let Some(step) = self.step.as_mut().filter(|step| step.pending) else {
            return Verdict::Continue;
        };
        step.pending = false;
        match reply {
            store::Reply::Committed => self.settle(),
            store::Reply::Conflict if step.kind == Kind::Append => {
                step.doubt = true;
                Verdict::Continue
            }
            store::Reply::Conflict => Verdict::Lost,
            store::Reply::Values(values) => self.read_back(values),
            store::Reply::Doubt => {
                step.doubt = true;
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
        self.resume = now + self.pause.mul_f64(jitter);
        self.pause = (self.pause * 2).min(MAX_PAUSE);
        Verdict::Continue
    }

    /// Chooses the next transaction: groups first, then the snapshot, then what is left over.
    fn begin(&mut self, ledger: &Ledger) {
        if self.cuts.is_empty() && !self.open.is_empty() {
            self.cut();
        }
        self.begin_snapshot(ledger);
        let step = self.append().or_else(|| self.compact()).or_else(|| self.sweep());
        self.step = step.map(|(kind, operations)| Step {
            doubt: false,
            kind,
            pending: false,
            txn: self.fenced(kind, operations),
        });
    }

    fn begin_snapshot(&mut self, ledger: &Ledger) {
        let groups = self.committed - self.head;
        if self.snapshot.is_some()
            || (groups < MAX_GROUPS && self.journal_bytes < MAX_JOURNAL_BYTES)
        {
            return;
        }
        self.cut();
        let sequence = self.next_sequence() - 1;
        let bytes = sealed::encode(ledger.content());
        let parts: VecDeque<store::Value> = bytes
            .chunks(sealed::MAX_VALUE_BYTES)
            .enumerate()
            .map(|(index, chunk)| store::Value {
                bytes: sealed::seal(&chunk),
                key: journal::part(&self.cell, sequence, index as u32),
            })
            .collect();
        self.snapshot = Some(Snapshot { parts_total: parts.len() as u32, parts, sequence });
        self.journal_bytes = 0;
    }

    fn append(&self) -> Option<(Kind, Vec<store::Operation>)> {
        let cut = self.cuts.front()?;
        let group = Group {
            records: cut.records.clone(),
            sequence: cut.sequence,
            writer: self.holder.clone(),
        };
        let key = journal::group(&self.cell, cut.sequence);
        let value = store::Value { bytes: sealed::seal(&group), key };
        Some((Kind::Append, vec![store::Operation::Put { lease: None, value }]))
    }

    fn compact(&self) -> Option<(Kind, Vec<store::Operation>)> {
        let snapshot = self.snapshot.as_ref()?;
        if let Some(part) = snapshot.parts.front() {
            let value = part.clone();
            return Some((Kind::Part, vec![store::Operation::Put { lease: None, value }]));
        }
        if self.committed < snapshot.sequence {
            return None;
        }
        let head = Head { parts: snapshot.parts_total, sequence: snapshot.sequence };
        let value = store::Value { bytes: sealed::seal(&head), key: journal::head(&self.cell) };
        Some((Kind::Head, vec![store::Operation::Put { lease: None, value }]))
    }

    fn sweep(&self) -> Option<(Kind, Vec<store::Operation>)> {
        let keys = self.garbage.iter().take(MAX_SWEEP).cloned();
        let operations: Vec<_> = keys.map(store::Operation::Delete).collect();
        (!operations.is_empty()).then_some((Kind::Sweep, operations))
    }

    fn cut(&mut self) {
        if self.open.is_empty() {
            return;
        }
        let sequence = self.next_sequence();
        self.cuts.push_back(Cut { records: std::mem::take(&mut self.open), sequence });
        self.open_bytes = 0;
    }

    fn fenced(&self, kind: Kind, operations: Vec<store::Operation>) -> store::Txn {
        let bytes = sealed::seal(&self.holder);
        let own = store::Value { bytes, key: journal::owner(&self.cell) };
        let mut conditions = vec![store::Condition::Equals(own)];
        if let (Kind::Append, Some(store::Operation::Put { value, .. })) =
            (kind, operations.first())
        {
            conditions.push(store::Condition::Absent(value.key.clone()));
        }
        store::Txn { conditions, operations }
    }

    fn next_sequence(&self) -> u64 {
        self.cuts.back().map_or(self.committed, |cut| cut.sequence) + 1
    }

    fn read_back(&mut self, values: &[store::Value]) -> Verdict {
        let find = |key: &str| values.iter().find(|value| value.key == key);
        let own = sealed::seal(&self.holder);
        if find(&journal::owner(&self.cell)).is_none_or(|value| value.bytes != own) {
            return Verdict::Lost;
        }
        let Some(step) = self.step.as_mut() else { return Verdict::Continue };
        let Some(store::Operation::Put { value, .. }) = step.txn.operations.first() else {
            return Verdict::Continue;
        };
        match find(&value.key) {
            Some(found) if found.bytes == value.bytes => self.settle(),
            Some(_) => Verdict::Lost,
            None => {
                step.doubt = false;
                Verdict::Continue
            }
        }
    }

    /// Takes a transaction in doubt for one that failed, as only a faulty writer does.
    fn renumber(&mut self) {
        if self.step.as_ref().is_none_or(|step| step.kind != Kind::Append || !step.doubt) {
            return;
        }
        self.step = None;
        self.committed += 1;
        for cut in &mut self.cuts {
            cut.sequence += 1;
        }
    }

    /// Counts the transaction under way as done.
    fn settle(&mut self) -> Verdict {
        self.pause = MIN_PAUSE;
        let Some(step) = self.step.take() else { return Verdict::Continue };
        match step.kind {
            Kind::Append => self.settle_append(&step.txn),
            Kind::Head => self.settle_head(),
            Kind::Part => self.settle_part(),
            Kind::Sweep => {
                self.garbage.drain(..step.txn.operations.len());
            }
        }
        Verdict::Continue
    }

    fn settle_append(&mut self, txn: &store::Txn) {
        let Some(cut) = self.cuts.pop_front() else { return };
        self.committed = cut.sequence;
        if let Some(store::Operation::Put { value, .. }) = txn.operations.first() {
            self.journal_bytes += value.bytes.len();
            self.used.push_back((cut.sequence, value.key.clone()));
        }
    }

    fn settle_head(&mut self) {
        let Some(snapshot) = self.snapshot.take() else { return };
        self.head = snapshot.sequence;
        let parts = (0..snapshot.parts_total)
            .map(|index| (u64::MAX, journal::part(&self.cell, snapshot.sequence, index)));
        let (old, kept): (Vec<_>, Vec<_>) = std::mem::take(&mut self.used)
            .into_iter()
            .partition(|(sequence, _)| *sequence <= snapshot.sequence || *sequence == u64::MAX);
        self.garbage.extend(old.into_iter().map(|(_, key)| key));
        self.used = kept.into_iter().chain(parts).collect();
    }

    fn settle_part(&mut self) {
        if let Some(snapshot) = &mut self.snapshot {
            snapshot.parts.pop_front();
        }
    }
}
