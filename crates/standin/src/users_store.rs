//! The key-value store of the users' platform, in memory and over HTTP: transactions that compare
//! revisions, leases, watches, and injected faults.

use {
    super::*,
    crate::{
        users_http::{self, respond},
        users_view::UsersView,
    },
    base64::{Engine, prelude::BASE64_STANDARD},
    http_body_util::Full,
    hyper::{Method, Response, http::request::Parts},
    serde_json::{Value, json},
    tokio::net::TcpListener,
};

/// The key-value store of the users' platform. Clones share it.
#[derive(Clone, Debug, Default)]
pub struct UsersStore {
    /// Wakes the watches after a change.
    changed: Arc<tokio::sync::Notify>,
    /// Reads of a range wait while its prefix starts with this one.
    held_prefix: Arc<tokio::sync::watch::Sender<Option<String>>>,
    /// Answers to watches wait while their prefix is one of these.
    held_watch_prefixes: Arc<tokio::sync::watch::Sender<Vec<String>>>,
    state: Arc<Mutex<State>>,
}

/// How the store treats calls.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub enum Availability {
    /// Answers every call.
    #[default]
    Up,
    /// Refuses every call with status 503.
    Busy,
    /// Executes transactions but never answers them; answers other calls.
    Mute,
    /// Executes and answers nothing, watches included, and ends no lease. Each lease that is left
    /// afterwards is as long again as when it was granted.
    Silent,
}

/// A key's value, with the revisions of its creation and of its last change.
#[derive(Clone, Debug)]
struct Item {
    created: u64,
    /// Id of the lease that the key ends with, 0 for none.
    lease: u64,
    revision: u64,
    value: Vec<u8>,
}

/// A change of a key; the item is `None` once the key is removed.
#[derive(Clone, Debug)]
struct Change {
    item: Option<Item>,
    key: String,
    revision: u64,
}

#[derive(Debug, Default)]
struct State {
    changes: VecDeque<Change>,
    /// Changes up to this revision are no longer kept.
    compacted: u64,
    items: BTreeMap<String, Item>,
    /// When the entry of each worker that beats is removed, by its key.
    beats_end: BTreeMap<String, Instant>,
    /// When each lease ends, and its length.
    leases: BTreeMap<u64, (Instant, Duration)>,
    availability: Availability,
    /// For each prefix, the next transaction that writes or removes a key under it gets no answer and is carried
    /// out this much later.
    delayed_writes: Vec<(String, Duration)>,
    /// Number of answers to watches that wait.
    held_watches: usize,
    next_lease: u64,
    revision: u64,
    /// Committed transactions.
    writes: u64,
}

/// Changes kept for watches.
const MAX_CHANGES: usize = 20_000;
/// The largest value, in bytes.
const MAX_VALUE_BYTES: usize = 1 << 20;
/// Interval between two checks for expired leases.
const EXPIRY_INTERVAL: Duration = Duration::from_millis(20);
/// Maximum number of items in an answer to a read of a range.
const PAGE_ITEMS: usize = 500;

/// Returns whether a transaction writes a value that is too large, from the length of its base64 text.
fn exceeds_value_limit(body: &Value) -> bool {
    let length = |write: &Value| write["value"].as_str().map_or(0, str::len) / 4 * 3;
    // Up to two bytes of the last four characters are padding.
    let is_large = |write: &Value| length(write) > MAX_VALUE_BYTES + 2;
    body["writes"].as_array().is_some_and(|writes| writes.iter().any(is_large))
}

impl State {
    fn put(&mut self, key: &str, value: Vec<u8>, lease: u64) {
        let revision = self.revision;
        let created = self.items.get(key).map_or(revision, |item| item.created);
        let item = Item { created, lease, revision, value };
        self.items.insert(key.into(), item.clone());
        self.record(Change { item: Some(item), key: key.into(), revision });
    }

    fn remove(&mut self, key: &str) {
        self.beats_end.remove(key);
        if self.items.remove(key).is_some() {
            let revision = self.revision;
            self.record(Change { item: None, key: key.into(), revision });
        }
    }

