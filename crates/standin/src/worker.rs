//! A worker and the endpoints on its VM.

use super::*;

/// How often runs are looked at.
const ADVANCE_INTERVAL: Duration = Duration::from_millis(10);
/// The largest body, in bytes.
const MAX_BODY_BYTES: usize = 64 << 20;
/// Header that carries the key of an idempotent request.
const KEY_HEADER: &str = "idempotency-key";
/// When a refused request may come again, in seconds.
const RETRY_SECONDS: &str = "1";

/// A worker and the endpoints on its VM, on one address: commands and reports under `/v1`, urgent
/// requests under `/services`, faults at `POST /standin/faults`, what ran at `GET /standin/ledger`.
#[derive(Debug)]
pub struct Worker {
    advance: JoinHandle<()>,
    ledger: Ledger,
    machine: Arc<Mutex<machine::Machine>>,
    server: server::Server,
}

/// Answers calls to a worker.
struct Service {
    connections: connections::Connections,
    ledger: Ledger,
    machine: Arc<Mutex<machine::Machine>>,
}

impl Worker {
    /// Returns where it listens.
    pub fn address(&self) -> SocketAddr {
        self.server.address
    }

    /// Returns whether nothing runs.
    pub fn is_idle(&self) -> bool {
        lock(&self.machine).is_idle()
    }

    /// Returns what really ran here, and on any other worker that shares the ledger.
    pub fn ledger(&self) -> Ledger {
        self.ledger.clone()
    }

    /// Sets the fault in force.
    pub fn set_fault(&self, fault: faults::Fault) {
        set_fault(&self.machine, &self.server.connections, fault);
    }

    /// Starts a worker at the VM's address, with a ledger of its own.
    pub async fn start(vm: config::Vm, behaviour: Behaviour) -> Result<Self, Error> {
        Self::start_with(vm, behaviour, Ledger::default()).await
    }

    /// Starts a worker at the VM's address that writes to `ledger`.
    pub async fn start_with(
        vm: config::Vm,
        behaviour: Behaviour,
        ledger: Ledger,
    ) -> Result<Self, Error> {
        let (address, limit) = (vm.address, vm.connections as usize);
        let machine = machine::Machine::new(vm, behaviour, ledger.clone());
        let machine = Arc::new(Mutex::new(machine));
        let connections = connections::Connections::default();
        let service = Service {
            connections: connections.clone(),
            ledger: ledger.clone(),
            machine: machine.clone(),
        };
        let server = server::Server::start(address, limit, connections, service).await?;
        let advance = tokio::spawn(advance(machine.clone()));
        Ok(Self { advance, ledger, machine, server })
    }

    /// Stops as a killed process does: every run and connection is over at once.
    pub async fn stop(&self) {
        self.advance.abort();
        self.server.stop().await;
        lock(&self.machine).die();
    }
}

impl Drop for Worker {
    fn drop(&mut self) {
        self.advance.abort();
    }
}

#[async_trait]
impl Handler for Service {
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
        self.thaw().await;
        lock(&self.machine).advance(Instant::now());
        let result = match path.strip_prefix("/services/") {
            Some(rest) => {
                self.serve(rest, request, response).await;
                Ok(())
            }
            None => self.command(&path, request, response).await,
        };
        if let Err(error) = result {
            reply::error_text(response, StatusCode::BAD_REQUEST, &error);
        }
        self.thaw().await;
    }
}

impl Service {
    async fn command(
        &self,
        path: &str,
        request: &mut Request,
        response: &mut Response,
    ) -> Result<(), String> {
        match path {
            "/v1/commands" => {
                let batch = reply::read(request, MAX_BODY_BYTES).await?;
                match lock(&self.machine).carry_out(batch) {
                    Ok(report) => reply::json(response, StatusCode::OK, &report),
                    Err(highest) => {
                        let stale = StaleEpoch { error: "stale_epoch".into(), highest };
                        reply::json(response, StatusCode::CONFLICT, &stale);
                    }
                }
            }
            "/v1/report" => {
                let cell: String = request.query("cell").unwrap_or_default();
                let cell = cell.parse().map_err(|error: cell::Error| error.to_string())?;
                let report = lock(&self.machine).report(&cell);
                reply::json(response, StatusCode::OK, &report);
            }
            _ => return Err(format!("`{path}` is not known here")),
        }
        Ok(())
    }

