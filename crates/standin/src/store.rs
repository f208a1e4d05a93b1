//! The key-value service: revisioned keys, transactions, leases and watches.

use super::*;

/// Changes kept for watches; a watch that starts before the oldest is cancelled.
pub const MAX_HISTORY: usize = 100_000;
/// Default limit of reads and new watches per second.
pub const DEFAULT_READS_PER_SECOND: u32 = 2_000;
/// Default limit of writes per second.
pub const DEFAULT_WRITES_PER_SECOND: u32 = 500;

/// The key-value service. Cheap to clone; clones share it.
#[derive(Clone, Debug)]
pub struct Store(Arc<Shared>);

#[derive(Debug)]
struct Shared {
    inner: Mutex<Inner>,
    /// The newest revision. Also sent when faults change, since an outage ends watches.
    revisions: watch::Sender<i64>,
}

#[derive(Debug)]
struct Inner {
    /// Highest revision that is no longer in `history`.
    compacted: i64,
    counters: Counters,
    faults: faults::Faults,
    history: VecDeque<gateway::WatchEvent>,
    keys: BTreeMap<Vec<u8>, gateway::KeyValue>,
    leases: BTreeMap<i64, Lease>,
    read_limiter: limiter::Limiter,
    revision: i64,
    write_limiter: limiter::Limiter,
}

#[derive(Clone, Copy, Debug)]
struct Lease {
    deadline: Instant,
    ttl: Duration,
}

/// Counts of the calls so far.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(default)]
pub struct Counters {
    /// Bytes of the values written.
    pub bytes_written: u64,
    /// Writes whose answer was lost.
    pub lost_answers: u64,
    /// Transactions among `lost_answers`.
    pub lost_commits: u64,
    /// Reads of ranges.
    pub reads: u64,
    /// Calls refused by the rate limits.
    pub refused: u64,
    /// Watches started; each counts once, however long it lasts.
    pub watches: u64,
    /// Transactions, and grants, renewals and revocations of leases.
    pub writes: u64,
}

/// A kind of call. Reads and watches share one rate limit.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Call {
    Read,
    Watch,
    Write,
}

/// Why a call was not carried out.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(crate) enum Refusal {
    Invalid(String),
    NoLease,
}

impl Default for Store {
    fn default() -> Self {
        Self::new(DEFAULT_READS_PER_SECOND, DEFAULT_WRITES_PER_SECOND)
    }
}

impl Store {
    /// Returns an empty store with these rate limits.
    pub fn new(reads_per_second: u32, writes_per_second: u32) -> Self {
        let inner = Inner {
            compacted: 0,
            counters: Counters::default(),
            faults: faults::Faults::default(),
            history: VecDeque::new(),
            keys: BTreeMap::new(),
            leases: BTreeMap::new(),
            read_limiter: limiter::Limiter::new(reads_per_second),
            revision: 1,
            write_limiter: limiter::Limiter::new(writes_per_second),
        };
        Self(Arc::new(Shared { inner: Mutex::new(inner), revisions: watch::Sender::new(1) }))
    }

    /// Returns the counts of calls so far.
    pub fn counters(&self) -> Counters {
        self.inner().counters
    }

    /// Returns the faults in force.
    pub fn faults(&self) -> faults::Faults {
        self.inner().faults
    }

    /// Returns the value of `key` directly: not counted, not limited, no faults.
    pub fn peek(&self, key: &str) -> Option<Vec<u8>> {
        self.inner().keys.get(key.as_bytes()).map(|kv| kv.value.0.clone())
    }

    /// Returns every key that starts with `prefix`, with its value, as directly as `peek`.
    pub fn peek_all(&self, prefix: &str) -> Vec<(String, Vec<u8>)> {
        let answer = self.range(&gateway::Range::prefix(prefix));
        let text = |key: &[u8]| String::from_utf8_lossy(key).into_owned();
        answer.kvs.into_iter().map(|kv| (text(&kv.key.0), kv.value.0)).collect()
    }

    /// Writes `key` directly, without the rate limits, faults and checks of a call, so that tests
    /// can store damaged values.
    pub fn put(&self, key: &str, bytes: &[u8]) {
        let put = gateway::Put { key: key.into(), lease: Long(0), value: Blob(bytes.to_vec()) };
        self.change(|inner| {
            let revision = inner.revision + 1;
            inner.put(put, revision);
            inner.revision = revision;
        });
    }

    /// Sets the faults in force.
    pub fn set_faults(&self, faults: faults::Faults) {
        self.change(|inner| inner.faults = faults);
    }