    /// Returns whether the conditions of a transaction hold.
    fn is_satisfied(&self, body: &Value) -> bool {
        let holds = |entry: &Value| {
            let key = entry["key"].as_str().unwrap_or_default();
            let revision = self.items.get(key).map_or(0, |item| item.revision);
            Some(revision) == entry["revision"].as_u64()
        };
        body["expected"].as_array().is_none_or(|expected| expected.iter().all(holds))
    }

    /// Keeps the change for watches, in place of the oldest one if there are too many.
    fn record(&mut self, change: Change) {
        self.changes.push_back(change);
        if self.changes.len() > MAX_CHANGES
            && let Some(oldest) = self.changes.pop_front()
        {
            self.compacted = oldest.revision;
        }
    }

    /// Ends the leases whose time is up, removes the entries of silent workers, and returns whether there
    /// were any.
    fn expire(&mut self, now: Instant) -> bool {
        if self.availability == Availability::Silent {
            return false;
        }
        let expired: Vec<u64> =
            self.leases.iter().filter(|(_, (end, _))| *end <= now).map(|(id, _)| *id).collect();
        expired.iter().for_each(|lease| self.end_lease(*lease));
        let silent: Vec<String> = self
            .beats_end
            .iter()
            .filter(|(_, end)| **end <= now)
            .map(|(key, _)| key.clone())
            .collect();
        for key in &silent {
            self.revision += 1;
            self.remove(key);
        }
        !expired.is_empty() || !silent.is_empty()
    }

    /// Ends the lease and removes its keys in one revision.
    fn end_lease(&mut self, lease: u64) {
        self.leases.remove(&lease);
        let keys: Vec<String> = self
            .items
            .iter()
            .filter(|(_, item)| item.lease == lease)
            .map(|(key, _)| key.clone())
            .collect();
        if !keys.is_empty() {
            self.revision += 1;
            keys.iter().for_each(|key| self.remove(key));
        }
    }
}

impl UsersStore {
    /// Starts the store on a free port of this machine.
    pub async fn start() -> io::Result<(Self, SocketAddr)> {
        let store = Self::default();
        lock(&store.state).next_lease = 1;
        let address = store.serve(UsersView::default()).await?;
        let expiry_store = store.clone();
        tokio::spawn(async move {
            loop {
                tokio::time::sleep(EXPIRY_INTERVAL).await;
                if lock(&expiry_store.state).expire(Instant::now()) {
                    expiry_store.changed.notify_waiters();
                }
            }
        });
        Ok((store, address))
    }

    /// Serves the store on another free port of this machine, to callers with this view of it.
    pub async fn serve(&self, view: UsersView) -> io::Result<SocketAddr> {
        let listener = TcpListener::bind(("127.0.0.1", 0)).await?;
        let address = listener.local_addr()?;
        let store = self.clone();
        users_http::serve(listener, move || {
            let (store, view) = (store.clone(), view.clone());
            move |parts, body| {
                let (store, view) = (store.clone(), view.clone());
                async move { store.answer(&parts, &body, &view).await }
            }
        });
        Ok(address)
    }

    /// Sets how the store treats calls. The leases of a store that was silent begin anew.
    pub fn set_availability(&self, availability: Availability) {
        let mut state = lock(&self.state);
        if state.availability == Availability::Silent {
            let now = Instant::now();
            state.leases.values_mut().for_each(|(end, length)| *end = now + *length);
        }
        state.availability = availability;
    }

    /// Lets the next transaction that writes or removes a key under a prefix, and whose conditions hold, get no
    /// answer. It is carried out `delay` later, if they still hold then.
    pub fn delay_write(&self, prefix: &str, delay: Duration) {
        lock(&self.state).delayed_writes.push((prefix.into(), delay));
    }

    /// Returns whether a transaction is still to be delayed.
    pub fn awaits_delayed_write(&self) -> bool {
        !lock(&self.state).delayed_writes.is_empty()
    }

