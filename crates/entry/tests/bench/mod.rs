//! Entries, stand-in workers and a stand-in platform in one process, on loopback.

#![allow(dead_code, clippy::unwrap_used)]

use {
    oleanderstage_core::{Name, Resources, config, key::Id, key_map::Map, outcome},
    oleanderstage_entry::Entry,
    oleanderstage_settings as settings,
    oleanderstage_standin::{Behaviour, Ledger, Platform, Worker, ledger::Record},
    oleanderstage_wire::keys,
    std::{fs, net::SocketAddr, path::PathBuf, time::Duration},
    tokio_util::sync::CancellationToken,
};

/// The longest that a test waits for anything.
pub(crate) const PATIENCE: Duration = Duration::from_secs(60);

/// How long the map of keys stays as it is once new owners have collected.
const KEYS_SETTLE: Duration = Duration::from_millis(4_000);

pub(crate) struct Bench {
    pub(crate) entries: Vec<Running>,
    pub(crate) http: reqwest::Client,
    pub(crate) ledger: Ledger,
    pub(crate) platform: Platform,
    pub(crate) workers: Vec<Worker>,
    settings: Vec<settings::Entry>,
}

pub(crate) struct Running {
    pub(crate) address: SocketAddr,
    pub(crate) leave: CancellationToken,
    pub(crate) serving: tokio::task::JoinHandle<()>,
    /// Its own, so that it can die without the others.
    runtime: Option<tokio::runtime::Runtime>,
}

impl Drop for Running {
    fn drop(&mut self) {
        self.kill();
    }
}

impl Running {
    /// Ends it as a killed process does.
    pub(crate) fn kill(&mut self) {
        if let Some(runtime) = self.runtime.take() {
            runtime.shutdown_background();
        }
    }
}

pub(crate) struct Plan {
    behaviour: Behaviour,
    entries: usize,
    folder: &'static str,
    service: config::Service,
    slots: u32,
    workers: usize,
}

/// What a caller got.
#[derive(Debug)]
pub(crate) struct Got {
    pub(crate) body: String,
    pub(crate) outcome: String,
    pub(crate) reason: String,
    pub(crate) retry_after: String,
    pub(crate) status: u16,
}

pub(crate) fn name(text: &str) -> Name {
    Name::try_from(text).unwrap()
}

impl Plan {
    /// Plans one entry and one worker; `folder` holds the keys, unique to the test.
    pub(crate) fn new(folder: &'static str) -> Self {
        let service = config::Service {
            body_limit_bytes: 200_000,
            caller_concurrency: 64,
            deadline_ms: 10_000,
            idempotent: false,
            name: name("site"),
            objective: config::Objective { latency_ms: 100, share: 0.99 },
            reserve: Resources::default(),
        };
        let behaviour = Behaviour { service_ms: 1, ..Behaviour::default() };
        Self { behaviour, entries: 1, folder, service, slots: 8, workers: 1 }
    }

    pub(crate) fn entries(mut self, entries: usize) -> Self {
        self.entries = entries;
        self
    }

    pub(crate) fn service(mut self, change: impl FnOnce(&mut config::Service)) -> Self {
        change(&mut self.service);
        self
    }

    pub(crate) fn slots(mut self, slots: u32) -> Self {
        self.slots = slots;
        self
    }

    pub(crate) fn workers(mut self, workers: usize) -> Self {
        self.workers = workers;
        self
    }

    /// Starts everything, and waits until each entry has its configuration.
    pub(crate) async fn start(self) -> Bench {
        let platform = Platform::start(loopback()).await.unwrap();
        let ledger = Ledger::default();
        let mut config =
            config::Config { services: vec![self.service.clone()], ..Default::default() };
        let mut workers = Vec::new();
        for index in 0..self.workers {
            let mut vm = self.vm(index);
            let worker = Worker::start_with(vm.clone(), self.behaviour.clone(), ledger.clone());
            workers.push(worker.await.unwrap());
            vm.address = workers[index].address();
            platform.vms().add(&vm.name);
            config.vms.push(vm);
        }
        submit(&platform, 1, &config);
        let settings = self.settings(&platform);
        let http = reqwest_client();
        let mut bench = Bench { entries: vec![], http, ledger, platform, workers, settings };
        for index in 0..self.entries {
            let running = bench.run(index).await;
            bench.entries.push(running);
        }
        for index in 0..self.entries {
            bench.until_healthy(index).await;
        }
        bench
    }

    fn settings(&self, platform: &Platform) -> Vec<settings::Entry> {
        let names: Vec<Name> = (0..self.entries).map(|i| name(&format!("entry-{i}"))).collect();
        let set = keys::Set::generate(&names).unwrap();
        let folder = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(self.folder);
        fs::create_dir_all(&folder).unwrap();
        let peers: Vec<settings::Peer> = names
            .iter()
            .map(|name| settings::Peer { address: free_udp(), name: name.clone(), zone: zone() })
            .collect();
        let entry = |index: usize| {
            let path = |suffix: &str| folder.join(format!("{index}-{suffix}.pem"));
            fs::write(path("ca"), &set.authority).unwrap();
            fs::write(path("cert"), &set.pairs[index].certificate).unwrap();
            fs::write(path("key"), &set.pairs[index].key).unwrap();
            let others = peers.iter().filter(|peer| peer.name != names[index]);
            let base = format!("http://{}", platform.address());
            settings::Entry {
                http: loopback(),
                metrics: None,
                name: names[index].clone(),
                peers: others.cloned().collect(),
                quic: peers[index].address,
                schedulers: vec![],
                store: base.clone(),
                tls: settings::Tls {
                    authority: path("ca"),
                    certificate: path("cert"),
                    key: path("key"),
                },
                vm_list: format!("{base}/vms"),
                zone: zone(),
            }
        };
        (0..self.entries).map(entry).collect()
    }

