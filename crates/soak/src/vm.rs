//! A VM of the system: a process, with a relay on its way to the store.

use super::*;

/// A VM.
pub struct Vm {
    child: RefCell<Option<Child>>,
    command: (PathBuf, PathBuf, PathBuf),
    /// Where callers connect.
    pub front: SocketAddr,
    /// Since when something other than a graceful stop befell it; a request that fails then proves
    /// nothing.
    pub disturbed: Cell<Option<Instant>>,
    paused: Cell<bool>,
    /// The way to the store.
    pub relay: TcpRelay,
    /// When it was told to stop.
    pub stopping: Cell<Option<Instant>>,
}

/// Ports of a VM, each at its own address.
const FRONT_PORT: u16 = 8_161;
const READY_PORT: u16 = 8_167;
/// The grace period of a VM, in seconds.
const GRACE_S: u64 = 6;

/// Runs of this process, for loopback addresses that no two runs share.
static RUNS: AtomicU32 = AtomicU32::new(0);
/// Values of an octet that are used.
const OCTET: u32 = 250;

/// Returns a block of loopback addresses that other runs do not use, as its middle octets.
pub(crate) fn block() -> (u8, u8) {
    let number = std::process::id() * 7 + RUNS.fetch_add(1, Ordering::Relaxed);
    ((1 + number / OCTET % OCTET) as u8, (number % OCTET) as u8)
}

impl Vm {
    /// Writes the settings of a VM and starts its process.
    pub async fn start(
        plan: &Plan,
        block: (u8, u8),
        number: usize,
        store: SocketAddr,
    ) -> miette::Result<Self> {
        let relay = TcpRelay::start(([127, 0, 0, 1], 0).into(), store).await.into_diagnostic()?;
        let (high, low) = block;
        let ip = Ipv4Addr::new(127, high, low, number as u8 + 1);
        let settings = format!(
            "node_name=vm-{number}\nzone=a\nip={ip}\nlisten.front={ip}:{FRONT_PORT}\n\
             listen.ready={ip}:{READY_PORT}\nplatform.address={}\nplatform.ttl_min_ms=1000\n\
             limits.cpu_share=0.5\nlimits.cores=1\nbounds.hold_max_ms=6000\n\
             bounds.stop_timeout_ms=400\nbounds.gang_timeout_ms=3000\nbounds.grace_s={GRACE_S}\n\
             heartbeat_ms=1500\n",
            relay.address
        );
        let path = plan.directory.join(format!("vm-{number}.conf"));
        fs::write(&path, settings).into_diagnostic()?;
        let vm = Self {
            child: RefCell::new(None),
            command: (plan.program.clone(), path, plan.directory.join(format!("vm-{number}.log"))),
            front: (ip, FRONT_PORT).into(),
            disturbed: Cell::new(None),
            paused: Cell::new(false),
            relay,
            stopping: Cell::new(None),
        };
        vm.spawn()?;
        Ok(vm)
    }

    /// Starts the process, if none runs.
    pub fn spawn(&self) -> miette::Result<()> {
        if self.is_running() {
            return Ok(());
        }
        let (program, settings, log) = &self.command;
        let log = fs::File::options().append(true).create(true).open(log).into_diagnostic()?;
        let errors = log.try_clone().into_diagnostic()?;
        let child = Command::new(program)
            .arg("--settings")
            .arg(settings)
            .stdin(Stdio::null())
            .stdout(log)
            .stderr(errors)
            .spawn()
            .into_diagnostic()?;
        *self.child.borrow_mut() = Some(child);
        self.stopping.set(None);
        self.paused.set(false);
        Ok(())
    }

    /// Returns whether the process has not ended.
    pub fn is_running(&self) -> bool {
        let mut child = self.child.borrow_mut();
        child.as_mut().is_some_and(|child| matches!(child.try_wait(), Ok(None)))
    }

    /// Sends a signal to the process, if it runs.
    pub fn signal(&self, signal: Signal) {
        if !self.is_running() {
            return;
        }
        let id = self.child.borrow().as_ref().map(|child| child.id() as i32);
        if let Some(pid) = id.and_then(Pid::from_raw) {
            // The process may end at the same moment.
            let _ = kill_process(pid, signal);
        }
    }

    /// Pauses the process, or lets it go on.
    pub fn pause(&self, paused: bool) {
        self.paused.set(paused);
        self.signal(if paused { Signal::STOP } else { Signal::CONT });
    }

    /// Notes a fault other than a graceful stop.
    pub fn disturb(&self) {
        self.disturbed.set(Some(Instant::now()));
    }
}

impl Drop for Vm {
    fn drop(&mut self) {
        if let Some(child) = self.child.borrow_mut().as_mut() {
            // It may have ended already.
            let _ = child.kill();
            let _ = child.wait();
        }
    }
}