    /// Returns by how much a transaction is delayed.
    fn take_delay(&self, body: &Value) -> Option<Duration> {
        let entries = |name: &str| body[name].as_array().into_iter().flatten();
        let written = entries("writes").map(|entry| &entry["key"]);
        let keys: Vec<&str> = written.chain(entries("remove")).filter_map(Value::as_str).collect();
        let mut state = lock(&self.state);
        if !state.is_satisfied(body) {
            return None;
        }
        let is_under = |prefix: &str| keys.iter().any(|key| key.starts_with(prefix));
        let delayed = state.delayed_writes.iter().position(|(prefix, _)| is_under(prefix))?;
        Some(state.delayed_writes.remove(delayed).1)
    }

    /// Makes reads of ranges whose prefix starts with `prefix` wait until the next call of this
    /// method; `None` holds none.
    pub fn hold_reads(&self, prefix: Option<&str>) {
        self.held_prefix.send_replace(prefix.map(str::to_owned));
    }

    /// Makes answers to watches of these prefixes wait, after their changes are determined, until
    /// the next call of this method.
    pub fn hold_watches(&self, prefixes: &[&str]) {
        self.held_watch_prefixes.send_replace(prefixes.iter().map(|&text| text.into()).collect());
    }

    /// Returns the number of answers to watches that wait now.
    pub fn held_watches(&self) -> usize {
        lock(&self.state).held_watches
    }

    /// Waits while answers to watches of the prefix are held.
    async fn wait_while_watch_held(&self, prefix: &str) {
        let mut held = self.held_watch_prefixes.subscribe();
        lock(&self.state).held_watches += 1;
        // Fails only if the sender is dropped, and the sender lives as long as this store.
        let _ = held.wait_for(|held| !held.iter().any(|held| held == prefix)).await;
        lock(&self.state).held_watches -= 1;
    }

    /// Waits while reads under the prefix are held.
    async fn wait_while_held(&self, prefix: &str) {
        let mut held_prefix = self.held_prefix.subscribe();
        let is_free =
            |held: &Option<String>| !held.as_deref().is_some_and(|held| prefix.starts_with(held));
        // Fails only if the sender is dropped, and the sender lives as long as this store.
        let _ = held_prefix.wait_for(is_free).await;
    }

    /// Discards all changes kept for watches: a watch from an earlier revision gets status 410, and
    /// its client has to read the keys anew.
    pub fn compact(&self) {
        let mut state = lock(&self.state);
        state.changes.clear();
        state.compacted = state.revision;
        drop(state);
        self.changed.notify_waiters();
    }

    /// Ends every lease at once, and removes their keys.
    pub fn revoke_all(&self) {
        let mut state = lock(&self.state);
        let leases: Vec<u64> = state.leases.keys().copied().collect();
        leases.into_iter().for_each(|lease| state.end_lease(lease));
        drop(state);
        self.changed.notify_waiters();
    }

    /// Writes a key without a call, in place of the operator or a worker.
    pub fn put(&self, key: &str, value: &Value) {
        self.put_bytes(key, value.to_string().into_bytes());
    }

    /// Writes a key in place of a worker that beats, and removes it `lifetime` after the last such write.
    pub fn beat(&self, key: &str, value: &Value, lifetime: Duration) {
        self.put(key, value);
        lock(&self.state).beats_end.insert(key.into(), Instant::now() + lifetime);
    }

    /// Writes a key without a call, such as a transaction of a VM that is carried out late.
    pub fn put_bytes(&self, key: &str, value: Vec<u8>) {
        let mut state = lock(&self.state);
        state.revision += 1;
        state.put(key, value, 0);
        drop(state);
        self.changed.notify_waiters();
    }

    /// Removes a key without a call, in place of a worker.
    pub fn remove(&self, key: &str) {
        let mut state = lock(&self.state);
        state.revision += 1;
        state.remove(key);
        drop(state);
        self.changed.notify_waiters();
    }

    /// Returns the keys under a prefix with their values.
    pub fn values(&self, prefix: &str) -> Vec<(String, Vec<u8>)> {
        let state = lock(&self.state);
        let items = state.items.range(prefix.to_owned()..);
        items
            .take_while(|(key, _)| key.starts_with(prefix))
            .map(|(key, item)| (key.clone(), item.value.clone()))
            .collect()
    }

