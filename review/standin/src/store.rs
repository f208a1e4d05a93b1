//! The platform's metadata store, in memory.

use {
    crate::{
        base64,
        http::{self, Reply, Request},
        json::{Json, object},
        record::Record,
    },
    std::{
        collections::{BTreeMap, VecDeque},
        net::{SocketAddr, TcpListener},
        sync::{Arc, Condvar, Mutex},
        thread,
        time::{Duration, Instant},
    },
};

/// How the store treats calls.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum Availability {
    #[default]
    Up,
    /// Refuses every call with status 503; nothing is done, and leases pause.
    Busy,
}

#[derive(Clone, Debug)]
struct Item {
    created: u64,
    lease: u64,
    revision: u64,
    value: Vec<u8>,
}

#[derive(Default)]
struct State {
    availability: Availability,
    busy_since: Option<Instant>,
    changes: VecDeque<(u64, String, Option<Item>)>,
    items: BTreeMap<String, Item>,
    leases: BTreeMap<u64, (Instant, Duration)>,
    next_lease: u64,
    revision: u64,
    /// The last heartbeat of each worker.
    beats: BTreeMap<String, Instant>,
    /// Channels on which a watch of this prefix waits at this listener go silent.
    silenced: Option<(usize, String)>,
    /// Watches that wait now, by listener and prefix, with the time at which they were received.
    waiting: BTreeMap<(usize, String), Instant>,
}

/// The store. Clones share it.
#[derive(Clone)]
pub struct Store {
    record: Record,
    state: Arc<(Mutex<State>, Condvar)>,
    heartbeat: Duration,
}

/// The most entries of a transaction.
const MAX_ENTRIES: usize = 32;
/// The most items of a page, and events of an answer to a watch.
const PAGE_ITEMS: usize = 500;
/// The longest wait of a watch, in milliseconds.
const MAX_WAIT_MS: u64 = 30_000;
/// A worker's entry is removed after this many heartbeat intervals of silence.
const SILENT_BEATS: u32 = 3;

impl State {
    fn put(&mut self, key: &str, value: Vec<u8>, lease: u64) {
        let revision = self.revision;
        let created = self.items.get(key).map_or(revision, |item| item.created);
        let item = Item { created, lease, revision, value };
        self.items.insert(key.into(), item.clone());
        self.changes.push_back((revision, key.into(), Some(item)));
    }

    fn remove(&mut self, key: &str) {
        if self.items.remove(key).is_some() {
            self.changes.push_back((self.revision, key.into(), None));
        }
    }

    /// Ends leases whose time is up, and removes entries of workers that are silent.
    fn expire(&mut self, now: Instant, silence: Duration, record: &Record) {
        if self.availability != Availability::Up {
            return;
        }
        let ended = |(id, (end, _)): (&u64, &(Instant, Duration))| (*end <= now).then_some(*id);
        for lease in self.leases.iter().filter_map(ended).collect::<Vec<_>>() {
            self.end_lease(lease);
        }
        let silent = |(id, at): (&String, &Instant)| (now > *at + silence).then(|| id.clone());
        for worker in self.beats.iter().filter_map(silent).collect::<Vec<_>>() {
            self.beats.remove(&worker);
            self.revision += 1;
            self.remove(&format!("servers/{worker}"));
            record.line(format!("store: entry of worker {worker} removed after silence"));
        }
    }

    fn end_lease(&mut self, lease: u64) -> bool {
        let known = self.leases.remove(&lease).is_some();
        let bound = |(key, item): (&String, &Item)| (item.lease == lease).then(|| key.clone());
        let keys: Vec<String> = self.items.iter().filter_map(bound).collect();
        if !keys.is_empty() {
            self.revision += 1;
            keys.iter().for_each(|key| self.remove(key));
        }
        known
    }
}

impl Store {
    /// Starts a store whose workers write every `heartbeat`.
    pub fn start(record: Record, heartbeat: Duration) -> Self {
        let state = State { next_lease: 1, revision: 100, ..State::default() };
        let store = Self { record, state: Arc::new((Mutex::new(state), Condvar::new())), heartbeat };
        let sweeper = store.clone();
        thread::spawn(move || {
            loop {
                thread::sleep(Duration::from_millis(10));
                let (state, changed) = &*sweeper.state;
                let silence = sweeper.heartbeat * SILENT_BEATS;
                state.lock().unwrap().expire(Instant::now(), silence, &sweeper.record);
                changed.notify_all();
            }
        });
        store
    }

