//! A whole system on loopback: the programs run as processes, the platform and the workers as
//! stand-ins in this process, with relays between them.

use super::*;

use {
    plan::{name, vm},
    process::Role,
    tcp_relay::TcpRelay,
    udp_relay::UdpRelay,
};

/// How long an awaited condition may take.
pub const TIMEOUT: Duration = Duration::from_secs(100);
/// Time between two checks of an awaited condition.
pub const POLL_INTERVAL: Duration = Duration::from_millis(25);
/// Key of the configuration in the key-value service.
const CONFIG_KEY: &str = "oleanderstage/config";
/// First port of each kind of listener, on the fleet's own loopback address; the index of a process
/// is added.
const ENTRY_HTTP_PORT: u16 = 8_000;
const ENTRY_QUIC_PORT: u16 = 8_100;
const ENTRY_RELAY_PORT: u16 = 8_200;
const SCHEDULER_QUIC_PORT: u16 = 8_300;
const SCHEDULER_RELAY_PORT: u16 = 8_400;

/// Number of fleets in this process so far, which gives each its own loopback address.
static FLEET_COUNT: AtomicU32 = AtomicU32::new(0);

/// A whole system on loopback, stopped when dropped.
#[derive(Debug)]
pub struct Fleet {
    /// Addresses at which callers reach the entries, by index.
    pub entry_addresses: Vec<SocketAddr>,
    /// Runs and requests at all workers.
    pub ledger: Ledger,
    /// The key-value service and the VM list.
    pub platform: Platform,
    /// Relays from each process, by its name, to the platform.
    pub store_relays: BTreeMap<Name, TcpRelay>,
    /// Relays to the workers.
    pub worker_relays: Vec<TcpRelay>,
    /// The workers.
    pub workers: Vec<Worker>,
    http: reqwest::Client,
    ip: IpAddr,
    tls: BTreeMap<Name, Tls>,
    plan: Plan,
    processes: BTreeMap<Name, Process>,
    quic_relays: BTreeMap<Name, UdpRelay>,
}

/// The part of an entry's `GET /status` that is used here.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(default)]
struct Status {
    /// Cells with an owner.
    cells: Vec<serde_json::Value>,
}

/// The part of an entry's `GET /report` that is used here.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(default)]
struct Report {
    /// Number of connection generations that were retired as silent.
    connections_retired: u64,
}

impl Fleet {
    /// Starts everything, and waits until every entry is healthy and has a cell with an owner.
    pub async fn start(plan: Plan) -> Result<Self, Error> {
        let mut fleet = Self::prepare(plan).await?;
        for index in 0..fleet.plan.schedulers {
            fleet.start_scheduler(index)?;
        }
        for index in 0..fleet.plan.entries {
            fleet.start_entry(index)?;
        }
        for index in 0..fleet.plan.entries {
            fleet.wait_ready(index).await?;
        }
        Ok(fleet)
    }

    /// Returns a caller of all entries.
    pub fn caller(&self) -> Result<Caller, Error> {
        Caller::new(&self.entry_addresses)
    }

    /// Waits until a scheduler owns a cell, and returns the scheduler's index.
    pub async fn wait_owner(&self) -> Result<u16, Error> {
        until("find the owner of a cell", async || self.find_owner().is_some()).await?;
        self.find_owner()
            .ok_or_else(|| Error::new("find the owner of a cell", "the cell lost its owner again"))
    }

    /// Returns the index of the scheduler that owns a cell now, if any.
    pub fn find_owner(&self) -> Option<u16> {
        let keys = self.platform.store().peek_all("oleanderstage/cells/");
        let (_, value) = keys.into_iter().find(|(key, _)| key.ends_with("/owner"))?;
        let text = String::from_utf8_lossy(&value);
        (0..self.plan.schedulers).find(|index| text.contains(&format!("scheduler-{index}")))
    }

    /// Returns the process called `name`, such as `entry-0`.
    pub fn process(&mut self, name: &str) -> Result<&mut Process, Error> {
        let missing = || Error::new(format!("find `{name}`"), "it was not started");
        self.processes.get_mut(&plan::name(name)).ok_or_else(missing)
    }

    /// Returns the relay of QUIC's datagrams to the process called `name`, such as `entry-0`.
    pub fn quic_relay(&self, name: &str) -> Option<&UdpRelay> {
        self.quic_relays.get(&plan::name(name))
    }

    /// Waits until the entry is healthy and has a cell with an owner.
    pub async fn wait_ready(&self, index: u16) -> Result<(), Error> {
        let address = self.entry_addresses[usize::from(index)];
        until(&format!("confirm that entry {index} is ready"), async || {
            self.is_ready(address).await
        })
        .await
    }

