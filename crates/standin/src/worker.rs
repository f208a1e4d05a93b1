//! A simulated worker and the endpoints on its VM.

use super::*;

/// Interval between two advances of the simulation.
const ADVANCE_INTERVAL: Duration = Duration::from_millis(10);
/// Maximum size of a request body.
const MAX_BODY_BYTES: usize = 64 << 20;
/// Header that carries a request's idempotency key.
const IDEMPOTENCY_KEY_HEADER: &str = "idempotency-key";
/// Value of the `retry-after` header of a refused request.
const RETRY_AFTER_SECONDS: &str = "1";

/// A simulated worker and the endpoints on its VM, on one address: commands and reports under
/// `/v1`, urgent requests under `/services`, faults at `POST /standin/faults`, the ledger at
/// `GET /standin/ledger`.
#[derive(Debug)]
pub struct Worker {
    advance_task: JoinHandle<()>,
    ledger: Ledger,
    simulation: Arc<Mutex<simulation::Simulation>>,
    server: server::Server,
}

/// HTTP handler of a worker.
struct Api {
    connections: connections::Connections,
    ledger: Ledger,
    simulation: Arc<Mutex<simulation::Simulation>>,
}

impl Worker {
    /// Returns the address it listens at.
    pub fn address(&self) -> SocketAddr {
        self.server.address
    }

    /// Returns whether no run and no urgent request is in progress.
    pub fn is_idle(&self) -> bool {
        lock(&self.simulation).is_idle()
    }

    /// Returns the ledger, with what ran here and on any other worker that shares it.
    pub fn ledger(&self) -> Ledger {
        self.ledger.clone()
    }

    /// Sets the fault in force.
    pub fn set_fault(&self, fault: faults::Fault) {
        set_fault(&self.simulation, &self.server.connections, fault);
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
        let simulation = simulation::Simulation::new(vm, behaviour, ledger.clone());
        let simulation = Arc::new(Mutex::new(simulation));
        let connections = connections::Connections::default();
        let api = Api {
            connections: connections.clone(),
            ledger: ledger.clone(),
            simulation: simulation.clone(),
        };
        let server = server::Server::start(address, limit, connections, api).await?;
        let advance_task = tokio::spawn(advance_periodically(simulation.clone()));
        Ok(Self { advance_task, ledger, simulation, server })
    }

    /// Stops as a killed process does: ends every run and closes every connection at once.
    pub async fn stop(&self) {
        self.advance_task.abort();
        self.server.stop().await;
        lock(&self.simulation).kill();
    }
}

impl Drop for Worker {
    fn drop(&mut self) {
        self.advance_task.abort();
    }
}

#[async_trait]
impl Handler for Api {
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
        self.wait_while_frozen().await;
        lock(&self.simulation).advance(Instant::now());
        let result = match path.strip_prefix("/services/") {
            Some(service_path) => {
                self.serve(service_path, request, response).await;
                Ok(())
            }
            None => self.answer(&path, request, response).await,
        };
        if let Err(error) = result {
            reply::error_text(response, StatusCode::BAD_REQUEST, &error);
        }
        self.wait_while_frozen().await;
    }
}

