//! The key-value service and the VM list on one address.

use super::*;

/// Interval at which a watch without changes sends an empty message.
pub const PROGRESS_INTERVAL: Duration = Duration::from_secs(5);
/// Interval between two checks for expired leases.
const EXPIRY_INTERVAL: Duration = Duration::from_millis(20);
/// Path of transactions, the writes that `Counters::lost_commits` counts.
const TXN_PATH: &str = "/v3/kv/txn";
/// Maximum size of a request body.
const MAX_BODY_BYTES: usize = 8 << 20;

/// The key-value service and the VM list on one address: the etcd v3 gateway under `/v3`, the VM
/// list at `/vms`, faults at `POST /standin/faults`, counters at `GET /standin/counters`.
#[derive(Debug)]
pub struct Platform {
    expiry_task: JoinHandle<()>,
    server: server::Server,
    store: Store,
    vms: Vms,
}

/// HTTP handler of the platform.
struct Gateway {
    store: Store,
    vms: Vms,
}

/// State of an open watch.
struct Subscription {
    /// Whether no message was sent yet. The first is sent at once, even without events.
    is_first: bool,
    revisions: watch::Receiver<i64>,
    /// The first revision that was not sent yet.
    next_revision: i64,
    /// Whether the watch is cancelled, because its changes are no longer kept.
    cancelled: bool,
    range: gateway::Range,
    store: Store,
}

impl Platform {
    /// Returns the address it listens at.
    pub fn address(&self) -> SocketAddr {
        self.server.address
    }

    /// Starts an empty platform at `address`.
    pub async fn start(address: SocketAddr) -> Result<Self, Error> {
        Self::start_with(address, Store::default(), Vms::default()).await
    }

    /// Starts a platform at `address` with the contents of `store` and `vms`.
    pub async fn start_with(address: SocketAddr, store: Store, vms: Vms) -> Result<Self, Error> {
        let gateway = Gateway { store: store.clone(), vms: vms.clone() };
        let connections = connections::Connections::default();
        let server = server::Server::start(address, usize::MAX, connections, gateway).await?;
        let expiry_task = tokio::spawn(expire_periodically(store.clone()));
        Ok(Self { expiry_task, server, store, vms })
    }

    /// Stops at once and closes every connection.
    pub async fn stop(&self) {
        self.expiry_task.abort();
        self.server.stop().await;
    }

    /// Returns the key-value service, also for its counters and faults.
    pub fn store(&self) -> &Store {
        &self.store
    }

    /// Returns the VM list.
    pub fn vms(&self) -> &Vms {
        &self.vms
    }
}

impl Drop for Platform {
    fn drop(&mut self) {
        self.expiry_task.abort();
    }
}

#[async_trait]
impl Handler for Gateway {
    async fn handle(
        &self,
        request: &mut Request,
        _: &mut Depot,
        response: &mut Response,
        _: &mut FlowCtrl,
    ) {
        let path = request.uri().path().to_owned();
        if path.starts_with("/standin/") {
            return self.control(&path, request, response).await;
        }
        let faults = self.store.faults();
        match faults.outage {
            faults::Outage::None => {}
            faults::Outage::Refusing => {
                let status = StatusCode::SERVICE_UNAVAILABLE;
                return reply::error_text(response, status, "the service is down");
            }
            faults::Outage::Silent => return std::future::pending().await,
        }
        self.answer(&path, request, response).await;
        tokio::time::sleep(Duration::from_millis(faults.slow_ms)).await;
    }
}

impl Gateway {
    async fn answer(&self, path: &str, request: &mut Request, response: &mut Response) {
        let call = match path {
            "/v3/kv/range" => store::Call::Read,
            "/v3/watch" => store::Call::Watch,
            "/vms" => return reply::json(response, StatusCode::OK, &self.vms.list()),
            _ => store::Call::Write,
        };
        if !self.store.admit(call) {
            let status = StatusCode::TOO_MANY_REQUESTS;
            return reply::error_text(response, status, "too many calls a second");
        }
        if let Err(error) = self.dispatch(path, request, response).await {
            return reply::error_text(response, StatusCode::BAD_REQUEST, &error);
        }
        let took_effect = response.status_code.is_none_or(|status| status.is_success());
        if call == store::Call::Write && took_effect && self.store.lose_answer(path == TXN_PATH) {
            reply::abort(response);
        }
    }