    /// Returns the number of connection generations that the entry has retired as silent; 0 if it
    /// does not answer.
    pub async fn connections_retired(&self, index: u16) -> u64 {
        let url = format!("http://{}/report", self.entry_addresses[usize::from(index)]);
        let Ok(response) = self.http.get(url).send().await else { return 0 };
        response.json().await.unwrap_or(Report::default()).connections_retired
    }

    /// Starts the entry, or replaces its process by a new one.
    pub fn start_entry(&mut self, index: u16) -> Result<(), Error> {
        let name = name(&format!("entry-{index}"));
        let settings = settings::Entry {
            http: self.address(ENTRY_HTTP_PORT + index),
            memory_mib: 0,
            metrics: None,
            name: name.clone(),
            peers: self.peers(Role::Entry, Some(index)),
            quic: self.address(ENTRY_QUIC_PORT + index),
            schedulers: self.peers(Role::Scheduler, None),
            store: self.store_address(&name),
            tls: self.tls[&name].clone(),
            vm_list: format!("{}/vms", self.store_address(&name)),
            zone: plan::name("zone-1"),
        };
        self.spawn(Role::Entry, name, &settings)
    }

    /// Starts the scheduler, or replaces its process by a new one.
    pub fn start_scheduler(&mut self, index: u16) -> Result<(), Error> {
        let name = name(&format!("scheduler-{index}"));
        let settings = settings::Scheduler {
            entries: self.peers(Role::Entry, None),
            metrics: None,
            name: name.clone(),
            peers: self.peers(Role::Scheduler, Some(index)),
            quic: self.address(SCHEDULER_QUIC_PORT + index),
            store: self.store_address(&name),
            tls: self.tls[&name].clone(),
            vm_list: format!("{}/vms", self.store_address(&name)),
            zone: plan::name("zone-1"),
        };
        self.spawn(Role::Scheduler, name, &settings)
    }

    /// Starts a stopped worker again at its address.
    pub async fn start_worker(&mut self, index: usize) -> Result<(), Error> {
        let address = self.workers[index].address();
        let vm = vm(index as u16, address);
        let ledger = self.ledger.clone();
        self.workers[index] = Worker::start_with(vm, self.plan.behaviour.clone(), ledger).await?;
        Ok(())
    }

    /// Writes `config` as the accepted configuration of `revision`, straight to the key-value
    /// service.
    pub fn write_config(&self, revision: u64, config: Config) -> Result<(), Error> {
        let accepted = Accepted {
            by: "proof".into(),
            config: Arc::new(config),
            past: Default::default(),
            revision: Revision(revision),
            submission: format!("proof-{revision}"),
        };
        self.platform.store().put(CONFIG_KEY, &serde_json::to_vec(&accepted)?);
        Ok(())
    }

    fn address(&self, port: u16) -> SocketAddr {
        SocketAddr::new(self.ip, port)
    }

    async fn is_ready(&self, address: SocketAddr) -> bool {
        let health = self.http.get(format!("http://{address}/health")).send().await;
        let status = self.http.get(format!("http://{address}/status")).send().await;
        let (Ok(health), Ok(status)) = (health, status) else { return false };
        let status: Status = status.json().await.unwrap_or_default();
        health.status().is_success() && !status.cells.is_empty()
    }

    /// Returns the processes of `role` at their relays' addresses, without the one at the index
    /// `excluded`.
    fn peers(&self, role: Role, excluded: Option<u16>) -> Vec<Peer> {
        let (text, port, count) = match role {
            Role::Entry => ("entry", ENTRY_RELAY_PORT, self.plan.entries),
            Role::Scheduler => ("scheduler", SCHEDULER_RELAY_PORT, self.plan.schedulers),
        };
        let peer = |index| Peer {
            address: self.address(port + index),
            name: name(&format!("{text}-{index}")),
            zone: name("zone-1"),
        };
        (0..count).filter(|index| Some(*index) != excluded).map(peer).collect()
    }

