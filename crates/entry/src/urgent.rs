//! Urgent requests: admission, and the answer or refusal to the caller.

use super::*;
use {
    attempt::{Admission, Attempts},
    body::Body,
    clients::Exchange,
    context::Context,
    head::Head,
    keyed::{KeyedRequest, Resolution},
    oleanderstage_core::request::Id,
    refusal::{Reason, Refusal},
    service::Service,
    ticket::Ticket,
};

/// Handles one urgent request.
pub(crate) async fn serve(
    context: &Arc<Context>,
    mut exchange: Exchange,
    request: &mut Request,
    response: &mut Response,
) {
    let id = Id(uuid::Uuid::new_v4().as_u128());
    let head = match Head::try_from(&*request) {
        Ok(head) => head,
        Err(refusal) => return refusal.write(response),
    };
    let service = head.service.clone();
    let resolution = match admit(context, id, head) {
        Ok(admission) => run(context, &mut exchange, admission, request.take_body()).await,
        Err(refusal) => Resolution::Refused(refusal),
    };
    match resolution {
        Resolution::Answered(answer, id) => answer.held_by(exchange).write(id, response),
        Resolution::Refused(refusal) => {
            if context.service(&service).is_some() {
                context.counters.count_refusal(context.clock.now(), &service, &refusal);
            }
            let (outcome, reason) = (refusal.outcome.as_str(), refusal.reason.as_str());
            let service = service.to_string();
            log::info!(request = id.to_string(), service, outcome, reason; "request_refused");
            refusal.write(response);
        }
    }
}

/// Admits a request, or refuses it before anything is sent to an endpoint.
fn admit(context: &Arc<Context>, id: Id, head: Head) -> Result<Admission, Refusal> {
    let service = find_service(context, &head.service)?;
    let started = context.clock.now();
    let configured = Duration::from_millis(service.config.deadline_ms);
    let time_left = head.deadline.map_or(configured, |deadline| deadline.min(configured));
    let ticket = Ticket::admit(&service.state, &head.caller, time_left).map_err(|refusal| {
        let text = format!("service `{}` can't take this request now", head.service);
        Refusal::retryable(refusal.reason.into(), refusal.retry_after, text)
    })?;
    lock(&service.state.budget).earn();
    Ok(Admission { deadline: started + time_left, id, head, service, started, ticket })
}

/// Returns the service of that name, unless this entry is leaving.
fn find_service(context: &Arc<Context>, name: &Name) -> Result<Arc<Service>, Refusal> {
    if !context.drain.state().accepts_requests() {
        let text = "this entry is leaving: send the request again, to another entry";
        return Err(Refusal::retryable(Reason::Leaving, Duration::ZERO, text));
    }
    if let Some(service) = context.service(name) {
        return Ok(service);
    }
    if context.follower.current().is_none() {
        let text = "this entry has learned no configuration yet: come back later";
        return Err(Refusal::retryable(Reason::NoConfiguration, Duration::from_secs(1), text));
    }
    let text = format!("no service `{name}` is configured: check the name, or submit one");
    Err(Refusal::permanent(StatusCode::NOT_FOUND, Reason::UnknownName, text))
}

/// Reads the body and runs the request, under its idempotency key if it has one.
async fn run(
    context: &Arc<Context>,
    exchange: &mut Exchange,
    admission: Admission,
    body: ReqBody,
) -> Resolution {
    let (id, key) = (admission.id, admission.head.key.clone());
    let limit = admission.service.config.body_limit_bytes;
    let (limit, buffer_limit) = match key {
        Some(_) => (limit.min(keyed::MAX_BODY_BYTES as u64), keyed::MAX_BODY_BYTES),
        None => (limit, body::MAX_BUFFERED_BYTES),
    };
    let mut held = exchange.receive();
    let reading = Body::read(body, admission.head.length, limit, buffer_limit, &mut held);
    let deadline = context.clock.tokio_instant(admission.deadline);
    let body = match tokio::time::timeout_at(deadline, reading).await {
        Ok(Ok(body)) => body,
        Ok(Err(refusal)) => return Resolution::Refused(refusal),
        Err(_) => return Resolution::Refused(body::stalled("the deadline passed")),
    };
    exchange.work();
    if let (Some(key), Body::Buffered(bytes)) = (&key, &body) {
        return KeyedRequest::new(context, admission, key, bytes.clone()).run().await;
    }
    match Attempts::new(context, admission, body).run().await {
        Ok(answer) => Resolution::Answered(answer, id),
        Err(refusal) => Resolution::Refused(refusal),
    }
}