    /// Returns the revision of a key's last change, 0 if it doesn't exist.
    pub fn revision(&self, key: &str) -> u64 {
        lock(&self.state).items.get(key).map_or(0, |item| item.revision)
    }

    /// Returns the number of committed transactions.
    pub fn writes(&self) -> u64 {
        lock(&self.state).writes
    }

    async fn answer(&self, parts: &Parts, body: &Value, view: &UsersView) -> Response<Full<Bytes>> {
        let availability = lock(&self.state).availability;
        match availability {
            Availability::Busy => return respond(503, &json!({})),
            Availability::Silent => std::future::pending().await,
            Availability::Up | Availability::Mute => {}
        }
        let query = query(parts.uri.query().unwrap_or_default());
        let path = parts.uri.path();
        let (status, mut answer) = match (&parts.method, path) {
            (&Method::GET, "/-/kv-key") => self.key(&query),
            (&Method::GET, "/-/kv-range") => {
                self.wait_while_held(query.get("prefix").map(String::as_str).unwrap_or_default())
                    .await;
                self.range(&query)
            }
            (&Method::GET, "/-/kv-watch") => {
                let answer = self.watch(&query).await;
                let prefix = query.get("prefix").map(String::as_str).unwrap_or_default();
                self.wait_while_watch_held(prefix).await;
                answer
            }
            (&Method::POST, "/-/kv-txn") if exceeds_value_limit(body) => (400, json!({})),
            (&Method::POST, "/-/kv-txn") => {
                if let Some(delay) = self.take_delay(body) {
                    let (store, body) = (self.clone(), body.clone());
                    tokio::spawn(async move {
                        tokio::time::sleep(delay).await;
                        store.txn(&body)
                    });
                    std::future::pending::<()>().await;
                }
                self.txn(body)
            }
            (&Method::POST, "/-/kv-lease") => self.grant(body),
            (&Method::POST, path) if path.starts_with("/-/kv-keep/") => self.keep_alive(path),
            (&Method::DELETE, path) if path.starts_with("/-/kv-lease-end/") => self.revoke(path),
            _ => (404, json!({})),
        };
        let is_silent = lock(&self.state).availability == Availability::Silent;
        if is_silent || availability == Availability::Mute && path == "/-/kv-txn" {
            std::future::pending::<()>().await;
        }
        view.apply(&mut answer);
        respond(status, &answer)
    }

    fn key(&self, query: &BTreeMap<String, String>) -> (u16, Value) {
        let state = lock(&self.state);
        let key = query.get("key").map(String::as_str).unwrap_or_default();
        match state.items.get(key) {
            Some(item) => {
                let mut answer = item_json(key, item);
                answer["current_rev"] = json!(state.revision);
                (200, answer)
            }
            None => (404, json!({})),
        }
    }

    fn range(&self, query: &BTreeMap<String, String>) -> (u16, Value) {
        let state = lock(&self.state);
        let prefix = query.get("prefix").cloned().unwrap_or_default();
        let after = query.get("after").cloned().unwrap_or_default();
        let mut items = state
            .items
            .range(prefix.clone()..)
            .take_while(|(key, _)| key.starts_with(&prefix))
            .filter(|(key, _)| **key > after);
        let page: Vec<Value> =
            items.by_ref().take(PAGE_ITEMS).map(|(key, item)| item_json(key, item)).collect();
        let has_more = items.next().is_some();
        (200, json!({"items": page, "has_more": has_more, "current_rev": state.revision}))
    }

