//! Serves the callers' HTTP interface and the platform's readiness check.

use {super::*, hyper::body::Body as _, requests::Reply, unread::Unread};

/// The most bytes that are read and discarded of a body that is too long.
const MAX_DISCARDED_BYTES: usize = 256 << 10;
/// The longest time that is spent on that.
const DISCARD_TIMEOUT: Duration = Duration::from_millis(500);

/// Answers one request of a caller. While the process shuts down, the answer closes the connection. An error
/// closes it without an answer, which promises the caller nothing.
pub(crate) async fn answer(
    node: Rc<Node>,
    request: Request<Incoming>,
    connection: &Arc<Connection>,
) -> Result<Response<Full<Bytes>>, Unread> {
    let mut response = route(&node, request, connection).await?;
    if node.leaving.get() {
        let close = hyper::header::HeaderValue::from_static("close");
        response.headers_mut().insert(hyper::header::CONNECTION, close);
    }
    Ok(response)
}

/// Answers the platform's readiness check.
pub(crate) fn ready(node: &Node, request: &Request<Incoming>) -> Response<Full<Bytes>> {
    let ready = request.uri().path() == caller::READY_PATH && node.is_ready();
    let status = if ready { StatusCode::OK } else { StatusCode::SERVICE_UNAVAILABLE };
    json_response(status, String::new())
}

async fn route(
    node: &Rc<Node>,
    request: Request<Incoming>,
    connection: &Arc<Connection>,
) -> Result<Response<Full<Bytes>>, Unread> {
    let Some(config) = node.config.borrow().clone() else {
        return Ok(reply_response(requests::not_run(node)));
    };
    let path = request.uri().path().to_owned();
    let host = request
        .headers()
        .get(hyper::header::HOST)
        .and_then(|host| host.to_str().ok())
        .unwrap_or_default();
    let Some(queue) = config.queue(host, &path).cloned() else {
        return Ok(error_response(StatusCode::NOT_FOUND, "no queue has this host and path"));
    };
    let rest = &path[queue.prefix.len()..];
    if rest.is_empty() && request.method() == Method::GET {
        return Ok(pending(node, &queue));
    }
    let id: job::Id = match rest.parse() {
        Ok(id) => id,
        Err(error) => return Ok(error_response(StatusCode::BAD_REQUEST, &format!("{error}"))),
    };
    let method = request.method().clone();
    let received = time::clock();
    let reply = match method {
        Method::POST => {
            let limit = config.body_limit_bytes;
            let Some(body) = read_body(request, limit, connection).await? else {
                let text = format!("the body is over {limit} bytes");
                return Ok(too_large(&text));
            };
            let submission = match caller::submission(&body.concat()) {
                Ok(submission) => submission,
                Err(error) => {
                    return Ok(error_response(StatusCode::BAD_REQUEST, &error.to_string()));
                }
            };
            drop(body);
            let record = job::Record {
                crashes: Vec::new(),
                accepted_at_ms: received.unix,
                begun: false,
                declared: Some(queue.clone()),
                last_run: 0,
                progress: None,
                queue: queue.name.clone(),
                submission,
                tasks: None,
                ticket: None,
                unstarted: Default::default(),
            };
            requests::submit(node, &queue, id, record, connection).await
        }
        Method::GET => requests::state(node, id).await,
        Method::DELETE => requests::cancel(node, &queue, id).await,
        _ => {
            let text = "use POST, GET or DELETE";
            return Ok(error_response(StatusCode::METHOD_NOT_ALLOWED, text));
        }
    };
    let took_ms = time::now().saturating_sub(received.now);
    node.meter.answered(&method, &reply, took_ms);
    let store_age_ms = time::now().saturating_sub(node.store_answered_at.get());
    log::info!(
        job:% = id, method = method.as_str(), queue = queue.name, config = config.version,
        outcome:? = reply, took_ms, store_age_ms;
        "answered"
    );
    Ok(reply_response(reply))
}

