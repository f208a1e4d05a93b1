//! HTTP listeners for callers, readiness checks and metrics.

use super::*;

/// The kind of requests that a listener serves.
#[derive(Clone, Copy, Debug)]
pub(crate) enum Purpose {
    Front,
    Metrics,
    Ready,
}

/// Accepts connections until the process ends.
pub(crate) async fn listen(node: Rc<Node>, listener: TcpListener, purpose: Purpose) {
    loop {
        let stream = match listener.accept().await {
            Ok((stream, _)) => stream,
            Err(error) => {
                log::warn!(error:% = error; "accept_failed");
                sleep(Duration::from_millis(20)).await;
                continue;
            }
        };
        if let Err(error) = stream.set_nodelay(true) {
            log::warn!(error:% = error; "nodelay_failed");
        }
        spawn_local(connection(node.clone(), stream, purpose));
    }
}

/// Serves the requests of one connection.
async fn connection(node: Rc<Node>, stream: tokio::net::TcpStream, purpose: Purpose) {
    let service = service_fn(move |request| {
        let node = node.clone();
        async move {
            match purpose {
                Purpose::Front => front::answer(node, request).await,
                Purpose::Metrics => Ok(Response::new(Full::new(Bytes::from(node.meter.text())))),
                Purpose::Ready => front::ready(node, request).await,
            }
        }
    });
    let result = hyper::server::conn::http1::Builder::new()
        .max_buf_size(32 << 10)
        .serve_connection(TokioIo::new(stream), service)
        .await;
    if let Err(error) = result {
        log::debug!(error:% = error; "connection_ended");
    }
}
