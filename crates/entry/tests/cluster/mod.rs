//! A test cluster: entries, stand-in workers and a stand-in platform in one process, on loopback.

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

/// Longest time that a test waits for a condition.
pub(crate) const WAIT_TIMEOUT: Duration = Duration::from_secs(60);

/// Time for which the map of keys must be unchanged to count as settled; new owners have collected
/// the records by then.
const KEYS_STABLE_TIME: Duration = Duration::from_millis(4_000);

/// A running test cluster.
pub(crate) struct Cluster {
    pub(crate) entries: Vec<Process>,
    pub(crate) http: reqwest::Client,
    pub(crate) ledger: Ledger,
    pub(crate) platform: Platform,
    pub(crate) workers: Vec<Worker>,
    settings: Vec<settings::Entry>,
}

/// A running entry.
pub(crate) struct Process {
    pub(crate) address: SocketAddr,
    pub(crate) leave: CancellationToken,
    pub(crate) serving: tokio::task::JoinHandle<()>,
    /// A runtime of its own, so that the entry can be killed without the others.
    runtime: Option<tokio::runtime::Runtime>,
}

impl Drop for Process {
    fn drop(&mut self) {
        self.kill();
    }
}

impl Process {
    /// Stops the entry abruptly, as if its process was killed.
    pub(crate) fn kill(&mut self) {
        if let Some(runtime) = self.runtime.take() {
            runtime.shutdown_background();
        }
    }
}

/// What a test needs that runs the entry as a process of its own.
pub(crate) struct Client {
    pub(crate) address: SocketAddr,
    pub(crate) http: reqwest::Client,
    /// The file of the entry's settings.
    pub(crate) settings: PathBuf,
    _platform: Platform,
    _workers: Vec<Worker>,
}

/// Configuration of a test cluster.
pub(crate) struct Builder {
    behaviour: Behaviour,
    entries: usize,
    folder: &'static str,
    service: config::Service,
    slots: u32,
    workers: usize,
}

/// A response as seen by a caller.
#[derive(Debug)]
pub(crate) struct Response {
    pub(crate) body: String,
    pub(crate) outcome: String,
    pub(crate) reason: String,
    pub(crate) retry_after: String,
    pub(crate) status: u16,
}

pub(crate) fn name(text: &str) -> Name {
    Name::try_from(text).unwrap()
}

impl Builder {
    /// Returns the configuration of one entry and one worker. `folder` holds the TLS keys and must be
    /// unique to the test.
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

    /// Starts the cluster, and waits until each entry has its configuration.
    pub(crate) async fn start(self) -> Cluster {
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
        let http = http_client();
        let mut cluster = Cluster { entries: vec![], http, ledger, platform, workers, settings };
        for index in 0..self.entries {
            let process = cluster.run(index).await;
            cluster.entries.push(process);
        }
        for index in 0..self.entries {
            cluster.until_healthy(index).await;
        }
        cluster
    }

    /// Starts everything but the entry, whose settings are written to a file.
    pub(crate) async fn start_without_entries(self) -> Client {
        let folder = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(self.folder);
        let mut cluster = Self { entries: 0, ..self }.start().await;
        let builder = Self { entries: 1, ..Self::new(self.folder) };
        let mut settings = builder.settings(&cluster.platform).remove(0);
        let address = std::net::TcpListener::bind("127.0.0.1:0").unwrap().local_addr().unwrap();
        settings.http = address;
        let path = folder.join("entry.json");
        fs::write(&path, serde_json::to_vec(&settings).unwrap()).unwrap();
        let workers = std::mem::take(&mut cluster.workers);
        let Cluster { http, platform, .. } = cluster;
        Client { address, http, settings: path, _platform: platform, _workers: workers }
    }