/// Returns the body of a request, or `None` if it has more than `limit` bytes.
///
/// # Errors
///
/// The body did not arrive whole, or can't be held.
async fn read_body(
    request: Request<Incoming>,
    limit: usize,
    connection: &Arc<Connection>,
) -> Result<Option<Body>, Unread> {
    let expects_continue = request.headers().contains_key(hyper::header::EXPECT);
    let mut incoming = request.into_body();
    connection.enter(Phase::Receiving);
    let mut body = Body::new(connection.clone());
    if incoming.size_hint().lower() > limit as u64 {
        if !expects_continue {
            discard(&mut incoming).await;
        }
        connection.enter(Phase::Working);
        return Ok(None);
    }
    while let Some(frame) = incoming.frame().await {
        let Ok(part) = frame.map_err(Unread::Broken)?.into_data() else { continue };
        if body.len() + part.len() > limit {
            drop(body);
            discard(&mut incoming).await;
            connection.enter(Phase::Working);
            return Ok(None);
        }
        body.push(&part).map_err(Unread::Full)?;
    }
    connection.enter(Phase::Working);
    Ok(Some(body))
}

/// Reads the rest of a body that is too long, within limits: a connection that is closed with unread bytes may
/// be reset before the caller has read the answer.
async fn discard(incoming: &mut Incoming) {
    let reading = async {
        let mut total = 0;
        while total <= MAX_DISCARDED_BYTES
            && let Some(Ok(frame)) = incoming.frame().await
        {
            total += frame.data_ref().map_or(0, Bytes::len);
        }
    };
    // What is left then is cut off by the end of the connection.
    let _ = tokio::time::timeout(DISCARD_TIMEOUT, reading).await;
}

fn reply_response(reply: Reply) -> Response<Full<Bytes>> {
    match reply {
        Reply::Accepted | Reply::Cancelled => json_response(StatusCode::OK, "{}".into()),
        Reply::Gone => error_response(StatusCode::GONE, "no such job"),
        Reply::NotRun(retry_after_s) => not_run(retry_after_s),
        Reply::State(state) => json_response(StatusCode::OK, caller::state(state)),
        Reply::TooLarge => too_large("the job's record is larger than the store takes"),
        Reply::Unknown => {
            error_response(StatusCode::GATEWAY_TIMEOUT, "the outcome is unknown; ask again")
        }
        Reply::Withdrawn => error_response(
            StatusCode::SERVICE_UNAVAILABLE,
            "not run: this ID was cancelled; submit the job under another one",
        ),
    }
}

/// Answers with the number of waiting jobs of a queue, from the heads as last read.
fn pending(node: &Rc<Node>, queue: &Queue) -> Response<Full<Bytes>> {
    if time::now() > node.heads_read_at.get() + node::STORE_LOST_AFTER_MS {
        return reply_response(requests::not_run(node));
    }
    json_response(StatusCode::OK, caller::pending(node.balancer.borrow().pending(&queue.name)))
}

fn not_run(retry_after_s: u64) -> Response<Full<Bytes>> {
    let mut response = error_response(StatusCode::SERVICE_UNAVAILABLE, "not run; come back later");
    response.headers_mut().insert(hyper::header::RETRY_AFTER, retry_after_s.into());
    response
}

/// Refuses a body that is too large, and closes the connection: some of the body may be unread.
fn too_large(text: &str) -> Response<Full<Bytes>> {
    let mut response = error_response(StatusCode::PAYLOAD_TOO_LARGE, text);
    let close = hyper::header::HeaderValue::from_static("close");
    response.headers_mut().insert(hyper::header::CONNECTION, close);
    response
}

fn error_response(status: StatusCode, error: &str) -> Response<Full<Bytes>> {
    json_response(status, serde_json::json!({"error": error}).to_string())
}

fn json_response(status: StatusCode, body: String) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::new(Bytes::from(body)));
    *response.status_mut() = status;
    let json = hyper::header::HeaderValue::from_static("application/json");
    response.headers_mut().insert(hyper::header::CONTENT_TYPE, json);
    response
}
