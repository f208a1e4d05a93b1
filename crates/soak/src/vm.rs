//! A VM of the system: its process, and a relay between the process and the store.

use super::*;

/// A VM, whose process is killed when dropped.
pub struct Vm {
    child: RefCell<Option<Child>>,
    /// Paths of the program, its settings and its log.
    paths: (PathBuf, PathBuf, PathBuf),
    /// Address at which callers connect.
    pub front: SocketAddr,
    /// When a fault other than a graceful stop last began or ended; a request that fails soon after
    /// that is no violation.
    pub disturbed_at: Cell<Option<Instant>>,
    paused: Cell<bool>,
    /// Relay between the VM and the store.
    pub store_relay: TcpRelay,
    /// When SIGTERM was first sent to the process that runs now.
    pub stop_requested_at: Cell<Option<Instant>>,
}

/// Ports of every VM; each VM has its own IP address.
const FRONT_PORT: u16 = 8_161;
const READY_PORT: u16 = 8_167;
/// The grace period of a VM, in seconds.
const GRACE_S: u64 = 6;

/// Number of runs in this process so far. With the process ID it gives each run its own loopback
/// addresses.
static RUN_COUNT: AtomicU32 = AtomicU32::new(0);
/// Number of values used of an octet.
const OCTET_VALUES: u32 = 250;

/// Returns the middle octets of a block of loopback addresses that other runs do not use.
pub(crate) fn address_block() -> (u8, u8) {
    let number = std::process::id() * 7 + RUN_COUNT.fetch_add(1, Ordering::Relaxed);
    ((1 + number / OCTET_VALUES % OCTET_VALUES) as u8, (number % OCTET_VALUES) as u8)
}

/// Returns the key of the entry of VM `number`.
pub(crate) fn entry_key(number: usize) -> String {
    format!("m/vm/vm-{number}")
}

impl Vm {
    /// Writes the settings of VM `number` and starts its process.
    pub async fn start(
        plan: &Plan,
        block: (u8, u8),
        number: usize,
        store: SocketAddr,
    ) -> miette::Result<Self> {
        let store_relay =
            TcpRelay::start(([127, 0, 0, 1], 0).into(), store).await.into_diagnostic()?;
        let (high, low) = block;
        let ip = Ipv4Addr::new(127, high, low, number as u8 + 1);
        let settings = format!(
            "node_name=vm-{number}\nzone=a\nip={ip}\nlisten.front={ip}:{FRONT_PORT}\n\
             listen.ready={ip}:{READY_PORT}\nplatform.address={}\nplatform.ttl_min_ms=1000\n\
             limits.cpu_share=0.5\nlimits.cores=1\nbounds.hold_max_ms=6000\n\
             bounds.stop_timeout_ms=400\nbounds.gang_timeout_ms=3000\nbounds.grace_s={GRACE_S}\nbounds.drain_ms={}\n\
             bounds.evacuate_ms={}\nheartbeat_ms=1500\n",
            store_relay.address,
            DRAIN_LIMIT.as_millis(),
            EVACUATION_LIMIT.as_millis()
        );
        let path = plan.directory.join(format!("vm-{number}.conf"));
        fs::write(&path, settings).into_diagnostic()?;
        let vm = Self {
            child: RefCell::new(None),
            paths: (plan.program.clone(), path, plan.directory.join(format!("vm-{number}.log"))),
            front: (ip, FRONT_PORT).into(),
            disturbed_at: Cell::new(None),
            paused: Cell::new(false),
            store_relay,
            stop_requested_at: Cell::new(None),
        };
        vm.spawn()?;
        Ok(vm)
    }

    /// Starts the process, if none runs.
    pub fn spawn(&self) -> miette::Result<()> {
        if self.is_running() {
            return Ok(());
        }
        let (program, settings, log) = &self.paths;
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
        self.stop_requested_at.set(None);
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

    /// Sends SIGTERM to the process. The grace period is that of the first one.
    pub fn request_stop(&self) {
        let first = self.stop_requested_at.get().unwrap_or_else(Instant::now);
        self.stop_requested_at.set(Some(first));
        self.signal(Signal::TERM);
    }

    /// Pauses the process with SIGSTOP, or resumes it with SIGCONT.
    pub fn pause(&self, paused: bool) {
        self.paused.set(paused);
        self.signal(if paused { Signal::STOP } else { Signal::CONT });
    }

    /// Records that a fault other than a graceful stop begins or ends.
    pub fn mark_disturbed(&self) {
        self.disturbed_at.set(Some(Instant::now()));
    }
}

impl Drop for Vm {
    fn drop(&mut self) {
        if let Some(child) = self.child.borrow_mut().as_mut() {
            // The process may have ended already.
            let _ = child.kill();
            let _ = child.wait();
        }
    }
}
