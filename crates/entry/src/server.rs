//! A running entry: its servers and what runs beside them.

use super::*;
use {
    front::Front,
    node::{Node, Parts},
};

/// The longest head of a request, in bytes.
const MAX_HEAD_BYTES: usize = 32 << 10;
/// How long the head of a request may take.
const HEAD_LIMIT: Duration = Duration::from_secs(10);
/// A caller that takes nothing of its answer for this long is gone.
const WRITE_LIMIT: Duration = Duration::from_secs(30);
/// How often the VM list is read.
const VM_LIST_INTERVAL: Duration = Duration::from_millis(500);
/// Connections of callers, so that memory is bounded.
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
        let done = CancellationToken::new();
        let peers = settings.peers.iter().chain(&settings.schedulers);
        let links = peers.map(|peer| listener.link(&peer.name, peer.address)).collect();
        let follower = Follower::start(store.clone(), links, done.clone());
        let parts = Parts { follower, leave, listener: listener.clone(), settings, store };
        let node = Node::new(parts)?;
        let name = node.settings.name.to_string();
        log::info!(address = address.to_string(), name; "entry_started");
        let mut beside = JoinSet::new();
        beside.spawn(follow(node.clone()));
        beside.spawn(keys::drive(node.clone()));
        beside.spawn(peers::answer(node.clone(), listener.clone()));
        beside.spawn(watch_list(node.clone(), vms));
        for link in &node.schedulers {
            beside.spawn(peers::probe(node.clone(), link.clone()));
        }
        let running = Running { beside, done, http, listener, node };
        Ok(Self { address, server: tokio::spawn(running.run()) })
    }

    /// Returns where callers reach it.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Waits until it has drained.
    pub async fn wait(self) {
        if let Err(error) = self.server.await {
            log::error!(error = error.to_string(); "entry_failed");
        }
    }
}

struct Running {
    beside: JoinSet<()>,
    done: CancellationToken,
    http: TcpAcceptor,
    listener: Listener,
    node: Arc<Node>,
}

impl Running {
    async fn run(mut self) {
        let mut server =
            Server::new(self.http).fuse_config(limits()).max_connections(MAX_CONNECTIONS);
        server.http1_mut().max_buf_size(MAX_HEAD_BYTES);
        server.http2_mut().max_header_list_size(MAX_HEAD_BYTES as u32);
        let handle = server.handle();
        let front = Front { node: self.node.clone() };
        let router = Router::with_path("{**rest}").goal(front);
        let node = self.node.clone();
        let drain = async move {
            node.drain.closing().await;
            handle.stop_graceful(None);
        };
        let told = self.node.clone();
        let hand_over = async move {
            told.drain.told().await;
            keys::leave(&told).await;
        };
        tokio::join!(server.serve(router), drain, hand_over);
        self.node.drain.idle();
        self.done.cancel();
        self.beside.shutdown().await;
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

async fn follow(node: Arc<Node>) {
    let mut follower = node.follower.clone();
    if let Some(current) = follower.current() {
        node.apply(&current.config);
    }
    loop {
        let current = follower.changed().await;
        node.apply(&current.config);
    }
}

fn limits() -> FuseConfig {
    FuseConfig::default()
        .with_http1_header_timeout(HEAD_LIMIT)
        .with_request_body_timeout(body::STALL_LIMIT)
        .with_write_stall_timeout(WRITE_LIMIT)
}

async fn watch_list(node: Arc<Node>, client: vms::Client) {
    let mut ticks = tokio::time::interval(VM_LIST_INTERVAL);
    ticks.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    loop {
        ticks.tick().await;
        match client.list().await {
            Ok(vms) => node.apply_list(&vms),
            Err(error) => log::debug!(error = error.to_string(); "vm_list_unavailable"),
        }
    }
}