    /// Starts the stand-ins and the relays, and writes the configuration.
    async fn prepare(plan: Plan) -> Result<Self, Error> {
        let _ = fs::remove_dir_all(&plan.directory);
        fs::create_dir_all(&plan.directory)?;
        let ip = unique_ip();
        let any = SocketAddr::new(ip, 0);
        let vms = Vms::default();
        vms.set_lag(Duration::from_millis(500));
        let platform = Platform::start_with(any, Store::default(), vms).await?;
        let mut fleet = Self {
            entry_addresses: (0..plan.entries)
                .map(|index| SocketAddr::new(ip, ENTRY_HTTP_PORT + index))
                .collect(),
            http: client("entries", TIMEOUT)?,
            ip,
            tls: generate_keys(&plan)?,
            ledger: Ledger::default(),
            plan,
            platform,
            processes: BTreeMap::new(),
            quic_relays: BTreeMap::new(),
            store_relays: BTreeMap::new(),
            worker_relays: Vec::new(),
            workers: Vec::new(),
        };
        fleet.start_workers().await?;
        fleet.start_relays().await?;
        let addresses: Vec<_> = fleet.worker_relays.iter().map(|relay| relay.address).collect();
        fleet.write_config(1, fleet.plan.config(|index| addresses[usize::from(index)]))?;
        Ok(fleet)
    }

    fn spawn(&mut self, role: Role, name: Name, settings: &impl Serialize) -> Result<(), Error> {
        let Plan { directory, program, .. } = &self.plan;
        let process = Process::start(program, role, &name, directory, settings)?;
        self.processes.insert(name, process);
        Ok(())
    }

    async fn start_relays(&mut self) -> Result<(), Error> {
        let entries =
            (0..self.plan.entries).map(|index| ("entry", index, ENTRY_RELAY_PORT, ENTRY_QUIC_PORT));
        let schedulers = (0..self.plan.schedulers)
            .map(|index| ("scheduler", index, SCHEDULER_RELAY_PORT, SCHEDULER_QUIC_PORT));
        let all: Vec<_> = entries.chain(schedulers).collect();
        for (text, index, relay_port, quic_port) in all {
            let name = name(&format!("{text}-{index}"));
            let udp =
                UdpRelay::start(self.address(relay_port + index), self.address(quic_port + index))
                    .await?;
            let tcp = TcpRelay::start(self.address(0), self.platform.address()).await?;
            self.quic_relays.insert(name.clone(), udp);
            self.store_relays.insert(name, tcp);
        }
        Ok(())
    }

    async fn start_workers(&mut self) -> Result<(), Error> {
        for index in 0..self.plan.workers {
            let vm = vm(index, self.address(0));
            self.platform.vms().add(&vm.name);
            let ledger = self.ledger.clone();
            let worker = Worker::start_with(vm, self.plan.behaviour.clone(), ledger).await?;
            self.worker_relays.push(TcpRelay::start(self.address(0), worker.address()).await?);
            self.workers.push(worker);
        }
        Ok(())
    }

    fn store_address(&self, name: &Name) -> String {
        format!("http://{}", self.store_relays[name].address)
    }
}

/// Waits until `condition` returns true, at most `TIMEOUT`; an error names `step`.
pub async fn until(step: &str, condition: impl AsyncFn() -> bool) -> Result<(), Error> {
    let deadline = Instant::now() + TIMEOUT;
    while Instant::now() < deadline {
        if condition().await {
            return Ok(());
        }
        tokio::time::sleep(POLL_INTERVAL).await;
    }
    Err(Error::new(step, format!("the condition did not hold within {TIMEOUT:?}")))
}

/// Writes a certificate and a key for each process, and returns the paths by its name.
fn generate_keys(plan: &Plan) -> Result<BTreeMap<Name, Tls>, Error> {
    let entries = (0..plan.entries).map(|index| format!("entry-{index}"));
    let schedulers = (0..plan.schedulers).map(|index| format!("scheduler-{index}"));
    let names: Vec<Name> = entries.chain(schedulers).map(|text| name(&text)).collect();
    let set = keys::Set::generate(&names).map_err(|cause| Error::new("generate keys", cause))?;
    let authority = plan.directory.join("authority.pem");
    fs::write(&authority, &set.authority)?;
    let mut all = BTreeMap::new();
    for (name, pair) in names.into_iter().zip(set.pairs) {
        let certificate = plan.directory.join(format!("{name}.pem"));
        let key = plan.directory.join(format!("{name}.key"));
        fs::write(&certificate, pair.certificate)?;
        fs::write(&key, pair.key)?;
        all.insert(name, Tls { authority: authority.clone(), certificate, key });
    }
    Ok(all)
}

/// Returns a loopback address that no other fleet on this machine has.
fn unique_ip() -> IpAddr {
    let fleet = FLEET_COUNT.fetch_add(1, Ordering::Relaxed);
    let [.., high, low] = std::process::id().to_be_bytes();
    Ipv4Addr::new(127, 1 + (fleet % 250) as u8, high, low).into()
}
