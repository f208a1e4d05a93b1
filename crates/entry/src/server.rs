//! A running entry: its HTTP and QUIC servers and its background tasks.

use super::*;
use {
    acceptor::Acceptor,
    api::Api,
    clients::Clients,
    context::{Context, Parts},
};

/// Maximum length of a request's head, in bytes.
const MAX_HEAD_BYTES: usize = 32 << 10;
/// Longest time in which the head of a request must arrive.
const HEAD_TIMEOUT: Duration = Duration::from_secs(10);
/// Time after which a connection is closed if the caller reads nothing of its response.
const WRITE_TIMEOUT: Duration = Duration::from_secs(30);
/// Interval between reads of the VM list.
const VM_LIST_INTERVAL: Duration = Duration::from_millis(500);
/// Maximum connections of callers; bounds memory.
const MAX_CONNECTIONS: usize = 8_192;

/// A running entry.
pub struct Entry {
    address: SocketAddr,
    server: tokio::task::JoinHandle<()>,
}

/// Runs an entry until `leave` is cancelled and everything in progress has ended.
pub async fn serve(settings: settings::Entry, leave: CancellationToken) -> Result<(), Error> {
    Entry::start(settings, leave).await?.wait().await;
    Ok(())
}

impl Entry {
    /// Starts an entry; returns once its addresses are bound.
    pub async fn start(settings: settings::Entry, leave: CancellationToken) -> Result<Self, Error> {
        let tls = &settings.tls;
        let identity = Identity::read(&settings.name, &tls.authority, &tls.certificate, &tls.key)?;
        let listener = Listener::bind(settings.quic, &identity)?;
        let store = store::Client::new(&settings.store)?;
        let vms = vms::Client::new(&settings.vm_list)?;
        let (http, address) = bind(settings.http).await?;
        let shutdown = CancellationToken::new();
        let peers = settings.peers.iter().chain(&settings.schedulers);
        let links = peers.map(|peer| listener.link(&peer.name, peer.address)).collect();
        let follower = Follower::start(store.clone(), links, shutdown.clone());
        let parts = Parts { follower, leave, listener: listener.clone(), settings, store };
        let context = Context::new(parts)?;
        let name = context.settings.name.to_string();
        log::info!(address = address.to_string(), name; "entry_started");
        let mut tasks = JoinSet::new();
        tasks.spawn(follow(context.clone()));
        tasks.spawn(Clients::count(context.clone()));
        tasks.spawn(keys::drive(context.clone()));
        tasks.spawn(peers::serve(context.clone(), listener.clone()));
        tasks.spawn(poll_vm_list(context.clone(), vms));
        for link in &context.schedulers {
            tasks.spawn(peers::probe_scheduler(context.clone(), link.clone()));
        }
        let instance = Instance { tasks, shutdown, http, listener, context };
        Ok(Self { address, server: tokio::spawn(instance.run()) })
    }

    /// Returns the bound HTTP address.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Waits until the entry has drained.
    pub async fn wait(self) {
        if let Err(error) = self.server.await {
            log::error!(error = error.to_string(); "entry_failed");
        }
    }
}

/// The servers and tasks of an entry.
struct Instance {
    /// Background tasks, which are aborted at the end.
    tasks: JoinSet<()>,
    /// Stops the follower once the entry has drained.
    shutdown: CancellationToken,
    http: TcpAcceptor,
    listener: Listener,
    context: Arc<Context>,
}

impl Instance {
    /// Serves until the entry has drained, then stops the tasks.
    async fn run(mut self) {
        let clients = self.context.clients.clone();
        let acceptor = Acceptor { clients, inner: self.http };
        let mut server =
            Server::new(acceptor).fuse_config(timeouts()).max_connections(MAX_CONNECTIONS);
        server.http1_mut().max_buf_size(MAX_HEAD_BYTES);
        server.http2_mut().max_header_list_size(MAX_HEAD_BYTES as u32);
        let handle = server.handle();
        let api = Api { context: self.context.clone() };
        let router = Router::with_path("{**rest}").goal(api);
        let context = self.context.clone();
        let drain = async move {
            context.drain.wait_for_close().await;
            handle.stop_graceful(None);
        };
        let handover_context = self.context.clone();
        let hand_over = async move {
            handover_context.drain.wait_for_start().await;
            keys::leave(&handover_context).await;
        };
        tokio::join!(server.serve(router), drain, hand_over);
        self.context.drain.set_idle();
        self.shutdown.cancel();
        self.tasks.shutdown().await;
        self.listener.close().await;
    }
}

async fn bind(address: SocketAddr) -> Result<(TcpAcceptor, SocketAddr), Error> {
    let fail = |cause| Error::Bind { address, cause };
    let listener = TcpListener::bind(address).await.map_err(fail)?;
    let bound = listener.local_addr().map_err(fail)?;
    let acceptor = TcpAcceptor::try_from(listener).map_err(|e| fail(io::Error::other(e)))?;
    Ok((acceptor, bound))
}

/// Applies each configuration that comes into force.
async fn follow(context: Arc<Context>) {
    let mut follower = context.follower.clone();
    if let Some(current) = follower.current() {
        context.apply(&current.config);
    }
    loop {
        let current = follower.changed().await;
        context.apply(&current.config);
    }
}

fn timeouts() -> FuseConfig {
    FuseConfig::default()
        .with_http1_header_timeout(HEAD_TIMEOUT)
        .with_request_body_timeout(body::STALL_TIMEOUT)
        .with_write_stall_timeout(WRITE_TIMEOUT)
}

/// Reads the VM list at intervals and applies it.
async fn poll_vm_list(context: Arc<Context>, client: vms::Client) {
    let mut ticks = tokio::time::interval(VM_LIST_INTERVAL);
    ticks.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    loop {
        ticks.tick().await;
        match client.list().await {
            Ok(vms) => context.apply_vm_list(&vms),
            Err(error) => log::debug!(error = error.to_string(); "vm_list_unavailable"),
        }
    }
}
