//! HTTP listeners for callers, readiness checks and metrics.

use super::*;

/// The kind of requests that a listener serves.
#[derive(Clone, Copy, Debug)]
pub(crate) enum Purpose {
    Front,
    Metrics,
    Ready,
}

/// Maximum length of a request's head, in bytes.
const MAX_HEAD_BYTES: usize = 32 << 10;
/// The buffers of a connection in the kernel, in bytes for each direction.
const KERNEL_BUFFER_BYTES: u32 = 64 << 10;
/// Connections that wait to be accepted.
const BACKLOG: u32 = 1_024;
/// The shares of the listeners in the connections of clients, in percent, in the order of [`Purpose`].
const SHARES_PERCENT: [usize; 3] = [90, 5, 5];
/// Interval between two searches for connections that have waited too long for their clients.
const EXPIRY_INTERVAL: Duration = Duration::from_secs(1);

/// Returns what the clients of all listeners may make the process hold.
pub(crate) fn limit(boot: &Boot, policy: Policy) -> Limit {
    if !policy.intake {
        return Limit::none(SHARES_PERCENT.len());
    }
    let memory_bytes = (boot.memory_mib as usize) << 20;
    Limit::new(memory_bytes, boot.descriptors, &SHARES_PERCENT, requests::CALLER_TIMEOUT_MS)
}

/// Listens on an address. Connections have small buffers in the kernel: what it holds for clients that send
/// ahead or don't read counts against the VM's memory, too.
pub(crate) fn bind(address: SocketAddr) -> std::io::Result<TcpListener> {
    let socket = match address {
        SocketAddr::V4(_) => TcpSocket::new_v4()?,
        SocketAddr::V6(_) => TcpSocket::new_v6()?,
    };
    socket.set_reuseaddr(true)?;
    let buffers = [
        socket.set_recv_buffer_size(KERNEL_BUFFER_BYTES),
        socket.set_send_buffer_size(KERNEL_BUFFER_BYTES),
    ];
    for error in buffers.into_iter().filter_map(Result::err) {
        log::warn!(error:% = error; "buffer_size_failed");
    }
    socket.bind(address)?;
    socket.listen(BACKLOG)
}

/// Accepts connections until the process ends.
pub(crate) async fn listen(node: Rc<Node>, listener: TcpListener, purpose: Purpose) {
    loop {
        node.intake.settle().await;
        let stream = match listener.accept().await {
            Ok((stream, _)) => stream,
            Err(error) => {
                log::warn!(error:% = error; "accept_failed");
                sleep(Duration::from_millis(20)).await;
                continue;
            }
        };
        // Counted and logged by `expire`.
        let Ok(connection) = node.intake.open(purpose as usize) else { continue };
        if let Err(error) = stream.set_nodelay(true) {
            log::warn!(error:% = error; "nodelay_failed");
        }
        spawn_local(serve(node.clone(), stream, Arc::new(connection), purpose));
    }
}

/// Ends connections that have waited too long for their clients, and counts and logs all that were closed or
/// refused.
pub(crate) async fn expire(node: Rc<Node>) {
    loop {
        sleep(EXPIRY_INTERVAL).await;
        node.intake.expire();
        for (cause, count) in node.intake.take_ended() {
            let (connections, held_bytes) = node.intake.usage();
            node.meter.clients_ended(cause, count);
            log::warn!(cause = cause.name(), count, connections, held_bytes; "clients_ended");
        }
    }
}

/// Serves the requests of one connection.
async fn serve(
    node: Rc<Node>,
    stream: tokio::net::TcpStream,
    connection: Arc<Connection>,
    purpose: Purpose,
) {
    let socket = Socket::new(stream, connection.clone());
    let own = connection.clone();
    let service = service_fn(move |request| {
        let (node, connection) = (node.clone(), own.clone());
        async move {
            connection.enter(Phase::Working);
            let mut answer = match purpose {
                Purpose::Front => front::answer(node, request, &connection).await,
                Purpose::Metrics => Ok(Response::new(Full::new(Bytes::from(node.meter.text())))),
                Purpose::Ready => Ok(front::ready(&node, &request)),
            };
            if let Ok(response) = &mut answer
                && connection.is_last()
            {
                let close = hyper::header::HeaderValue::from_static("close");
                response.headers_mut().insert(hyper::header::CONNECTION, close);
            }
            connection.enter(Phase::Idle);
            answer
        }
    });
    let serving = hyper::server::conn::http1::Builder::new()
        .max_buf_size(MAX_HEAD_BYTES)
        .serve_connection(TokioIo::new(socket), service);
    tokio::select! {
        result = serving => {
            if let Err(error) = result {
                log::debug!(error:% = error; "connection_ended");
            }
        }
        () = connection.closed() => log::debug!("connection_closed"),
    }
}
