//! HTTP server of the stand-ins for the users' platform: its store and its workers.

use {
    super::*,
    http_body_util::{BodyExt, Full},
    hyper::{Request, Response, body::Incoming, http::request::Parts, service::service_fn},
    hyper_util::rt::TokioIo,
    serde_json::Value,
    std::convert::Infallible,
    tokio::net::TcpListener,
};

/// Serves every call at the listener in the background. `accept` is called for each connection and returns what
/// answers its calls, given the head of the request and its JSON body, or null if the body is not JSON.
pub(crate) fn serve<C, F, A>(listener: TcpListener, accept: C)
where
    C: Fn() -> F + Send + 'static,
    F: Fn(Parts, Value) -> A + Clone + Send + 'static,
    A: Future<Output = Response<Full<Bytes>>> + Send + 'static,
{
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            let answer = accept();
            let service = service_fn(move |request: Request<Incoming>| {
                let answer = answer.clone();
                async move {
                    let (parts, body) = request.into_parts();
                    let body = body.collect().await.map(|body| body.to_bytes()).unwrap_or_default();
                    let body = serde_json::from_slice(&body).unwrap_or_default();
                    Ok::<_, Infallible>(answer(parts, body).await)
                }
            });
            tokio::spawn(async move {
                // A client that disconnects ends the connection with an error.
                let _ = hyper::server::conn::http1::Builder::new()
                    .serve_connection(TokioIo::new(stream), service)
                    .await;
            });
        }
    });
}

/// Returns an answer with a JSON body.
pub(crate) fn respond(status: u16, body: &Value) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::new(Bytes::from(body.to_string())));
    *response.status_mut() = hyper::StatusCode::from_u16(status).unwrap_or_default();
    response
}
