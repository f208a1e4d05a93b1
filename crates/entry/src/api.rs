//! HTTP interface for callers, the load balancer and operators.

use super::*;
use {
    context::Context,
    jobs::Operation,
    refusal::{Reason, Refusal},
    reqwest::{Version, header::CONNECTION},
};

/// Dispatches each request by method and path.
pub(crate) struct Api {
    pub(crate) context: Arc<Context>,
}

/// Response to `GET /status`.
#[derive(Serialize)]
struct Status {
    cells: Vec<cells::Status>,
    name: Name,
    revision: Option<config::Revision>,
    schedulers: Vec<probes::Status>,
    state: oleanderstage_core::drain::State,
    vms: Vec<hosts::Status>,
    zone: Name,
}

/// Response to `GET /report`.
#[derive(Serialize)]
struct Report {
    burn: burn::Page,
    connections_retired: u64,
    services: Vec<counters::Summary>,
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
        let from = request.remote_addr().clone().into_std();
        let mut exchange = self.context.clients.begin(from);
        let path = request.uri().path().to_owned();
        let segments: Vec<&str> = path.split('/').skip(1).collect();
        let context = &self.context;
        match (request.method().as_str(), segments.as_slice()) {
            (_, ["services", _, ..]) => urgent::serve(context, exchange, request, response).await,
            ("POST", ["jobs"]) => jobs::submit(context, &mut exchange, request, response).await,
            ("GET", ["jobs", id]) => jobs::handle(context, Operation::Show, id, response).await,
            ("DELETE", ["jobs", id]) => {
                jobs::handle(context, Operation::Cancel, id, response).await
            }
            ("GET", ["jobs", id, "explain"]) => {
                jobs::handle(context, Operation::Explain, id, response).await
            }
            ("GET", ["health"]) => self.health(response),
            ("GET", ["status"]) => self.status(response),
            ("GET", ["report"]) => self.report(response),
            ("POST", ["drain"]) => self.drain(response),
            (method, _) => unknown_route(method, &path, response),
        }
        let is_last = self.context.clients.is_last(from);
        self.close_if_leaving(request.version(), is_last, response);
    }
}

impl Api {
    /// Asks an HTTP/1 caller to close its connection while the entry is leaving, so that no request
    /// is sent on a connection that the drain is about to close, and if others need its place. HTTP/2 has
    /// GOAWAY for the drain.
    fn close_if_leaving(&self, version: Version, is_last: bool, response: &mut Response) {
        let leaves = !self.context.drain.state().is_healthy();
        if version <= Version::HTTP_11 && (leaves || is_last) {
            response.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
        }
    }

    fn drain(&self, response: &mut Response) {
        self.context.drain.start();
        write_json(StatusCode::ACCEPTED, b"{}".to_vec(), response);
    }

    fn health(&self, response: &mut Response) {
        let ready = self.context.follower.current().is_some();
        let healthy = ready && self.context.drain.state().is_healthy();
        let status = if healthy { StatusCode::OK } else { StatusCode::SERVICE_UNAVAILABLE };
        write_json(status, b"{}".to_vec(), response);
    }

    fn report(&self, response: &mut Response) {
        let current = self.context.follower.current();
        let services = current.iter().flat_map(|current| &current.config.services);
        let report = Report {
            burn: self.context.counters.burn(self.context.clock.now(), services),
            connections_retired: self.context.counters.retired_generations(),
            services: self.context.counters.summaries(),
        };
        write_json(StatusCode::OK, serde_json::to_vec(&report).unwrap_or_default(), response);
    }

    fn status(&self, response: &mut Response) {
        let status = Status {
            cells: self.context.cells.statuses(),
            name: self.context.settings.name.clone(),
            revision: self.context.follower.current().map(|current| current.revision),
            schedulers: self.context.probes.statuses(),
            state: self.context.drain.state(),
            vms: self.context.hosts.statuses(),
            zone: self.context.settings.zone.clone(),
        };
        write_json(StatusCode::OK, serde_json::to_vec(&status).unwrap_or_default(), response);
    }
}

/// Writes a response with the JSON `body`.
pub(crate) fn write_json(status: StatusCode, body: Vec<u8>, response: &mut Response) {
    response.status_code(status);
    let json = HeaderValue::from_static("application/json");
    response.headers_mut().insert(reqwest::header::CONTENT_TYPE, json);
    response.body(ResBody::Once(body.into()));
}

fn unknown_route(method: &str, path: &str, response: &mut Response) {
    let text = format!("nothing answers `{method} {path}`: see docs/design/interfaces.md");
    Refusal::permanent(StatusCode::NOT_FOUND, Reason::UnknownName, text).write(response);
}