    async fn control(&self, path: &str, request: &mut Request, response: &mut Response) {
        match path {
            "/standin/faults" => match reply::read(request, MAX_BODY_BYTES).await {
                Ok(fault) => {
                    set_fault(&self.machine, &self.connections, fault);
                    reply::json(response, StatusCode::OK, &fault);
                }
                Err(error) => reply::error_text(response, StatusCode::BAD_REQUEST, &error),
            },
            "/standin/ledger" => reply::json(response, StatusCode::OK, &self.ledger.record()),
            _ => reply::error_text(response, StatusCode::BAD_REQUEST, "no such control"),
        }
    }

    /// Runs an urgent request, even when its caller goes away meanwhile.
    async fn serve(&self, rest: &str, request: &mut Request, response: &mut Response) {
        let id: String = request.header(outcome::REQUEST_HEADER).unwrap_or_default();
        let _ = response.add_header(outcome::REQUEST_HEADER, &id, true);
        let peer = request.remote_addr().clone().into_std();
        if peer.is_some_and(|peer| self.connections.is_excess(peer)) {
            let _ = response.add_header("connection", "close", true);
            return self.turn_away(response, "no-connection");
        }
        let Ok(body) = request.payload_with_max_size(MAX_BODY_BYTES).await.cloned() else {
            return self.turn_away(response, "bad-body");
        };
        let name = rest.split('/').next().unwrap_or_default();
        let Ok(service) = Name::try_from(name) else {
            return self.turn_away(response, "not-hosted");
        };
        let entry = self.entry(request, &id, service);
        let slot = lock(&self.machine).start_slot(entry, request.query("work_ms"));
        match slot {
            Err(reason) => self.turn_away(response, reason),
            Ok(slot) => {
                let _ = tokio::spawn(work(self.machine.clone(), slot)).await;
                let mut echo = format!("{id}\n").into_bytes();
                echo.extend_from_slice(&body);
                response.status_code(StatusCode::OK);
                response.body(ResBody::Once(echo.into()));
            }
        }
    }

    fn entry(&self, request: &Request, id: &str, service: Name) -> ledger::Request {
        let idempotent: Option<String> = request.header(outcome::IDEMPOTENT_HEADER);
        ledger::Request {
            end_us: None,
            idempotent: idempotent.is_none_or(|value| value == "true"),
            key: request.header(KEY_HEADER),
            request: id.into(),
            service,
            start_us: clock::Clock::start().now(),
            vm: lock(&self.machine).vm.name.clone(),
        }
    }

    /// Waits while the worker is frozen.
    async fn thaw(&self) {
        while lock(&self.machine).fault == faults::Fault::Freeze {
            tokio::time::sleep(ADVANCE_INTERVAL).await;
        }
    }

    fn turn_away(&self, response: &mut Response, reason: &str) {
        self.ledger.turn_away();
        response.status_code(StatusCode::SERVICE_UNAVAILABLE);
        let not_run = outcome::Outcome::NotRun.as_str();
        let _ = response.add_header(outcome::HEADER, not_run, true);
        let _ = response.add_header(outcome::REASON_HEADER, reason, true);
        let _ = response.add_header("retry-after", RETRY_SECONDS, true);
        response.body(ResBody::Once(Bytes::new()));
    }
}

async fn advance(machine: Arc<Mutex<machine::Machine>>) {
    loop {
        tokio::time::sleep(ADVANCE_INTERVAL).await;
        lock(&machine).advance(Instant::now());
    }
}

fn set_fault(
    machine: &Mutex<machine::Machine>,
    connections: &connections::Connections,
    fault: faults::Fault,
) {
    if fault == faults::Fault::Silence {
        connections.silence();
    }
    let mut machine = lock(machine);
    machine.advance(Instant::now());
    machine.fault = fault;
}

async fn work(machine: Arc<Mutex<machine::Machine>>, slot: machine::Slot) {
    tokio::time::sleep(slot.work).await;
    lock(&machine).end_slot(slot);
}
