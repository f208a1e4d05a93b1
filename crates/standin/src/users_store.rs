//! The key-value store of the users' platform, in memory, over HTTP: transactions on revisions,
//! leases, watches, and its faults.

use {
    super::*,
    crate::users_http::{self, respond},
    base64::{Engine, prelude::BASE64_STANDARD},
    http_body_util::Full,
    hyper::{Method, Response, http::request::Parts},
    serde_json::{Value, json},
    tokio::net::TcpListener,
};

/// The store. Clones share it.
#[derive(Clone, Debug, Default)]
pub struct UsersStore {
    changed: Arc<tokio::sync::Notify>,
    /// Reads of a range whose prefix begins so wait.
    held: Arc<tokio::sync::watch::Sender<Option<String>>>,
    state: Arc<Mutex<State>>,
}

/// How the store treats calls.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub enum Availability {
    /// It answers.
    #[default]
    Up,
    /// It refuses every call.
    Busy,
    /// It makes writes and does not answer them.
    Mute,
}

#[derive(Clone, Debug)]
struct Item {
    created: u64,
    lease: u64,
    revision: u64,
    value: Vec<u8>,
}

#[derive(Clone, Debug)]
struct Change {
    item: Option<Item>,
    key: String,
    revision: u64,
}

#[derive(Debug, Default)]
struct State {
    changes: VecDeque<Change>,
    /// Changes up to this revision are forgotten.
    compacted: u64,
    items: BTreeMap<String, Item>,
    leases: BTreeMap<u64, (Instant, Duration)>,
    availability: Availability,
    next_lease: u64,
    revision: u64,
    writes: u64,
}

/// Changes that are kept for watches.
const HISTORY: usize = 20_000;
/// Between looks for leases that have run out.
const EXPIRY: Duration = Duration::from_millis(20);
/// Items of a page.
const PAGE: usize = 500;

impl State {
    fn put(&mut self, key: &str, value: Vec<u8>, lease: u64) {
        let revision = self.revision;
        let created = self.items.get(key).map_or(revision, |item| item.created);
        let item = Item { created, lease, revision, value };
        self.items.insert(key.into(), item.clone());
        self.note(Change { item: Some(item), key: key.into(), revision });
    }

    fn remove(&mut self, key: &str) {
        if self.items.remove(key).is_some() {
            let revision = self.revision;
            self.note(Change { item: None, key: key.into(), revision });
        }
    }

    fn note(&mut self, change: Change) {
        self.changes.push_back(change);
        if self.changes.len() > HISTORY
            && let Some(oldest) = self.changes.pop_front()
        {
            self.compacted = oldest.revision;
        }
    }

    fn expire(&mut self, now: Instant) -> bool {
        let over: Vec<u64> =
            self.leases.iter().filter(|(_, (end, _))| *end <= now).map(|(id, _)| *id).collect();
        over.iter().for_each(|lease| self.end(*lease));
        !over.is_empty()
    }

    fn end(&mut self, lease: u64) {
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
        let listener = TcpListener::bind(("127.0.0.1", 0)).await?;
        let address = listener.local_addr()?;
        let expiring = store.clone();
        tokio::spawn(async move {
            loop {
                tokio::time::sleep(EXPIRY).await;
                if lock(&expiring.state).expire(Instant::now()) {
                    expiring.changed.notify_waiters();
                }
            }
        });
        let serving = store.clone();
        users_http::serve(listener, move |parts, body| {
            let store = serving.clone();
            async move { store.answer(&parts, &body).await }
        });
        Ok((store, address))
    }

    /// Changes how calls are treated.
    pub fn set_availability(&self, availability: Availability) {
        lock(&self.state).availability = availability;
    }

    /// Lets reads of ranges whose prefix begins so wait until this is called again.
    pub fn hold_reads(&self, prefix: Option<&str>) {
        self.held.send_replace(prefix.map(str::to_owned));
    }

    /// Waits while reads under the prefix are held.
    async fn held(&self, prefix: &str) {
        let mut held = self.held.subscribe();
        let free =
            |held: &Option<String>| !held.as_deref().is_some_and(|held| prefix.starts_with(held));
        // The sender lives as long as this store.
        let _ = held.wait_for(free).await;
    }

    /// Forgets all history, so that watches have to read anew.
    pub fn compact(&self) {
        let mut state = lock(&self.state);
        state.changes.clear();
        state.compacted = state.revision;
        drop(state);
        self.changed.notify_waiters();
    }

    /// Ends every lease at once.
    pub fn revoke_all(&self) {
        let mut state = lock(&self.state);
        let leases: Vec<u64> = state.leases.keys().copied().collect();
        leases.into_iter().for_each(|lease| state.end(lease));
        drop(state);
        self.changed.notify_waiters();
    }

    /// Writes a key as the operator or a worker does.
    pub fn put(&self, key: &str, value: &Value) {
        let mut state = lock(&self.state);
        state.revision += 1;
        state.put(key, value.to_string().into_bytes(), 0);
        drop(state);
        self.changed.notify_waiters();
    }

    /// Removes a key as a worker does.
    pub fn remove(&self, key: &str) {
        let mut state = lock(&self.state);
        state.revision += 1;
        state.remove(key);
        drop(state);
        self.changed.notify_waiters();
    }

    /// Returns the values under a prefix.
    pub fn values(&self, prefix: &str) -> Vec<(String, Vec<u8>)> {
        let state = lock(&self.state);
        let items = state.items.range(prefix.to_owned()..);
        items
            .take_while(|(key, _)| key.starts_with(prefix))
            .map(|(key, item)| (key.clone(), item.value.clone()))
            .collect()
    }

