//! What callers, the balancer and operators reach over HTTP.

use super::*;
use {
    jobs::Verb,
    node::Node,
    refusal::{Reason, Refusal},
    reqwest::{Version, header::CONNECTION},
};

/// Passes each request to the part that answers it.
pub(crate) struct Front {
    pub(crate) node: Arc<Node>,
}

/// What `GET /status` shows.
#[derive(Serialize)]
struct Status {
    cells: Vec<cells::Page>,
    name: Name,
    revision: Option<config::Revision>,
    schedulers: Vec<signs::Page>,
    state: oleanderstage_core::drain::State,
    vms: Vec<hosts::Page>,
    zone: Name,
}

/// What `GET /report` shows.
#[derive(Serialize)]
struct Report {
    burn: burn::Page,
    connections_retired: u64,
    services: Vec<counters::Page>,
}

#[async_trait]
impl Handler for Front {
    async fn handle(
        &self,
        request: &mut Request,
        _: &mut Depot,
        response: &mut Response,
        _: &mut FlowCtrl,
    ) {
        let path = request.uri().path().to_owned();
        let segments: Vec<&str> = path.split('/').skip(1).collect();
        let node = &self.node;
        match (request.method().as_str(), segments.as_slice()) {
            (_, ["services", _, ..]) => urgent::serve(node, request, response).await,
            ("POST", ["jobs"]) => jobs::submit(node, request, response).await,
            ("GET", ["jobs", id]) => jobs::ask(node, Verb::Show, id, response).await,
            ("DELETE", ["jobs", id]) => jobs::ask(node, Verb::Cancel, id, response).await,
            ("GET", ["jobs", id, "explain"]) => jobs::ask(node, Verb::Explain, id, response).await,
            ("GET", ["health"]) => self.health(response),
            ("GET", ["status"]) => self.status(response),
            ("GET", ["report"]) => self.report(response),
            ("POST", ["drain"]) => self.drain(response),
            (method, _) => no_such(method, &path, response),
        }
        self.close_if_leaving(request.version(), response);
    }
}

impl Front {
    /// Tells a caller on HTTP/1 to use another connection, so that none sends a request into the end
    /// of a drain; HTTP/2 has its own farewell.
    fn close_if_leaving(&self, version: Version, response: &mut Response) {
        if version <= Version::HTTP_11 && !self.node.drain.state().is_healthy() {
            response.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
        }
    }

    fn drain(&self, response: &mut Response) {
        self.node.drain.tell();
        write_json(StatusCode::ACCEPTED, b"{}".to_vec(), response);
    }

    fn health(&self, response: &mut Response) {
        let ready = self.node.follower.current().is_some();
        let healthy = ready && self.node.drain.state().is_healthy();
        let status = if healthy { StatusCode::OK } else { StatusCode::SERVICE_UNAVAILABLE };
        write_json(status, b"{}".to_vec(), response);
    }

    fn report(&self, response: &mut Response) {
        let current = self.node.follower.current();
        let services = current.iter().flat_map(|current| &current.config.services);
        let report = Report {
            burn: self.node.counters.burn(self.node.clock.now(), services),
            connections_retired: self.node.counters.generations_retired(),
            services: self.node.counters.pages(),
        };
        write_json(StatusCode::OK, serde_json::to_vec(&report).unwrap_or_default(), response);
    }

    fn status(&self, response: &mut Response) {
        let status = Status {
            cells: self.node.cells.pages(),
            name: self.node.settings.name.clone(),
            revision: self.node.follower.current().map(|current| current.revision),
            schedulers: self.node.signs.pages(),
            state: self.node.drain.state(),
            vms: self.node.hosts.pages(),
            zone: self.node.settings.zone.clone(),
        };
        write_json(StatusCode::OK, serde_json::to_vec(&status).unwrap_or_default(), response);
    }
}

/// Answers with JSON.
pub(crate) fn write_json(status: StatusCode, page: Vec<u8>, response: &mut Response) {
    response.status_code(status);
    let json = HeaderValue::from_static("application/json");
    response.headers_mut().insert(reqwest::header::CONTENT_TYPE, json);
    response.body(ResBody::Once(page.into()));
}

fn no_such(method: &str, path: &str, response: &mut Response) {
    let text = format!("nothing answers `{method} {path}`: see docs/design/interfaces.md");
    Refusal::never(StatusCode::NOT_FOUND, Reason::UnknownName, text).write(response);
}