    /// Opens a listener for one VM, and returns its address. Listeners are numbered from 0.
    pub fn listen(&self, number: usize) -> std::io::Result<SocketAddr> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let address = listener.local_addr()?;
        let store = self.clone();
        http::serve(listener, move |request| store.answer(number, &request));
        Ok(address)
    }

    /// Sets how the store treats calls. Leases pause while it is not up.
    pub fn set_availability(&self, availability: Availability) {
        let (state, changed) = &*self.state;
        let mut state = state.lock().unwrap();
        let now = Instant::now();
        if let Some(since) = state.busy_since.take() {
            let pause = now - since;
            state.leases.values_mut().for_each(|(end, _)| *end += pause);
            state.beats.values_mut().for_each(|at| *at += pause);
        }
        state.busy_since = (availability != Availability::Up).then_some(now);
        state.availability = availability;
        self.record.line(format!("store: {availability:?}"));
        changed.notify_all();
    }

    /// Makes the channel on which a listener's watch of a prefix waits go silent. New channels work.
    pub fn silence_watch(&self, listener: usize, prefix: &str) {
        let (state, changed) = &*self.state;
        state.lock().unwrap().silenced = Some((listener, prefix.into()));
        changed.notify_all();
        self.record.line(format!("store: the channel of watch {prefix} of VM {listener} is silent"));
    }

    /// Returns how long the watch of a listener for a prefix has been waiting.
    pub fn watch_age(&self, listener: usize, prefix: &str) -> Option<Duration> {
        let state = self.state.0.lock().unwrap();
        state.waiting.get(&(listener, prefix.to_owned())).map(Instant::elapsed)
    }

    /// Writes a key in place of the operator.
    pub fn put(&self, key: &str, value: &Json) {
        let (state, changed) = &*self.state;
        let mut state = state.lock().unwrap();
        state.revision += 1;
        state.put(key, value.to_string().into_bytes(), 0);
        changed.notify_all();
    }

    /// Writes a worker's entry, as a heartbeat. Fails while the store is not up.
    pub fn beat(&self, worker: &str, entry: &Json) {
        let (state, changed) = &*self.state;
        let mut state = state.lock().unwrap();
        if state.availability != Availability::Up {
            return;
        }
        state.revision += 1;
        state.put(&format!("servers/{worker}"), entry.to_string().into_bytes(), 0);
        state.beats.insert(worker.into(), Instant::now());
        changed.notify_all();
    }

    /// Returns the items under a prefix.
    pub fn items(&self, prefix: &str) -> Vec<(String, Json)> {
        let state = self.state.0.lock().unwrap();
        let items = state.items.range(prefix.to_owned()..);
        items
            .take_while(|(key, _)| key.starts_with(prefix))
            .map(|(key, item)| (key.clone(), Json::parse(&item.value)))
            .collect()
    }

    fn answer(&self, listener: usize, request: &Request) -> Reply {
        if self.state.0.lock().unwrap().availability == Availability::Busy {
            return Reply::Answer(503, object(vec![]));
        }
        let path = request.path.as_str();
        let (status, body) = match (request.method.as_str(), path) {
            ("GET", "/-/kv-key") => self.key(request),
            ("GET", "/-/kv-range") => self.range(request),
            ("GET", "/-/kv-watch") => match self.watch(listener, request) {
                Some(answer) => answer,
                None => return Reply::Silence,
            },
            ("POST", "/-/kv-txn") => self.txn(&request.body),
            ("POST", "/-/kv-lease") => self.grant(&request.body),
            ("POST", _) if path.starts_with("/-/kv-keep/") => self.keep(path),
            ("DELETE", _) if path.starts_with("/-/kv-lease-end/") => {
                let known = self.state.0.lock().unwrap().end_lease(last_number(path));
                (if known { 200 } else { 404 }, object(vec![]))
            }
            _ => (404, object(vec![])),
        };
        if request.method == "POST" {
            self.state.1.notify_all();
        }
        Reply::Answer(status, body)
    }

    fn key(&self, request: &Request) -> (u16, Json) {
        let state = self.state.0.lock().unwrap();
        let key = request.parameter("key");
        match state.items.get(key) {
            Some(item) => {
                let Json::Object(mut fields) = item_json(key, item) else { return (404, Json::Null) };
                fields.push(("current_rev".into(), state.revision.into()));
                (200, Json::Object(fields))
            }
            None => (404, object(vec![("current_rev", state.revision.into())])),
        }
    }

    fn range(&self, request: &Request) -> (u16, Json) {
        let state = self.state.0.lock().unwrap();
        let (prefix, after) = (request.parameter("prefix"), request.parameter("after"));
        let items = state.items.range(prefix.to_owned()..);
        let mut items = items
            .take_while(|(key, _)| key.starts_with(prefix))
            .filter(|(key, _)| key.as_str() > after);
        let page = items.by_ref().take(PAGE_ITEMS).map(|(key, item)| item_json(key, item));
        let page = Json::List(page.collect());
        let more = Json::Bool(items.next().is_some());
        let revision = state.revision.into();
        (200, object(vec![("items", page), ("has_more", more), ("current_rev", revision)]))
    }

    /// Returns `None` if the channel goes silent.
    fn watch(&self, listener: usize, request: &Request) -> Option<(u16, Json)> {
        let number = |name: &str| request.parameter(name).parse::<u64>().unwrap_or(0);
        let prefix = request.parameter("prefix").to_owned();
        let after = number("after");
        let deadline = Instant::now() + Duration::from_millis(number("wait_ms").min(MAX_WAIT_MS));
        let (state, changed) = &*self.state;
        let mut state = state.lock().unwrap();
        let place = (listener, prefix.clone());
        state.waiting.insert(place.clone(), Instant::now());
        loop {
            if state.availability == Availability::Busy {
                state.waiting.remove(&place);
                return Some((503, object(vec![])));
            }
            if state.silenced.as_ref() == Some(&place) {
                state.silenced = None;
                state.waiting.remove(&place);
                return None;
            }
            let found = state.changes.partition_point(|(revision, ..)| *revision <= after);
            let events: Vec<Json> = state
                .changes
                .range(found..)
                .filter(|(_, key, _)| key.starts_with(&prefix))
                .take(PAGE_ITEMS)
                .map(|(revision, key, item)| match item {
                    Some(item) => item_json(key, item),
                    None => object(vec![
                        ("key", key.as_str().into()),
                        ("revision", (*revision).into()),
                        ("removed", Json::Bool(true)),
                    ]),
                })
                .collect();
            let now = Instant::now();
            if !events.is_empty() || now >= deadline {
                state.waiting.remove(&place);
                let last = events.last().map_or(0, |event| event.get("revision").int());
                let current = if events.len() == PAGE_ITEMS { last } else { state.revision };
                let fields = vec![("events", Json::List(events)), ("current_rev", current.into())];
                return Some((200, object(fields)));
            }
            state = changed.wait_timeout(state, deadline - now).unwrap().0;
        }
    }

    fn txn(&self, body: &Json) -> (u16, Json) {
        let mut state = self.state.0.lock().unwrap();
        let entries = |name: &str| body.get(name).list();
        let (expected, writes, removed) = (entries("expected"), entries("writes"), entries("remove"));
        if expected.len() + writes.len() + removed.len() > MAX_ENTRIES {
            return (400, object(vec![]));
        }
        let matches = |entry: &Json| {
            let revision = state.items.get(entry.get("key").text()).map_or(0, |item| item.revision);
            revision == entry.get("revision").int()
        };
        if !expected.iter().all(matches) {
            let current = |entry: &Json| {
                let key = entry.get("key").text();
                state.items.get(key).map(|item| item_json(key, item))
            };
            let items = Json::List(expected.iter().filter_map(current).collect());
            return (412, object(vec![("items", items)]));
        }
        let lease_of = |entry: &Json| entry.get("lease").int();
        let is_unknown =
            |entry: &Json| lease_of(entry) != 0 && !state.leases.contains_key(&lease_of(entry));
        if writes.iter().any(is_unknown) {
            return (404, object(vec![]));
        }
        state.revision += 1;
        for entry in writes {
            let value = base64::decode(entry.get("value").text());
            state.put(entry.get("key").text(), value, lease_of(entry));
        }
        for key in removed {
            state.remove(key.text());
        }
        (200, object(vec![("revision", state.revision.into())]))
    }

    fn grant(&self, body: &Json) -> (u16, Json) {
        let mut state = self.state.0.lock().unwrap();
        let ttl_ms = body.get("ttl_ms").int().clamp(1_000, 600_000);
        let ttl = Duration::from_millis(ttl_ms);
        let lease = state.next_lease;
        state.next_lease += 1;
        state.leases.insert(lease, (Instant::now() + ttl, ttl));
        (200, object(vec![("lease", lease.into()), ("ttl_ms", ttl_ms.into())]))
    }

    fn keep(&self, path: &str) -> (u16, Json) {
        let mut state = self.state.0.lock().unwrap();
        match state.leases.get_mut(&last_number(path)) {
            Some((end, ttl)) => {
                *end = Instant::now() + *ttl;
                (200, object(vec![]))
            }
            None => (404, object(vec![])),
        }
    }
}

fn last_number(path: &str) -> u64 {
    path.rsplit('/').next().and_then(|word| word.parse().ok()).unwrap_or(0)
}

fn item_json(key: &str, item: &Item) -> Json {
    object(vec![
        ("key", key.into()),
        ("value", base64::encode(&item.value).as_str().into()),
        ("revision", item.revision.into()),
        ("created", item.created.into()),
        ("lease", item.lease.into()),
    ])
}
