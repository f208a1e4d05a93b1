//! Answers callers.

use {super::*, submit::Reply};

/// The most that is read of a body beyond its limit.
const DISCARDED_BYTES: usize = 256 << 10;

/// Answers one request.
pub(crate) async fn answer(
    node: Rc<Node>,
    request: Request<Incoming>,
) -> Result<Response<Full<Bytes>>, Infallible> {
    let mut response = route(&node, request).await;
    if node.leaving.get() {
        let close = hyper::header::HeaderValue::from_static("close");
        response.headers_mut().insert(hyper::header::CONNECTION, close);
    }
    Ok(response)
}

/// Answers the platform's readiness check.
pub(crate) async fn ready(
    node: Rc<Node>,
    request: Request<Incoming>,
) -> Result<Response<Full<Bytes>>, Infallible> {
    let ready = request.uri().path() == caller::READY_PATH && node.is_ready();
    let status = if ready { StatusCode::OK } else { StatusCode::SERVICE_UNAVAILABLE };
    Ok(reply(status, String::new()))
}

async fn route(node: &Rc<Node>, request: Request<Incoming>) -> Response<Full<Bytes>> {
    let Some(config) = node.config.borrow().clone() else {
        return respond(submit::not_run(node));
    };
    let path = request.uri().path().to_owned();
    let host = request
        .headers()
        .get(hyper::header::HOST)
        .and_then(|host| host.to_str().ok())
        .unwrap_or_default();
    let Some(queue) = config.queue(host, &path).cloned() else {
        return fault(StatusCode::NOT_FOUND, "no queue has this host and path");
    };
    let rest = &path[queue.prefix.len()..];
    if rest.is_empty() && request.method() == Method::GET {
        return pending(node, &queue);
    }
    let id: job::Id = match rest.parse() {
        Ok(id) => id,
        Err(error) => return fault(StatusCode::BAD_REQUEST, &format!("{error}")),
    };
    let method = request.method().clone();
    let asked = time::clock();
    let outcome = match method {
        Method::POST => {
            let Some(body) = whole(request.into_body(), config.body_limit_bytes).await else {
                let text = format!("the body is over {} bytes", config.body_limit_bytes);
                return fault(StatusCode::PAYLOAD_TOO_LARGE, &text);
            };
            let submission = match caller::submission(&body) {
                Ok(submission) => submission,
                Err(error) => return fault(StatusCode::BAD_REQUEST, &error.to_string()),
            };
            let record = job::Record {
                accepted_at_ms: asked.unix,
                queue: queue.name.clone(),
                submission,
                tasks: None,
                ticket: None,
            };
            submit::submit(node, &queue, id, record).await
        }
        Method::GET => submit::state(node, id).await,
        Method::DELETE => submit::cancel(node, id).await,
        _ => return fault(StatusCode::METHOD_NOT_ALLOWED, "use POST, GET or DELETE"),
    };
    let took_ms = time::now().saturating_sub(asked.now);
    node.meter.answered(&method, &outcome, took_ms);
    let heard_ms = time::now().saturating_sub(node.heard_at.get());
    log::info!(
        job:% = id, method = method.as_str(), queue = queue.name, config = config.version,
        outcome:? = outcome, took_ms, store_age_ms = heard_ms;
        "answered"
    );
    respond(outcome)
}

/// Reads a body, or `None` when it is over `limit` bytes or breaks off. What follows is read up to
/// a bound all the same: closing a connection with unread bytes could overtake the answer.
async fn whole(mut body: Incoming, limit: usize) -> Option<Vec<u8>> {
    let mut read = Vec::new();
    let mut total = 0;
    while let Some(frame) = body.frame().await {
        let Ok(part) = frame.ok()?.into_data() else { continue };
        total += part.len();
        if total <= limit {
            read.extend_from_slice(&part);
        } else if total > limit + DISCARDED_BYTES {
            return None;
        }
    }
    (total <= limit).then_some(read)
}

fn respond(outcome: Reply) -> Response<Full<Bytes>> {
    match outcome {
        Reply::Accepted | Reply::Cancelled => reply(StatusCode::OK, "{}".into()),
        Reply::Gone => fault(StatusCode::GONE, "no such job"),
        Reply::NotRun(after) => not_run(after),
        Reply::State(state) => reply(StatusCode::OK, caller::state(state)),
        Reply::Unknown => fault(StatusCode::GATEWAY_TIMEOUT, "the outcome is unknown; ask again"),
    }
}

fn pending(node: &Rc<Node>, queue: &Queue) -> Response<Full<Bytes>> {
    if time::now() > node.board_at.get() + node::LOST_AFTER_MS {
        return respond(submit::not_run(node));
    }
    reply(StatusCode::OK, caller::pending(node.board.borrow().pending(&queue.name)))
}

fn not_run(after: u64) -> Response<Full<Bytes>> {
    let mut response = fault(StatusCode::SERVICE_UNAVAILABLE, "not run; come back later");
    response.headers_mut().insert(hyper::header::RETRY_AFTER, after.into());
    response
}

fn fault(status: StatusCode, error: &str) -> Response<Full<Bytes>> {
    reply(status, serde_json::json!({"error": error}).to_string())
}

fn reply(status: StatusCode, body: String) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::new(Bytes::from(body)));
    *response.status_mut() = status;
    let json = hyper::header::HeaderValue::from_static("application/json");
    response.headers_mut().insert(hyper::header::CONTENT_TYPE, json);
    response
}
