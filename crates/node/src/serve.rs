//! Listens for callers, for readiness checks and for readers of metrics.

use super::*;

/// What a listener serves.
#[derive(Clone, Copy, Debug)]
pub(crate) enum Purpose {
    Front,
    Metrics,
    Ready,
}

/// Accepts connections for good.
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
    let served = hyper::server::conn::http1::Builder::new()
        .max_buf_size(32 << 10)
        .serve_connection(TokioIo::new(stream), service)
        .await;
    if let Err(error) = served {
        log::debug!(error:% = error; "connection_ended");
    }
}
