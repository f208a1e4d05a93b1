//! Forwards requests about batch jobs to the scheduler that owns the job's cell.

use super::*;
use {
    clients::Exchange,
    context::Context,
    refusal::{Reason, Refusal},
    sha2::{Digest, Sha256},
    wire::reply::Refusal as WireRefusal,
};

/// Maximum length of a job's specification, in bytes.
const MAX_SPEC_BYTES: usize = 64 << 10;
/// Timeout of a call to one scheduler.
const CALL_TIMEOUT: Duration = Duration::from_millis(3_000);
/// Time after which a caller should retry, unless the owner of the cell named one.
const RETRY_AFTER: Duration = Duration::from_secs(2);

/// Response to an accepted job.
#[derive(Serialize)]
struct Receipt {
    id: job::Id,
}

/// An operation on an existing job.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Operation {
    Cancel,
    Explain,
    Show,
}

/// Response to `GET /jobs/{id}/explain`: the decisions that led to the job's state.
#[derive(Serialize)]
struct Explanation {
    lines: Vec<String>,
}

/// Submits a job; responds once the scheduler has stored it.
pub(crate) async fn submit(
    context: &Arc<Context>,
    exchange: &mut Exchange,
    request: &mut Request,
    response: &mut Response,
) {
    match accept(context, exchange, request).await {
        Ok(receipt) => {
            let body = serde_json::to_vec(&receipt).unwrap_or_default();
            api::write_json(StatusCode::CREATED, body, response);
        }
        Err(refusal) => refusal.write(response),
    }
}

/// Shows, explains or cancels the job called `id`.
pub(crate) async fn handle(
    context: &Arc<Context>,
    operation: Operation,
    id: &str,
    response: &mut Response,
) {
    let reply = match id.parse::<job::Id>() {
        Err(error) => {
            Err(Refusal::permanent(StatusCode::NOT_FOUND, Reason::UnknownName, error.to_string()))
        }
        Ok(id) => {
            let call = match operation {
                Operation::Cancel => Call::Cancel(id.clone()),
                Operation::Explain => Call::Explain(id.clone()),
                Operation::Show => Call::Job(id.clone()),
            };
            call_owner(context, &id.cell, &call).await
        }
    };
    write_reply(reply, response);
}

/// Checks a job and submits it to the scheduler that owns its cell.
async fn accept(
    context: &Arc<Context>,
    exchange: &mut Exchange,
    request: &mut Request,
) -> Result<Receipt, Refusal> {
    if !context.drain.state().accepts_requests() {
        let text = "this entry is leaving: send the job again, to another entry";
        return Err(Refusal::retryable(Reason::Leaving, Duration::ZERO, text));
    }
    let caller = head::header_text(request.headers(), outcome::CALLER_HEADER).unwrap_or_default();
    let key = head::header_text(request.headers(), head::KEY_HEADER);
    let body = request.take_body();
    let (limit, mut held) = (MAX_SPEC_BYTES, exchange.receive());
    let body = body::Body::read(body, None, limit as u64, limit, &mut held).await?;
    exchange.work();
    let body::Body::Buffered(text) = body else {
        return Err(head::invalid(format!("a job has at most {MAX_SPEC_BYTES} bytes")));
    };
    let spec: job::Spec = serde_json::from_slice(&text)
        .map_err(|error| head::invalid(format!("the job can't be read: {error}")))?;
    let serial =
        key.map_or_else(|| uuid::Uuid::new_v4().as_u128(), |key| derive_serial(&caller, &key));
    let cell = choose_cell(context, serial).ok_or_else(|| {
        let text = "no configuration with VMs is in force: come back later";
        Refusal::retryable(Reason::SchedulerUnavailable, RETRY_AFTER, text)
    })?;
    let id = job::Id { cell: cell.clone(), serial };
    call_owner(context, &cell, &Call::Submit { id: id.clone(), spec }).await?;
    Ok(Receipt { id })
}

fn write_reply(reply: Result<Reply, Refusal>, response: &mut Response) {
    let body = match reply {
        Ok(Reply::Job(job)) => serde_json::to_vec(&job),
        Ok(Reply::Explain(lines)) => serde_json::to_vec(&Explanation { lines }),
        Ok(Reply::Done) => Ok(b"{}".to_vec()),
        Ok(reply) => {
            let text = format!("the scheduler answered out of turn: {reply:?}");
            return Refusal::unknown(Reason::SchedulerUnavailable, text).write(response);
        }
        Err(refusal) => return refusal.write(response),
    };
    api::write_json(StatusCode::OK, body.unwrap_or_default(), response);
}

/// Calls the scheduler that owns `cell`: first its last known owner, then the others in turn. The
/// outcome of a submission is unknown if a call failed after it was connected.
async fn call_owner(
    context: &Arc<Context>,
    cell: &cell::Id,
    call: &Call,
) -> Result<Reply, Refusal> {
    let owner = context.cells.owner(cell);
    let mut links: Vec<&Link> = context.schedulers.iter().collect();
    links.sort_by_key(|link| Some(&link.peer) != owner.as_ref());
    let mut in_doubt = false;
    for link in links {
        match link.call(call, CALL_TIMEOUT).await {
            Ok(Reply::Refused { reason: WireRefusal::NotOwner, .. }) => {}
            Ok(Reply::Refused { reason, retry_ms, text }) => {
                return Err(translate_refusal(reason, retry_ms, text));
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
        false => Err(Refusal::retryable(Reason::SchedulerUnavailable, RETRY_AFTER, text)),
    }
}

/// Chooses a configured cell by rendezvous hashing, so that a repeated key reaches the same cell
/// even while that cell has no owner.
fn choose_cell(context: &Arc<Context>, serial: u128) -> Option<cell::Id> {
    let weight = |cell: &cell::Id| {
        let digest = Sha256::digest(format!("{cell}/{serial:032x}"));
        digest[..8].to_vec()
    };
    let current = context.follower.current()?;
    Layout::new(&current.config).cells.into_keys().max_by_key(weight)
}

/// Converts the refusal of a scheduler into a response to the caller.
fn translate_refusal(reason: WireRefusal, retry_ms: Option<u64>, text: String) -> Refusal {
    let retry = retry_ms.map_or(RETRY_AFTER, Duration::from_millis);
    match reason {
        WireRefusal::Invalid => Refusal::permanent(StatusCode::BAD_REQUEST, Reason::Invalid, text),
        WireRefusal::Unknown => {
            Refusal::permanent(StatusCode::NOT_FOUND, Reason::UnknownName, text)
        }
        WireRefusal::Leaving
        | WireRefusal::NotOwner
        | WireRefusal::Overloaded
        | WireRefusal::StoreUnavailable => {
            Refusal::retryable(Reason::SchedulerUnavailable, retry, text)
        }
    }
}

/// Returns the job's serial for a caller's idempotency key: repetitions get the same one.
fn derive_serial(caller: &str, key: &str) -> u128 {
    let digest = Sha256::digest(format!("{}:{caller}/{key}", caller.len()));
    digest[..16].iter().fold(0, |serial, byte| serial << 8 | u128::from(*byte))
}