    /// Applies the transaction if all its comparisons hold; the answer says whether they did.
    pub(crate) fn commit(&self, txn: gateway::Txn) -> Result<gateway::TxnAnswer, Refusal> {
        self.change(|inner| inner.commit(txn))
    }

    /// Returns the changes of `range` from revision `from` on, and the first revision after them.
    /// Fails with the highest revision that is no longer kept if `from` isn't above it.
    pub(crate) fn events(
        &self,
        range: &gateway::Range,
        from: i64,
    ) -> Result<(Vec<gateway::WatchEvent>, i64), i64> {
        let inner = self.inner();
        if from <= inner.compacted {
            return Err(inner.compacted);
        }
        let start = inner.history.partition_point(|event| event.kv.mod_revision.0 < from);
        let matching = |event: &&gateway::WatchEvent| contains(range, &event.kv.key.0);
        let events = inner.history.range(start..).filter(matching).cloned().collect();
        Ok((events, inner.revision + 1))
    }

    /// Ends the leases whose time is up, and deletes their keys.
    pub(crate) fn expire(&self) {
        let now = Instant::now();
        let is_expired = |lease: &Lease| lease.deadline <= now;
        if self.inner().leases.values().any(is_expired) {
            self.change(|inner| {
                let expired: Vec<i64> =
                    inner.leases.iter().filter(|(_, l)| is_expired(l)).map(|(&id, _)| id).collect();
                expired.into_iter().for_each(|id| inner.end_lease(id));
            });
        }
    }

    /// Grants a lease of `ttl` seconds, at least 1.
    pub(crate) fn grant(&self, ttl: i64) -> gateway::Lease {
        let mut inner = self.inner();
        let id = inner.leases.last_key_value().map_or(1, |(id, _)| id + 1) + inner.revision;
        let duration = Duration::from_secs(ttl.max(1).unsigned_abs());
        inner.leases.insert(id, Lease { deadline: Instant::now() + duration, ttl: duration });
        gateway::Lease { id: Long(id), ttl: Long(ttl.max(1)) }
    }

    /// Renews the lease. The returned TTL is 0 if the lease doesn't exist any more.
    pub(crate) fn keep_alive(&self, id: i64) -> gateway::Lease {
        let mut inner = self.inner();
        let ttl = inner.leases.get_mut(&id).map_or(0, |lease| {
            lease.deadline = Instant::now() + lease.ttl;
            lease.ttl.as_secs() as i64
        });
        gateway::Lease { id: Long(id), ttl: Long(ttl) }
    }

    /// Returns whether the fault `lose_answers` drops the answer of this write, and counts it.
    pub(crate) fn lose_answer(&self, is_commit: bool) -> bool {
        let mut inner = self.inner();
        let lost = inner.faults.lose_answers > 0;
        if lost {
            inner.faults.lose_answers -= 1;
            inner.counters.lost_answers += 1;
            inner.counters.lost_commits += u64::from(is_commit);
        }
        lost
    }

    pub(crate) fn range(&self, range: &gateway::Range) -> gateway::RangeAnswer {
        let inner = self.inner();
        let matching = |(key, _): &(&Vec<u8>, &gateway::KeyValue)| contains(range, key);
        let from = inner.keys.range(range.key.0.clone()..);
        let found = from.take_while(matching).map(|(_, kv)| kv);
        let project = |kv: &gateway::KeyValue| {
            let value = if range.keys_only { Default::default() } else { kv.value.clone() };
            gateway::KeyValue { value, ..kv.clone() }
        };
        let kvs = found.map(project).collect();
        gateway::RangeAnswer { header: inner.header(), kvs }
    }

    pub(crate) fn revision(&self) -> i64 {
        self.inner().revision
    }

    pub(crate) fn revoke(&self, id: i64) -> Result<(), Refusal> {
        self.change(|inner| match inner.leases.contains_key(&id) {
            true => {
                inner.end_lease(id);
                Ok(())
            }
            false => Err(Refusal::NoLease),
        })
    }

    /// Returns a receiver that is notified of every change of keys and faults.
    pub(crate) fn subscribe(&self) -> watch::Receiver<i64> {
        self.0.revisions.subscribe()
    }

    /// Counts the call, and returns whether the rate limits allow it.
    pub(crate) fn admit(&self, call: Call) -> bool {
        let mut inner = self.inner();
        let allowed = match call {
            Call::Read | Call::Watch => inner.read_limiter.allow(),
            Call::Write => inner.write_limiter.allow(),
        };
        let counters = &mut inner.counters;
        match call {
            _ if !allowed => counters.refused += 1,
            Call::Read => counters.reads += 1,
            Call::Watch => counters.watches += 1,
            Call::Write => counters.writes += 1,
        }
        allowed
    }

