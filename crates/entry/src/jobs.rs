//! Batch jobs: passed to the scheduler that owns their cell.

use super::*;
use {
    node::Node,
    refusal::{Reason, Refusal},
    sha2::{Digest, Sha256},
    wire::reply::Refusal as Why,
};

/// The longest description of a job, in bytes.
const MAX_SPEC_BYTES: usize = 64 << 10;
/// How long one scheduler may take to reply.
const CALL_LIMIT: Duration = Duration::from_millis(3_000);
/// When to come back after no owner answered.
const RETRY: Duration = Duration::from_secs(2);

/// An accepted job.
#[derive(Serialize)]
struct Accepted {
    id: job::Id,
}

/// What a job's caller wants.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Verb {
    Cancel,
    Explain,
    Show,
}

/// The decisions behind a job's state.
#[derive(Serialize)]
struct Explanation {
    lines: Vec<String>,
}

/// Accepts a job: answered once it is durable.
pub(crate) async fn submit(node: &Arc<Node>, request: &mut Request, response: &mut Response) {
    match accept(node, request).await {
        Ok(accepted) => {
            let page = serde_json::to_vec(&accepted).unwrap_or_default();
            front::write_json(StatusCode::CREATED, page, response);
        }
        Err(refusal) => refusal.write(response),
    }
}

/// Shows, explains or cancels the job called `id`.
pub(crate) async fn ask(node: &Arc<Node>, verb: Verb, id: &str, response: &mut Response) {
    let reply = match id.parse::<job::Id>() {
        Err(error) => {
            Err(Refusal::never(StatusCode::NOT_FOUND, Reason::UnknownName, error.to_string()))
        }
        Ok(id) => {
            let call = match verb {
                Verb::Cancel => Call::Cancel(id.clone()),
                Verb::Explain => Call::Explain(id.clone()),
                Verb::Show => Call::Job(id.clone()),
            };
            call_owner(node, &id.cell, &call).await
        }
    };
    answer(reply, response);
}

async fn accept(node: &Arc<Node>, request: &mut Request) -> Result<Accepted, Refusal> {
    if !node.drain.state().accepts_requests() {
        let text = "this entry is leaving: send the job again, to another entry";
        return Err(Refusal::later(Reason::Leaving, Duration::ZERO, text));
    }
    let caller = inbound::text(request.headers(), outcome::CALLER_HEADER).unwrap_or_default();
    let key = inbound::text(request.headers(), inbound::KEY_HEADER);
    let body = request.take_body();
    let body = body::Body::read(body, None, MAX_SPEC_BYTES as u64, MAX_SPEC_BYTES).await?;
    let body::Body::Held(text) = body else {
        return Err(inbound::invalid(format!("a job has at most {MAX_SPEC_BYTES} bytes")));
    };
    let spec: job::Spec = serde_json::from_slice(&text)
        .map_err(|error| inbound::invalid(format!("the job can't be read: {error}")))?;
    let serial = key.map_or_else(|| uuid::Uuid::new_v4().as_u128(), |key| serial(&caller, &key));
    let cell = choose(node, serial).ok_or_else(|| {
        let text = "no configuration with VMs is in force: come back later";
        Refusal::later(Reason::SchedulerUnavailable, RETRY, text)
    })?;
    let id = job::Id { cell: cell.clone(), serial };
    call_owner(node, &cell, &Call::Submit { id: id.clone(), spec }).await?;
    Ok(Accepted { id })
}

fn answer(reply: Result<Reply, Refusal>, response: &mut Response) {
    let page = match reply {
        Ok(Reply::Job(job)) => serde_json::to_vec(&job),
        Ok(Reply::Explain(lines)) => serde_json::to_vec(&Explanation { lines }),
        Ok(Reply::Done) => Ok(b"{}".to_vec()),
        Ok(reply) => {
            let text = format!("the scheduler answered out of turn: {reply:?}");
            return Refusal::unknown(Reason::SchedulerUnavailable, text).write(response);
        }
        Err(refusal) => return refusal.write(response),
    };
    front::write_json(StatusCode::OK, page.unwrap_or_default(), response);
}

/// Calls the scheduler that owns `cell`: the known owner first, then the others in turn.
async fn call_owner(node: &Arc<Node>, cell: &cell::Id, call: &Call) -> Result<Reply, Refusal> {
    let owner = node.cells.owner(cell);
    let mut links: Vec<&Link> = node.schedulers.iter().collect();
    links.sort_by_key(|link| Some(&link.peer) != owner.as_ref());
    let mut in_doubt = false;
    for link in links {
        match link.call(call, CALL_LIMIT).await {
            Ok(Reply::Refused { reason: Why::NotOwner, .. }) => {}
            Ok(Reply::Refused { reason, retry_ms, text }) => {
                return Err(refused(reason, retry_ms, text));
            }
            Ok(reply) => return Ok(reply),
            Err(error) => {
                in_doubt |= error.step != wire::error::Step::Connect;
                log::warn!(cell = cell.to_string(), error = error.to_string(); "scheduler_silent");
            }
        }
    }
    let text = format!("no scheduler that owns cell `{cell}` answers: come back later");
    match in_doubt && matches!(call, Call::Submit { .. }) {
        true => Err(Refusal::unknown(Reason::SchedulerUnavailable, text)),
        false => Err(Refusal::later(Reason::SchedulerUnavailable, RETRY, text)),
    }
}

/// Chooses among the configured cells by rendezvous hash, so that one key always meets one cell,
/// also while that cell has no owner.
fn choose(node: &Arc<Node>, serial: u128) -> Option<cell::Id> {
    let weight = |cell: &cell::Id| {
        let digest = Sha256::digest(format!("{cell}/{serial:032x}"));
        digest[..8].to_vec()
    };
    let in_force = node.follower.current()?;
    Layout::new(&in_force.config).cells.into_keys().max_by_key(weight)
}

fn refused(reason: Why, retry_ms: Option<u64>, text: String) -> Refusal {
    let retry = retry_ms.map_or(RETRY, Duration::from_millis);
    match reason {
        Why::Invalid => Refusal::never(StatusCode::BAD_REQUEST, Reason::Invalid, text),
        Why::Unknown => Refusal::never(StatusCode::NOT_FOUND, Reason::UnknownName, text),
        Why::Leaving | Why::NotOwner | Why::Overloaded | Why::StoreUnavailable => {
            Refusal::later(Reason::SchedulerUnavailable, retry, text)
        }
    }
}

/// Returns the serial that a caller's idempotency key stands for.
fn serial(caller: &str, key: &str) -> u128 {
    let digest = Sha256::digest(format!("{}:{caller}/{key}", caller.len()));
    digest[..16].iter().fold(0, |serial, byte| serial << 8 | u128::from(*byte))
}
