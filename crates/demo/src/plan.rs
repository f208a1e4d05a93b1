//! Addresses, keys and settings of the entries and the schedulers.

use super::*;

/// Addresses and keys of the entries and the schedulers.
#[derive(Debug)]
pub struct Plan {
    /// The entries.
    pub entries: Vec<Peer>,
    /// Where the keys are.
    pub folder: PathBuf,
    /// Where the stand-in of the platform is.
    pub platform: SocketAddr,
    /// The schedulers.
    pub schedulers: Vec<Peer>,
}

/// The programs that were started.
#[derive(Debug)]
pub struct Started {
    /// Where callers reach the entries.
    pub entries: Vec<SocketAddr>,
    /// Each ends after its drain.
    pub programs: Vec<JoinHandle<Result<()>>>,
}

impl Plan {
    /// Chooses addresses and a folder.
    pub fn new(platform: SocketAddr) -> Result<Self> {
        let folder = std::env::temp_dir().join(format!("oleanderstage-demo-{}", process::id()));
        Ok(Self { entries: peers("entry")?, folder, platform, schedulers: peers("scheduler")? })
    }

    /// Starts every program, and returns where callers reach the entries.
    pub fn start(&self, leave: &CancellationToken) -> Result<Started> {
        let (mut entries, mut programs) = (Vec::new(), Vec::new());
        for scheduler in &self.schedulers {
            let (settings, leave) = (self.scheduler(scheduler), leave.clone());
            programs.push(tokio::spawn(async move {
                oleanderstage_scheduler::serve(settings, leave).await.into_diagnostic()
            }));
        }
        for entry in &self.entries {
            let address = free_address()?;
            entries.push(address);
            let (settings, leave) = (self.entry(entry, address), leave.clone());
            programs.push(tokio::spawn(async move {
                oleanderstage_entry::serve(settings, leave).await.into_diagnostic()
            }));
        }
        Ok(Started { entries, programs })
    }

    fn entry(&self, own: &Peer, http: SocketAddr) -> settings::Entry {
        settings::Entry {
            http,
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

    /// Writes a fresh set of keys.
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

/// Returns an address of this machine that nothing listens on, for TCP and UDP.
pub(crate) fn free_address() -> Result<SocketAddr> {
    let tcp = TcpListener::bind(("127.0.0.1", 0)).into_diagnostic()?;
    tcp.local_addr().into_diagnostic()
}

pub(crate) fn name(text: &str) -> Result<Name> {
    Name::try_from(text).into_diagnostic()
}

fn others(peers: &[Peer], own: &Peer) -> Vec<Peer> {
    peers.iter().filter(|peer| *peer != own).cloned().collect()
}

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