    async fn watch(&self, query: &BTreeMap<String, String>) -> (u16, Value) {
        let number = |name: &str| query.get(name).and_then(|text| text.parse().ok()).unwrap_or(0);
        let (after, wait_ms) = (number("after"), number("wait_ms"));
        let prefix = query.get("prefix").cloned().unwrap_or_default();
        let deadline = Instant::now() + Duration::from_millis(wait_ms);
        loop {
            let notified = self.changed.notified();
            {
                let state = lock(&self.state);
                if after < state.compacted {
                    return (410, json!({}));
                }
                let events: Vec<Value> = state
                    .changes
                    .iter()
                    .filter(|change| change.revision > after && change.key.starts_with(&prefix))
                    .map(|change| match &change.item {
                        Some(item) => item_json(&change.key, item),
                        None => json!({
                            "key": change.key, "revision": change.revision, "removed": true,
                        }),
                    })
                    .collect();
                if !events.is_empty() || Instant::now() >= deadline {
                    return (200, json!({"events": events, "current_rev": state.revision}));
                }
            }
            let _ = tokio::time::timeout_at(deadline, notified).await;
        }
    }

    fn txn(&self, body: &Value) -> (u16, Value) {
        let mut state = lock(&self.state);
        let entries = |name: &str| body[name].as_array().cloned().unwrap_or_default();
        let text = |entry: &Value, name: &str| entry[name].as_str().unwrap_or_default().to_owned();
        let (expected, writes, removed) =
            (entries("expected"), entries("writes"), entries("remove"));
        if expected.len() + writes.len() + removed.len() > 32 {
            return (400, json!({"error": "more than 32 entries"}));
        }
        if !state.is_satisfied(body) {
            let items: Vec<Value> = expected
                .iter()
                .filter_map(|entry| {
                    let key = text(entry, "key");
                    state.items.get(&key).map(|item| item_json(&key, item))
                })
                .collect();
            return (412, json!({"items": items}));
        }
        let lease_of = |entry: &Value| entry["lease"].as_u64().unwrap_or(0);
        if writes
            .iter()
            .any(|entry| lease_of(entry) != 0 && !state.leases.contains_key(&lease_of(entry)))
        {
            return (404, json!({}));
        }
        state.revision += 1;
        state.writes += 1;
        for entry in &writes {
            let value = BASE64_STANDARD.decode(text(entry, "value")).unwrap_or_default();
            state.put(&text(entry, "key"), value, lease_of(entry));
        }
        for key in removed.iter().filter_map(Value::as_str) {
            state.remove(key);
        }
        let revision = state.revision;
        drop(state);
        self.changed.notify_waiters();
        (200, json!({"revision": revision}))
    }

    fn grant(&self, body: &Value) -> (u16, Value) {
        let mut state = lock(&self.state);
        let ttl_ms = body["ttl_ms"].as_u64().unwrap_or(1_000);
        let ttl = Duration::from_millis(ttl_ms);
        let lease = state.next_lease;
        state.next_lease += 1;
        state.leases.insert(lease, (Instant::now() + ttl, ttl));
        (200, json!({"lease": lease, "ttl_ms": ttl_ms}))
    }

    fn keep_alive(&self, path: &str) -> (u16, Value) {
        let mut state = lock(&self.state);
        let lease = path.rsplit('/').next().and_then(|id| id.parse().ok()).unwrap_or(0);
        match state.leases.get_mut(&lease) {
            Some((end, ttl)) => {
                *end = Instant::now() + *ttl;
                (200, json!({"ttl_ms": ttl.as_millis() as u64}))
            }
            None => (404, json!({})),
        }
    }

    fn revoke(&self, path: &str) -> (u16, Value) {
        let lease = path.rsplit('/').next().and_then(|id| id.parse().ok()).unwrap_or(0);
        lock(&self.state).end_lease(lease);
        self.changed.notify_waiters();
        (200, json!({}))
    }
}

/// Returns an item as it is carried over HTTP.
fn item_json(key: &str, item: &Item) -> Value {
    json!({
        "key": key,
        "value": BASE64_STANDARD.encode(&item.value),
        "revision": item.revision,
        "created": item.created,
        "lease": item.lease,
    })
}

/// Parses the query of a URL.
fn query(text: &str) -> BTreeMap<String, String> {
    let pairs = text.split('&').filter_map(|pair| pair.split_once('='));
    let decode = |value| percent_decode_str(value).decode_utf8_lossy().into_owned();
    pairs.map(|(name, value)| (name.into(), decode(value))).collect()
}