    /// Applies `change`, drops the oldest history and notifies the watches.
    fn change<T>(&self, change: impl FnOnce(&mut Inner) -> T) -> T {
        let mut inner = self.inner();
        let result = change(&mut inner);
        inner.trim();
        let revision = inner.revision;
        drop(inner);
        self.0.revisions.send_replace(revision);
        result
    }

    fn inner(&self) -> MutexGuard<'_, Inner> {
        lock(&self.0.inner)
    }
}

impl Inner {
    fn commit(&mut self, txn: gateway::Txn) -> Result<gateway::TxnAnswer, Refusal> {
        for put in txn.success.iter().filter_map(|request| request.request_put.as_ref()) {
            self.check_put(put)?;
        }
        let succeeded = txn.compare.iter().all(|compare| self.is_satisfied(compare));
        if succeeded && !txn.success.is_empty() {
            let revision = self.revision + 1;
            txn.success.into_iter().for_each(|request| self.apply(request, revision));
            self.revision = revision;
        }
        Ok(gateway::TxnAnswer { header: self.header(), succeeded })
    }

    fn apply(&mut self, request: gateway::Request, revision: i64) {
        if let Some(range) = request.request_delete_range {
            let keys: Vec<_> =
                self.keys.keys().filter(|key| contains(&range, key)).cloned().collect();
            keys.into_iter().for_each(|key| self.delete(key, revision));
        }
        if let Some(put) = request.request_put {
            self.put(put, revision);
        }
    }

    fn check_put(&self, put: &gateway::Put) -> Result<(), Refusal> {
        if put.value.0.len() > MAX_VALUE_BYTES {
            let bytes = put.value.0.len();
            let text = format!("value of {bytes} bytes is over {MAX_VALUE_BYTES}");
            return Err(Refusal::Invalid(text));
        }
        if put.lease.0 != 0 && !self.leases.contains_key(&put.lease.0) {
            return Err(Refusal::NoLease);
        }
        Ok(())
    }

    fn delete(&mut self, key: Vec<u8>, revision: i64) {
        if self.keys.remove(&key).is_none() {
            return;
        }
        let kv = gateway::KeyValue {
            key: Blob(key),
            mod_revision: Long(revision),
            ..Default::default()
        };
        self.history.push_back(gateway::WatchEvent { kind: gateway::EventKind::Delete, kv });
    }

    fn end_lease(&mut self, id: i64) {
        self.leases.remove(&id);
        let keys: Vec<_> = self
            .keys
            .iter()
            .filter(|(_, kv)| kv.lease.0 == id)
            .map(|(key, _)| key.clone())
            .collect();
        if keys.is_empty() {
            return;
        }
        let revision = self.revision + 1;
        keys.into_iter().for_each(|key| self.delete(key, revision));
        self.revision = revision;
    }

    fn header(&self) -> gateway::Header {
        gateway::Header { revision: Long(self.revision) }
    }

    fn is_satisfied(&self, compare: &gateway::Compare) -> bool {
        let found = self.keys.get(&compare.key.0);
        match compare.target.as_str() {
            "MOD" => compare.mod_revision == Some(found.map_or(Long(0), |kv| kv.mod_revision)),
            "VALUE" => found.is_some_and(|kv| Some(&kv.value) == compare.value.as_ref()),
            "VERSION" => compare.version == Some(found.map_or(Long(0), |kv| kv.version)),
            _ => false,
        }
    }

    fn put(&mut self, put: gateway::Put, revision: i64) {
        self.counters.bytes_written += put.value.0.len() as u64;
        let version = self.keys.get(&put.key.0).map_or(1, |kv| kv.version.0 + 1);
        let kv = gateway::KeyValue {
            key: put.key,
            lease: put.lease,
            mod_revision: Long(revision),
            value: put.value,
            version: Long(version),
        };
        self.keys.insert(kv.key.0.clone(), kv.clone());
        self.history.push_back(gateway::WatchEvent { kind: gateway::EventKind::Put, kv });
    }

    /// Drops the oldest changes beyond `MAX_HISTORY`.
    fn trim(&mut self) {
        while self.history.len() > MAX_HISTORY {
            if let Some(event) = self.history.pop_front() {
                self.compacted = event.kv.mod_revision.0;
            }
        }
    }
}

/// Returns whether `key` is in `range`, whose end is, as in etcd: empty for a single key, one zero
/// byte for no upper bound, exclusive otherwise.
fn contains(range: &gateway::Range, key: &[u8]) -> bool {
    match range.range_end.0.as_slice() {
        [] => key == range.key.0,
        [0] => key >= range.key.0.as_slice(),
        end => key >= range.key.0.as_slice() && key < end,
    }
}
