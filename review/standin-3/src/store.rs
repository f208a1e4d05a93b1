//! The platform's metadata store, after PROTOCOL.md.

use {
    crate::{
        http::{self, Answer, Call},
        json::{Json, base64, quoted},
    },
    std::{
        collections::BTreeMap,
        net::{SocketAddr, TcpListener},
        sync::{Arc, Condvar, Mutex},
        thread,
        time::{Duration, Instant},
    },
};

#[derive(Clone)]
struct Item {
    /// The value as base64 text.
    value: String,
    created: u64,
    revision: u64,
    lease: u64,
}

#[derive(Default)]
struct State {
    changes: Vec<(u64, String, Option<Item>)>,
    items: BTreeMap<String, Item>,
    leases: BTreeMap<u64, (Instant, Duration)>,
    next_lease: u64,
    revision: u64,
}

/// What the store does with the calls of one machine.
#[derive(Default)]
pub struct Port {
    /// Writes until this moment get no answer, and are carried out so much later.
    pub late: Mutex<Option<(Instant, Duration)>>,
    pub writes: Mutex<u64>,
    pub late_writes: Mutex<Vec<String>>,
}

#[derive(Clone, Default)]
pub struct Store {
    state: Arc<(Mutex<State>, Condvar)>,
}

const PAGE_ITEMS: usize = 500;
/// The most bytes of a value: `value_bytes` of the settings.
const VALUE_BYTES: usize = 1_048_576;

impl State {
    fn put(&mut self, key: &str, value: String, lease: u64) {
        let revision = self.revision;
        let created = self.items.get(key).map_or(revision, |item| item.created);
        let item = Item { value, created, revision, lease };
        self.items.insert(key.into(), item.clone());
        self.changes.push((revision, key.into(), Some(item)));
    }

    fn remove(&mut self, key: &str) {
        if self.items.remove(key).is_some() {
            self.changes.push((self.revision, key.into(), None));
        }
    }

    fn end_lease(&mut self, lease: u64) {
        self.leases.remove(&lease);
        let of_lease = self.items.iter().filter(|(_, item)| item.lease == lease);
        let keys: Vec<String> = of_lease.map(|(key, _)| key.clone()).collect();
        if !keys.is_empty() {
            self.revision += 1;
            keys.iter().for_each(|key| self.remove(key));
        }
    }

    fn txn(&mut self, body: &Json) -> (u16, String) {
        let revision_of = |state: &Self, key: &str| state.items.get(key).map_or(0, |i| i.revision);
        let holds =
            body.get("expected").list().iter().all(|row| {
                revision_of(self, row.get("key").text()) == row.get("revision").number()
            });
        if !holds {
            let keys = body.get("expected").list().iter().map(|row| row.get("key").text());
            let items: Vec<String> = keys
                .filter_map(|key| self.items.get(key).map(|item| item_json(key, item)))
                .collect();
            return (412, format!("{{\"items\":[{}]}}", items.join(",")));
        }
        let writes = body.get("writes").list();
        let is_too_large = |row: &Json| row.get("value").text().len() / 4 * 3 > VALUE_BYTES;
        if writes.iter().any(is_too_large) {
            return (400, "{}".into());
        }
        let lease_is_gone = |row: &Json| {
            let lease = row.get("lease").number();
            lease != 0 && !self.leases.contains_key(&lease)
        };
        if writes.iter().any(lease_is_gone) {
            return (404, "{}".into());
        }
        self.revision += 1;
        for row in writes {
            let (key, value) = (row.get("key").text(), row.get("value").text());
            self.put(key, value.to_owned(), row.get("lease").number());
        }
        for key in body.get("remove").list() {
            self.remove(key.text());
        }
        (200, format!("{{\"revision\":{}}}", self.revision))
    }
}

fn item_json(key: &str, item: &Item) -> String {
    format!(
        "{{\"key\":{},\"value\":\"{}\",\"revision\":{},\"created\":{},\"lease\":{}}}",
        quoted(key),
        item.value,
        item.revision,
        item.created,
        item.lease
    )
}

impl Store {
    pub fn start() -> Self {
        let store = Self::default();
        store.state.0.lock().unwrap().next_lease = 1;
        let expiring = store.clone();
        thread::spawn(move || {
            loop {
                thread::sleep(Duration::from_millis(10));
                let mut state = expiring.state.0.lock().unwrap();
                let now = Instant::now();
                let over = state.leases.iter().filter(|(_, (end, _))| *end <= now);
                let over: Vec<u64> = over.map(|(lease, _)| *lease).collect();
                over.iter().for_each(|lease| state.end_lease(*lease));
                expiring.state.1.notify_all();
            }
        });
        store
    }

    /// Serves the store at an address of its own for one machine.
    pub fn serve(&self) -> (SocketAddr, Arc<Port>) {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap();
        let port = Arc::new(Port::default());
        let (store, served) = (self.clone(), port.clone());
        http::serve(listener, move |call| store.answer(&call, &served));
        (address, port)
    }

    /// Writes a key in place of the operator or a worker.
    pub fn put(&self, key: &str, value: &str) {
        let mut state = self.state.0.lock().unwrap();
        state.revision += 1;
        state.put(key, base64(value.as_bytes()), 0);
        drop(state);
        self.state.1.notify_all();
    }