impl Api {
    async fn answer(
        &self,
        path: &str,
        request: &mut Request,
        response: &mut Response,
    ) -> Result<(), String> {
        match path {
            "/v1/commands" => {
                let batch = reply::read_json(request, MAX_BODY_BYTES).await?;
                match lock(&self.simulation).execute_batch(batch) {
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
                let report = lock(&self.simulation).report(&cell);
                reply::json(response, StatusCode::OK, &report);
            }
            _ => return Err(format!("`{path}` is not known here")),
        }
        Ok(())
    }

    async fn control(&self, path: &str, request: &mut Request, response: &mut Response) {
        match path {
            "/standin/faults" => match reply::read_json(request, MAX_BODY_BYTES).await {
                Ok(fault) => {
                    set_fault(&self.simulation, &self.connections, fault);
                    reply::json(response, StatusCode::OK, &fault);
                }
                Err(error) => reply::error_text(response, StatusCode::BAD_REQUEST, &error),
            },
            "/standin/ledger" => reply::json(response, StatusCode::OK, &self.ledger.record()),
            _ => reply::error_text(response, StatusCode::BAD_REQUEST, "no such control"),
        }
    }

    /// Runs an urgent request to its end, even if the caller disconnects: the work is a task of its
    /// own.
    async fn serve(&self, service_path: &str, request: &mut Request, response: &mut Response) {
        let id: String = request.header(outcome::REQUEST_HEADER).unwrap_or_default();
        let _ = response.add_header(outcome::REQUEST_HEADER, &id, true);
        let peer = request.remote_addr().clone().into_std();
        if peer.is_some_and(|peer| self.connections.is_excess(peer)) {
            let _ = response.add_header("connection", "close", true);
            return self.refuse(response, "no-connection");
        }
        let Ok(body) = request.payload_with_max_size(MAX_BODY_BYTES).await.cloned() else {
            return self.refuse(response, "bad-body");
        };
        let name = service_path.split('/').next().unwrap_or_default();
        let Ok(service) = Name::try_from(name) else {
            return self.refuse(response, "not-hosted");
        };
        let record = self.request_record(request, &id, service);
        let slot = lock(&self.simulation).start_slot(record, request.query("work_ms"));
        match slot {
            Err(reason) => self.refuse(response, reason),
            Ok(slot) => {
                let _ = tokio::spawn(occupy_slot(self.simulation.clone(), slot)).await;
                let mut echo = format!("{id}\n").into_bytes();
                echo.extend_from_slice(&body);
                response.status_code(StatusCode::OK);
                response.body(ResBody::Once(echo.into()));
            }
        }
    }

    fn request_record(&self, request: &Request, id: &str, service: Name) -> ledger::Request {
        let idempotent: Option<String> = request.header(outcome::IDEMPOTENT_HEADER);
        ledger::Request {
            end_us: None,
            idempotent: idempotent.is_none_or(|value| value == "true"),
            key: request.header(IDEMPOTENCY_KEY_HEADER),
            request: id.into(),
            service,
            start_us: clock::Clock::start().now(),
            vm: lock(&self.simulation).vm.name.clone(),
        }
    }

    /// Waits while the worker has the fault `Freeze`.
    async fn wait_while_frozen(&self) {
        while lock(&self.simulation).fault == faults::Fault::Freeze {
            tokio::time::sleep(ADVANCE_INTERVAL).await;
        }
    }

    fn refuse(&self, response: &mut Response, reason: &str) {
        self.ledger.count_refused_request();
        response.status_code(StatusCode::SERVICE_UNAVAILABLE);
        let not_run = outcome::Outcome::NotRun.as_str();
        let _ = response.add_header(outcome::HEADER, not_run, true);
        let _ = response.add_header(outcome::REASON_HEADER, reason, true);
        let _ = response.add_header("retry-after", RETRY_AFTER_SECONDS, true);
        response.body(ResBody::Once(Bytes::new()));
    }
}

async fn advance_periodically(simulation: Arc<Mutex<simulation::Simulation>>) {
    loop {
        tokio::time::sleep(ADVANCE_INTERVAL).await;
        lock(&simulation).advance(Instant::now());
    }
}

fn set_fault(
    simulation: &Mutex<simulation::Simulation>,
    connections: &connections::Connections,
    fault: faults::Fault,
) {
    if fault == faults::Fault::Silence {
        connections.silence();
    }
    let mut simulation = lock(simulation);
    simulation.advance(Instant::now());
    simulation.fault = fault;
}

/// Waits for the duration of the request and frees its slot.
async fn occupy_slot(simulation: Arc<Mutex<simulation::Simulation>>, slot: simulation::Slot) {
    tokio::time::sleep(slot.duration).await;
    lock(&simulation).end_slot(slot);
}
