//! Urgent requests: admission, attempts, and the answer or refusal to the caller.

use super::*;
use {
    attempt::{Admitted, Attempts},
    body::Body,
    inbound::Inbound,
    keyed::{Keyed, Outcome},
    node::Node,
    oleanderstage_core::request::Id,
    refusal::{Reason, Refusal},
    service::Service,
    ticket::Ticket,
};

/// Answers one urgent request.
pub(crate) async fn serve(node: &Arc<Node>, request: &mut Request, response: &mut Response) {
    let id = Id(uuid::Uuid::new_v4().as_u128());
    let inbound = match Inbound::try_from(&*request) {
        Ok(inbound) => inbound,
        Err(refusal) => return refusal.write(response),
    };
    let service = inbound.service.clone();
    let answer = match admit(node, id, inbound) {
        Ok(admitted) => run(node, admitted, request.take_body()).await,
        Err(refusal) => Outcome::Refused(refusal),
    };
    match answer {
        Outcome::Answered(answer, id) => answer.write(id, response),
        Outcome::Refused(refusal) => {
            if node.service(&service).is_some() {
                node.counters.refused(node.clock.now(), &service, &refusal);
            }
            let (outcome, reason) = (refusal.outcome.as_str(), refusal.reason.as_str());
            let service = service.to_string();
            log::info!(request = id.to_string(), service, outcome, reason; "request_refused");
            refusal.write(response);
        }
    }
}

/// Admits a request, or refuses it for good before anything of it is sent.
fn admit(node: &Arc<Node>, id: Id, inbound: Inbound) -> Result<Admitted, Refusal> {
    let service = find(node, &inbound.service)?;
    let started = node.clock.now();
    let configured = Duration::from_millis(service.config.deadline_ms);
    let left = inbound.deadline.map_or(configured, |deadline| deadline.min(configured));
    let ticket = Ticket::admit(&service.state, &inbound.caller, left).map_err(|refusal| {
        let text = format!("service `{}` can't take this request now", inbound.service);
        Refusal::later(refusal.reason.into(), refusal.retry_after, text)
    })?;
    lock(&service.state.budget).earn();
    Ok(Admitted { deadline: started + left, id, inbound, service, started, ticket })
}

fn find(node: &Arc<Node>, name: &Name) -> Result<Arc<Service>, Refusal> {
    if !node.drain.state().accepts_requests() {
        let text = "this entry is leaving: send the request again, to another entry";
        return Err(Refusal::later(Reason::Leaving, Duration::ZERO, text));
    }
    if let Some(service) = node.service(name) {
        return Ok(service);
    }
    if node.follower.current().is_none() {
        let text = "this entry has learned no configuration yet: come back later";
        return Err(Refusal::later(Reason::NoConfiguration, Duration::from_secs(1), text));
    }
    let text = format!("no service `{name}` is configured: check the name, or submit one");
    Err(Refusal::never(StatusCode::NOT_FOUND, Reason::UnknownName, text))
}

async fn run(node: &Arc<Node>, admitted: Admitted, body: ReqBody) -> Outcome {
    let (id, key) = (admitted.id, admitted.inbound.key.clone());
    let limit = admitted.service.config.body_limit_bytes;
    let (limit, hold) = match key {
        Some(_) => (limit.min(keyed::MAX_BODY_BYTES as u64), keyed::MAX_BODY_BYTES),
        None => (limit, body::HELD_BYTES),
    };
    let reading = Body::read(body, admitted.inbound.length, limit, hold);
    let deadline = node.clock.timer(admitted.deadline);
    let body = match tokio::time::timeout_at(deadline, reading).await {
        Ok(Ok(body)) => body,
        Ok(Err(refusal)) => return Outcome::Refused(refusal),
        Err(_) => return Outcome::Refused(body::stalled("the deadline passed")),
    };
    if let (Some(key), Body::Held(bytes)) = (&key, &body) {
        return Keyed::new(node, admitted, key, bytes.clone()).run().await;
    }
    match Attempts::new(node, admitted, body).run().await {
        Ok(answer) => Outcome::Answered(answer, id),
        Err(refusal) => Outcome::Refused(refusal),
    }
}