    /// Returns how many transactions were made.
    pub fn writes(&self) -> u64 {
        lock(&self.state).writes
    }

    async fn answer(&self, parts: &Parts, body: &Value) -> Response<Full<Bytes>> {
        let availability = lock(&self.state).availability;
        if availability == Availability::Busy {
            return respond(503, &json!({}));
        }
        let query = query(parts.uri.query().unwrap_or_default());
        let path = parts.uri.path();
        let (status, answer) = match (&parts.method, path) {
            (&Method::GET, "/-/kv-key") => self.key(&query),
            (&Method::GET, "/-/kv-range") => {
                self.held(query.get("prefix").map(String::as_str).unwrap_or_default()).await;
                self.range(&query)
            }
            (&Method::GET, "/-/kv-watch") => self.watch(&query).await,
            (&Method::POST, "/-/kv-txn") => self.txn(body),
            (&Method::POST, "/-/kv-lease") => self.lease(body),
            (&Method::POST, path) if path.starts_with("/-/kv-keep/") => self.keep(path),
            (&Method::DELETE, path) if path.starts_with("/-/kv-lease-end/") => self.lease_end(path),
            _ => (404, json!({})),
        };
        if availability == Availability::Mute && path == "/-/kv-txn" {
            std::future::pending::<()>().await;
        }
        respond(status, &answer)
    }

    fn key(&self, query: &BTreeMap<String, String>) -> (u16, Value) {
        let state = lock(&self.state);
        let key = query.get("key").map(String::as_str).unwrap_or_default();
        match state.items.get(key) {
            Some(item) => {
                let mut answer = shown(key, item);
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
            items.by_ref().take(PAGE).map(|(key, item)| shown(key, item)).collect();
        let more = items.next().is_some();
        (200, json!({"items": page, "has_more": more, "current_rev": state.revision}))
    }

    async fn watch(&self, query: &BTreeMap<String, String>) -> (u16, Value) {
        let number = |name: &str| query.get(name).and_then(|text| text.parse().ok()).unwrap_or(0);
        let (after, wait_ms) = (number("after"), number("wait_ms"));
        let prefix = query.get("prefix").cloned().unwrap_or_default();
        let end = Instant::now() + Duration::from_millis(wait_ms);
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
                        Some(item) => shown(&change.key, item),
                        None => json!({
                            "key": change.key, "revision": change.revision, "removed": true,
                        }),
                    })
                    .collect();
                if !events.is_empty() || Instant::now() >= end {
                    return (200, json!({"events": events, "current_rev": state.revision}));
                }
            }
            let _ = tokio::time::timeout_at(end, notified).await;
        }
    }

    fn txn(&self, body: &Value) -> (u16, Value) {
        let mut state = lock(&self.state);
        let rows = |name: &str| body[name].as_array().cloned().unwrap_or_default();
        let text = |row: &Value, name: &str| row[name].as_str().unwrap_or_default().to_owned();
        let (expected, writes, removed) = (rows("expected"), rows("writes"), rows("remove"));
        if expected.len() + writes.len() + removed.len() > 32 {
            return (400, json!({"error": "more than 32 entries"}));
        }
        let holds = |row: &Value| {
            let found = state.items.get(&text(row, "key")).map_or(0, |item| item.revision);
            Some(found) == row["revision"].as_u64()
        };
        if !expected.iter().all(holds) {
            let items: Vec<Value> = expected
                .iter()
                .filter_map(|row| {
                    let key = text(row, "key");
                    state.items.get(&key).map(|item| shown(&key, item))
                })
                .collect();
            return (412, json!({"items": items}));
        }
        let leased = |row: &Value| row["lease"].as_u64().unwrap_or(0);
        if writes.iter().any(|row| leased(row) != 0 && !state.leases.contains_key(&leased(row))) {
            return (404, json!({}));
        }
        state.revision += 1;
        state.writes += 1;
        for row in &writes {
            let value = BASE64_STANDARD.decode(text(row, "value")).unwrap_or_default();
            state.put(&text(row, "key"), value, leased(row));
        }
        for key in removed.iter().filter_map(Value::as_str) {
            state.remove(key);
        }
        let revision = state.revision;
        drop(state);
        self.changed.notify_waiters();
        (200, json!({"revision": revision}))
    }

    fn lease(&self, body: &Value) -> (u16, Value) {
        let mut state = lock(&self.state);
        let ttl_ms = body["ttl_ms"].as_u64().unwrap_or(1_000);
        let ttl = Duration::from_millis(ttl_ms);
        let lease = state.next_lease;
        state.next_lease += 1;
        state.leases.insert(lease, (Instant::now() + ttl, ttl));
        (200, json!({"lease": lease, "ttl_ms": ttl_ms}))
    }

    fn keep(&self, path: &str) -> (u16, Value) {
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

    fn lease_end(&self, path: &str) -> (u16, Value) {
        let lease = path.rsplit('/').next().and_then(|id| id.parse().ok()).unwrap_or(0);
        lock(&self.state).end(lease);
        self.changed.notify_waiters();
        (200, json!({}))
    }
}

fn shown(key: &str, item: &Item) -> Value {
    json!({
        "key": key,
        "value": BASE64_STANDARD.encode(&item.value),
        "revision": item.revision,
        "created": item.created,
        "lease": item.lease,
    })
}

fn query(text: &str) -> BTreeMap<String, String> {
    let pairs = text.split('&').filter_map(|pair| pair.split_once('='));
    pairs.map(|(name, value)| (name.into(), value.into())).collect()
}