    pub fn remove(&self, key: &str) {
        let mut state = self.state.0.lock().unwrap();
        state.revision += 1;
        state.remove(key);
        drop(state);
        self.state.1.notify_all();
    }

    fn answer(&self, call: &Call, port: &Port) -> Answer {
        // The store takes a few milliseconds for a call.
        thread::sleep(Duration::from_millis(3));
        let path = call.path.as_str();
        let (status, body) = match (call.method.as_str(), path) {
            ("GET", "/-/kv-key") => {
                let state = self.state.0.lock().unwrap();
                let key = call.query("key");
                match state.items.get(key) {
                    Some(item) => {
                        let mut text = item_json(key, item);
                        text.pop();
                        (200, format!("{text},\"current_rev\":{}}}", state.revision))
                    }
                    None => (404, format!("{{\"current_rev\":{}}}", state.revision)),
                }
            }
            ("GET", "/-/kv-range") => self.range(call),
            ("GET", "/-/kv-watch") => self.watch(call),
            ("POST", "/-/kv-txn") => {
                *port.writes.lock().unwrap() += 1;
                let late = *port.late.lock().unwrap();
                if let Some((_, delay)) = late.filter(|(until, _)| Instant::now() < *until) {
                    let keys = call.body.get("remove").list().iter().map(Json::text);
                    let written = call.body.get("writes").list();
                    let keys = keys.chain(written.iter().map(|row| row.get("key").text()));
                    let keys: Vec<&str> = keys.collect();
                    port.late_writes.lock().unwrap().push(keys.join(" "));
                    let (store, body) = (self.clone(), call.body.clone());
                    thread::spawn(move || {
                        thread::sleep(delay);
                        store.state.0.lock().unwrap().txn(&body);
                        store.state.1.notify_all();
                    });
                    return Answer::Silence;
                }
                let answer = self.state.0.lock().unwrap().txn(&call.body);
                self.state.1.notify_all();
                answer
            }
            ("POST", "/-/kv-lease") => {
                let mut state = self.state.0.lock().unwrap();
                let ttl_ms = call.body.get("ttl_ms").number().max(1_000);
                let ttl = Duration::from_millis(ttl_ms);
                let lease = state.next_lease;
                state.next_lease += 1;
                state.leases.insert(lease, (Instant::now() + ttl, ttl));
                (200, format!("{{\"lease\":{lease},\"ttl_ms\":{ttl_ms}}}"))
            }
            ("POST", path) if path.starts_with("/-/kv-keep/") => {
                let lease = path.rsplit('/').next().and_then(|id| id.parse().ok()).unwrap_or(0);
                let mut state = self.state.0.lock().unwrap();
                match state.leases.get_mut(&lease) {
                    Some((end, ttl)) => {
                        *end = Instant::now() + *ttl;
                        (200, "{}".into())
                    }
                    None => (404, "{}".into()),
                }
            }
            ("DELETE", path) if path.starts_with("/-/kv-lease-end/") => {
                let lease = path.rsplit('/').next().and_then(|id| id.parse().ok()).unwrap_or(0);
                self.state.0.lock().unwrap().end_lease(lease);
                self.state.1.notify_all();
                (200, "{}".into())
            }
            _ => (404, "{}".into()),
        };
        Answer::Reply(status, body)
    }

    fn range(&self, call: &Call) -> (u16, String) {
        let state = self.state.0.lock().unwrap();
        let (prefix, after) = (call.query("prefix").to_owned(), call.query("after"));
        let mut items = state
            .items
            .range(prefix.clone()..)
            .take_while(|(key, _)| key.starts_with(&prefix))
            .filter(|(key, _)| key.as_str() > after);
        let page: Vec<String> =
            items.by_ref().take(PAGE_ITEMS).map(|(key, item)| item_json(key, item)).collect();
        let more = items.next().is_some();
        let (items, revision) = (page.join(","), state.revision);
        (200, format!("{{\"items\":[{items}],\"has_more\":{more},\"current_rev\":{revision}}}"))
    }

    fn watch(&self, call: &Call) -> (u16, String) {
        let after: u64 = call.query("after").parse().unwrap_or(0);
        let wait_ms: u64 = call.query("wait_ms").parse().unwrap_or(0);
        let prefix = call.query("prefix");
        let deadline = Instant::now() + Duration::from_millis(wait_ms.min(30_000));
        let mut state = self.state.0.lock().unwrap();
        loop {
            let first = state.changes.partition_point(|(revision, ..)| *revision <= after);
            let changes =
                state.changes[first..].iter().filter(|(_, key, _)| key.starts_with(prefix));
            let events: Vec<String> = changes
                .map(|(revision, key, item)| match item {
                    Some(item) => item_json(key, item),
                    None => format!(
                        "{{\"key\":{},\"revision\":{revision},\"removed\":true}}",
                        quoted(key)
                    ),
                })
                .collect();
            let now = Instant::now();
            if !events.is_empty() || now >= deadline {
                let (events, revision) = (events.join(","), state.revision);
                return (200, format!("{{\"events\":[{events}],\"current_rev\":{revision}}}"));
            }
            state = self.state.1.wait_timeout(state, deadline - now).unwrap().0;
        }
    }
}