    fn settings(&self, platform: &Platform) -> Vec<settings::Entry> {
        let names: Vec<Name> = (0..self.entries).map(|i| name(&format!("entry-{i}"))).collect();
        let set = keys::Set::generate(&names).unwrap();
        let folder = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(self.folder);
        fs::create_dir_all(&folder).unwrap();
        let peers: Vec<settings::Peer> = names
            .iter()
            .map(|name| settings::Peer {
                address: free_udp_address(),
                name: name.clone(),
                zone: zone(),
            })
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
                memory_mib: 0,
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

impl Cluster {
    pub(crate) fn url(&self, entry: usize, path: &str) -> String {
        format!("http://{}{path}", self.entries[entry].address)
    }

    pub(crate) fn post(&self, entry: usize, path: &str, body: &str) -> reqwest::RequestBuilder {
        self.http.post(self.url(entry, path)).body(body.to_owned())
    }

    /// Returns the record of the requests that the workers executed.
    pub(crate) fn executed(&self) -> Record {
        self.ledger.record()
    }

    /// Starts entry `index` again, as a new process.
    pub(crate) async fn restart(&mut self, index: usize) {
        self.entries[index] = self.run(index).await;
        self.until_healthy(index).await;
    }

    pub(crate) fn submit(&self, revision: u64, config: &config::Config) {
        submit(&self.platform, revision, config);
    }

    pub(crate) async fn until_healthy(&self, entry: usize) {
        until(async || {
            let response = self.http.get(self.url(entry, "/health")).send().await;
            response.is_ok_and(|response| response.status().is_success())
        })
        .await;
    }

    /// Waits until `count` entries own all partitions of the keys and the map no longer changes.
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
            settled && since.elapsed() > KEYS_STABLE_TIME
        })
        .await;
    }

    /// Returns the index of the entry that owns `key`, as sent to the service by an unnamed caller.
    pub(crate) fn owner_of(&self, key: &str) -> usize {
        let map = self.platform.store().peek("oleanderstage/keys/map").unwrap();
        let map: Map = serde_json::from_slice(&map).unwrap();
        let id = Id::new("", &name("site"), key);
        let owner = &map.owner(id.partition()).unwrap().name;
        owner.as_str().rsplit('-').next().unwrap().parse().unwrap()
    }

    async fn run(&self, index: usize) -> Process {
        let leave = CancellationToken::new();
        let mut builder = tokio::runtime::Builder::new_multi_thread();
        let runtime = builder.worker_threads(2).enable_all().build().unwrap();
        let mut entry = None;
        until(async || {
            let start = Entry::start(self.settings[index].clone(), leave.clone());
            entry = runtime.spawn(start).await.unwrap().ok();
            entry.is_some()
        })
        .await;
        let entry = entry.unwrap();
        let address = entry.address();
        let serving = runtime.spawn(entry.wait());
        Process { address, leave, runtime: Some(runtime), serving }
    }
}

/// Sends the request and reads the whole answer.
pub(crate) async fn send(request: reqwest::RequestBuilder) -> Response {
    let response = request.send().await.unwrap();
    let header = |name: &str| {
        response.headers().get(name).map_or("", |value| value.to_str().unwrap()).to_owned()
    };
    let (outcome, reason) = (header(outcome::HEADER), header(outcome::REASON_HEADER));
    let (retry_after, status) = (header("retry-after"), response.status().as_u16());
    let body = response.text().await.unwrap();
    Response { body, outcome, reason, retry_after, status }
}

/// Waits until `condition` holds.
pub(crate) async fn until(mut condition: impl AsyncFnMut() -> bool) {
    let waiting = async {
        while !condition().await {
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
    };
    tokio::time::timeout(WAIT_TIMEOUT, waiting).await.expect("the condition holds in time");
}

pub(crate) fn loopback() -> SocketAddr {
    "127.0.0.1:0".parse().unwrap()
}

fn free_udp_address() -> SocketAddr {
    std::net::UdpSocket::bind("127.0.0.1:0").unwrap().local_addr().unwrap()
}

fn http_client() -> reqwest::Client {
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