    async fn dispatch(
        &self,
        path: &str,
        request: &mut Request,
        response: &mut Response,
    ) -> Result<(), String> {
        match path {
            "/v3/kv/range" => {
                let range = reply::read_json(request, MAX_BODY_BYTES).await?;
                reply::json(response, StatusCode::OK, &self.store.range(&range));
            }
            TXN_PATH => {
                let txn = reply::read_json(request, MAX_BODY_BYTES).await?;
                respond(response, self.store.commit(txn));
            }
            "/v3/lease/grant" => {
                let body: gateway::Lease = reply::read_json(request, MAX_BODY_BYTES).await?;
                reply::json(response, StatusCode::OK, &self.store.grant(body.ttl.0));
            }
            "/v3/lease/keepalive" => {
                let body: gateway::Lease = reply::read_json(request, MAX_BODY_BYTES).await?;
                let result = self.store.keep_alive(body.id.0);
                reply::json(response, StatusCode::OK, &gateway::Streamed { result });
            }
            "/v3/lease/revoke" => {
                let body: gateway::Lease = reply::read_json(request, MAX_BODY_BYTES).await?;
                respond(response, self.store.revoke(body.id.0).map(|()| body));
            }
            "/v3/watch" => {
                let body: gateway::WatchRequest = reply::read_json(request, MAX_BODY_BYTES).await?;
                self.watch(body.create_request, response);
            }
            _ => return Err(format!("`{path}` is not known here")),
        }
        Ok(())
    }

    async fn control(&self, path: &str, request: &mut Request, response: &mut Response) {
        match path {
            "/standin/counters" => reply::json(response, StatusCode::OK, &self.store.counters()),
            "/standin/faults" => match reply::read_json(request, MAX_BODY_BYTES).await {
                Ok(faults) => {
                    self.store.set_faults(faults);
                    reply::json(response, StatusCode::OK, &faults);
                }
                Err(error) => reply::error_text(response, StatusCode::BAD_REQUEST, &error),
            },
            _ => reply::error_text(response, StatusCode::BAD_REQUEST, "no such control"),
        }
    }

    fn watch(&self, create: gateway::WatchCreate, response: &mut Response) {
        let next_revision = match create.start_revision.0 {
            0 => self.store.revision() + 1,
            from => from,
        };
        let subscription = Subscription {
            is_first: true,
            revisions: self.store.subscribe(),
            next_revision,
            cancelled: false,
            range: gateway::Range {
                key: create.key,
                keys_only: false,
                range_end: create.range_end,
            },
            store: self.store.clone(),
        };
        response.body(ResBody::stream(stream::unfold(subscription, Subscription::next_message)));
    }
}

impl Subscription {
    /// Waits for the next message; returns none at the end of the watch.
    async fn next_message(mut self) -> Option<(Result<Bytes, io::Error>, Self)> {
        loop {
            if self.cancelled || self.store.faults().outage == faults::Outage::Refusing {
                return None;
            }
            self.revisions.mark_unchanged();
            let answer = self.read_events();
            if self.is_first || self.cancelled || !answer.events.is_empty() {
                return Some(self.with_message(answer));
            }
            let change = tokio::time::timeout(PROGRESS_INTERVAL, self.revisions.changed()).await;
            if change.is_err() {
                return Some(self.with_message(answer));
            }
        }
    }

    fn with_message(mut self, answer: gateway::WatchAnswer) -> (Result<Bytes, io::Error>, Self) {
        self.is_first = false;
        (json_line(&gateway::Streamed { result: answer }), self)
    }

    fn read_events(&mut self) -> gateway::WatchAnswer {
        match self.store.events(&self.range, self.next_revision) {
            Err(compacted) => {
                self.cancelled = true;
                let compact_revision = Long(compacted);
                gateway::WatchAnswer { canceled: true, compact_revision, ..Default::default() }
            }
            Ok((events, next)) => {
                self.next_revision = self.next_revision.max(next);
                gateway::WatchAnswer { events, ..Default::default() }
            }
        }
    }
}

async fn expire_periodically(store: Store) {
    loop {
        tokio::time::sleep(EXPIRY_INTERVAL).await;
        store.expire();
    }
}

/// Returns the message as a line of JSON.
fn json_line(message: &impl Serialize) -> Result<Bytes, io::Error> {
    let mut line = serde_json::to_vec(message)?;
    line.push(b'\n');
    Ok(line.into())
}

/// Answers with the result of a call.
fn respond<T: Serialize>(response: &mut Response, result: Result<T, store::Refusal>) {
    match result {
        Ok(answer) => reply::json(response, StatusCode::OK, &answer),
        Err(store::Refusal::Invalid(text)) => {
            reply::error_text(response, StatusCode::BAD_REQUEST, &text);
        }
        Err(store::Refusal::NoLease) => {
            reply::error_text(response, StatusCode::NOT_FOUND, "requested lease not found");
        }
    }
}