    fn vm(&self, index: usize) -> config::Vm {
        config::Vm {
            address: loopback(),
            connections: 64,
            name: name(&format!("vm-{index}")),
            rack: name("rack-0"),
            resources: Resources { accelerators: 0, memory_mib: 64_000, processors_milli: 16_000 },
            services: vec![self.service.name.clone()],
            slots: self.slots,
            zone: zone(),
        }
    }
}

impl Bench {
    pub(crate) fn url(&self, entry: usize, path: &str) -> String {
        format!("http://{}{path}", self.entries[entry].address)
    }

    pub(crate) fn post(&self, entry: usize, path: &str, body: &str) -> reqwest::RequestBuilder {
        self.http.post(self.url(entry, path)).body(body.to_owned())
    }

    /// Returns what the workers really ran.
    pub(crate) fn ran(&self) -> Record {
        self.ledger.record()
    }

    /// Starts entry `index` again, as a fresh process.
    pub(crate) async fn restart(&mut self, index: usize) {
        self.entries[index] = self.run(index).await;
        self.until_healthy(index).await;
    }

    pub(crate) fn submit(&self, revision: u64, config: &config::Config) {
        submit(&self.platform, revision, config);
    }

    pub(crate) async fn until_healthy(&self, entry: usize) {
        until(async || {
            let got = self.http.get(self.url(entry, "/health")).send().await;
            got.is_ok_and(|got| got.status().is_success())
        })
        .await;
    }

    /// Waits until `count` entries share the keys, and nothing moves any more.
    pub(crate) async fn until_keys_settle(&self, count: usize) {
        let mut last = Vec::new();
        let mut since = tokio::time::Instant::now();
        until(async || {
            let now = self.platform.store().peek("oleanderstage/keys/map").unwrap_or_default();
            if now != last {
                (last, since) = (now, tokio::time::Instant::now());
            }
            let map: Option<Map> = serde_json::from_slice(&last).ok();
            let settled = map.is_some_and(|map| {
                map.members.len() == count && map.parts.iter().all(|part| part.owner.is_some())
            });
            settled && since.elapsed() > KEYS_SETTLE
        })
        .await;
    }

    /// Returns the entry that owns the key that an unnamed caller sends to the service.
    pub(crate) fn owner_of(&self, key: &str) -> usize {
        let map = self.platform.store().peek("oleanderstage/keys/map").unwrap();
        let map: Map = serde_json::from_slice(&map).unwrap();
        let id = Id::new("", &name("site"), key);
        let owner = &map.owner(id.partition()).unwrap().name;
        owner.as_str().rsplit('-').next().unwrap().parse().unwrap()
    }

    async fn run(&self, index: usize) -> Running {
        let leave = CancellationToken::new();
        let mut builder = tokio::runtime::Builder::new_multi_thread();
        let runtime = builder.worker_threads(2).enable_all().build().unwrap();
        let mut address = None;
        until(async || {
            let start = Entry::start(self.settings[index].clone(), leave.clone());
            address = runtime.spawn(start).await.unwrap().ok();
            address.is_some()
        })
        .await;
        let entry = address.unwrap();
        let address = entry.address();
        let serving = runtime.spawn(entry.wait());
        Running { address, leave, runtime: Some(runtime), serving }
    }
}

/// Sends the request and reads the whole answer.
pub(crate) async fn send(request: reqwest::RequestBuilder) -> Got {
    let response = request.send().await.unwrap();
    let header = |name: &str| {
        response.headers().get(name).map_or("", |value| value.to_str().unwrap()).to_owned()
    };
    let (outcome, reason) = (header(outcome::HEADER), header(outcome::REASON_HEADER));
    let (retry_after, status) = (header("retry-after"), response.status().as_u16());
    let body = response.text().await.unwrap();
    Got { body, outcome, reason, retry_after, status }
}

/// Waits until `condition` holds.
pub(crate) async fn until(mut condition: impl AsyncFnMut() -> bool) {
    let waiting = async {
        while !condition().await {
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
    };
    tokio::time::timeout(PATIENCE, waiting).await.expect("the condition holds in time");
}

pub(crate) fn loopback() -> SocketAddr {
    "127.0.0.1:0".parse().unwrap()
}

fn free_udp() -> SocketAddr {
    std::net::UdpSocket::bind("127.0.0.1:0").unwrap().local_addr().unwrap()
}

fn reqwest_client() -> reqwest::Client {
    let provider = std::sync::Arc::new(rustls::crypto::ring::default_provider());
    let tls = rustls::ClientConfig::builder_with_provider(provider)
        .with_safe_default_protocol_versions()
        .unwrap()
        .with_root_certificates(rustls::RootCertStore::empty())
        .with_no_client_auth();
    reqwest::Client::builder().no_proxy().tls_backend_preconfigured(tls).build().unwrap()
}

fn submit(platform: &Platform, revision: u64, config: &config::Config) {
    let accepted = config::Accepted {
        by: "test".into(),
        config: std::sync::Arc::new(config.clone()),
        past: Vec::new(),
        revision: config::Revision(revision),
        submission: format!("submission-{revision}"),
    };
    platform.store().put("oleanderstage/config", &serde_json::to_vec(&accepted).unwrap());
}

fn zone() -> Name {
    name("zone-1")
}
