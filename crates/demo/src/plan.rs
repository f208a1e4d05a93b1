//! Addresses, keys and settings of the entries and the schedulers.

use super::*;

/// Addresses and keys of the entries and the schedulers.
#[derive(Debug)]
pub struct Plan {
    /// Name, QUIC address and zone of each entry.
    pub entries: Vec<Peer>,
    /// Folder of the certificates and keys.
    pub folder: PathBuf,
    /// Address of the platform's stand-in.
    pub platform: SocketAddr,
    /// Name, QUIC address and zone of each scheduler.
    pub schedulers: Vec<Peer>,
}

/// The running entries and schedulers.
#[derive(Debug)]
pub struct Programs {
    /// Addresses at which callers reach the entries.
    pub entries: Vec<SocketAddr>,
    /// One task for each program, which ends once the program has drained.
    pub tasks: Vec<JoinHandle<Result<()>>>,
}

impl Plan {
    /// Returns a plan with free addresses and the path of this process's folder.
    pub fn new(platform: SocketAddr) -> Result<Self> {
        let folder = std::env::temp_dir().join(format!("oleanderstage-demo-{}", process::id()));
        Ok(Self { entries: peers("entry")?, folder, platform, schedulers: peers("scheduler")? })
    }

    /// Starts every program. They drain and end when `shutdown` is cancelled.
    pub fn start(&self, shutdown: &CancellationToken) -> Result<Programs> {
        let (mut entries, mut tasks) = (Vec::new(), Vec::new());
        for scheduler in &self.schedulers {
            let (settings, shutdown) = (self.scheduler(scheduler), shutdown.clone());
            tasks.push(tokio::spawn(async move {
                oleanderstage_scheduler::serve(settings, shutdown).await.into_diagnostic()
            }));
        }
        for entry in &self.entries {
            let address = free_address()?;
            entries.push(address);
            let (settings, shutdown) = (self.entry(entry, address), shutdown.clone());
            tasks.push(tokio::spawn(async move {
                oleanderstage_entry::serve(settings, shutdown).await.into_diagnostic()
            }));
        }
        Ok(Programs { entries, tasks })
    }

    fn entry(&self, own: &Peer, http: SocketAddr) -> settings::Entry {
        settings::Entry {
            http,
            memory_mib: 0,
            metrics: None,
            name: own.name.clone(),
            peers: others(&self.entries, own),
            quic: own.address,
            schedulers: self.schedulers.clone(),
            store: format!("http://{}", self.platform),
            tls: self.tls(&own.name),
            vm_list: format!("http://{}/vms", self.platform),
            zone: own.zone.clone(),
        }
    }

    fn scheduler(&self, own: &Peer) -> settings::Scheduler {
        settings::Scheduler {
            entries: self.entries.clone(),
            metrics: None,
            name: own.name.clone(),
            peers: others(&self.schedulers, own),
            quic: own.address,
            store: format!("http://{}", self.platform),
            tls: self.tls(&own.name),
            vm_list: format!("http://{}/vms", self.platform),
            zone: own.zone.clone(),
        }
    }

    fn tls(&self, name: &Name) -> Tls {
        Tls {
            authority: self.folder.join("authority.pem"),
            certificate: self.folder.join(format!("{name}.pem")),
            key: self.folder.join(format!("{name}.key.pem")),
        }
    }

    /// Generates a certificate and a key for each program, and writes them to the folder.
    pub fn write_keys(&self) -> Result<()> {
        let programs = self.entries.iter().chain(&self.schedulers);
        let names: Vec<Name> = programs.map(|peer| peer.name.clone()).collect();
        let set = Set::generate(&names).into_diagnostic()?;
        fs::create_dir_all(&self.folder).into_diagnostic()?;
        fs::write(self.folder.join("authority.pem"), &set.authority).into_diagnostic()?;
        for (name, pair) in names.iter().zip(&set.pairs) {
            let tls = self.tls(name);
            fs::write(tls.certificate, &pair.certificate).into_diagnostic()?;
            fs::write(tls.key, &pair.key).into_diagnostic()?;
        }
        Ok(())
    }
}

/// Returns a loopback address whose TCP port is free. The programs also use the number as a UDP
/// port.
pub(crate) fn free_address() -> Result<SocketAddr> {
    let tcp = TcpListener::bind(("127.0.0.1", 0)).into_diagnostic()?;
    tcp.local_addr().into_diagnostic()
}

pub(crate) fn name(text: &str) -> Result<Name> {
    Name::try_from(text).into_diagnostic()
}

/// Returns the peers except `own`.
fn others(peers: &[Peer], own: &Peer) -> Vec<Peer> {
    peers.iter().filter(|peer| *peer != own).cloned().collect()
}

/// Returns two instances of the program, each in its own availability zone.
fn peers(program: &str) -> Result<Vec<Peer>> {
    let peer = |index| -> Result<Peer> {
        Ok(Peer {
            address: free_address()?,
            name: name(&format!("{program}-{index}"))?,
            zone: name(&format!("zone-{index}"))?,
        })
    };
    (0..2).map(peer).collect()
}
