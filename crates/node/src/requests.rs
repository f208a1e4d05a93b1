//! Handles submissions, status requests and cancellations. Each is decided by a write or a read of
//! the job's ticket in the store, so that VMs agree and a lost answer of the store can be resolved.

use super::*;

/// The answer to a caller's request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Reply {
    /// The job is accepted.
    Accepted,
    /// The job's state.
    State(State),
    /// The job is cancelled, or was over already.
    Cancelled,
    /// The job does not exist.
    Gone,
    /// The request was not carried out and will not be; the caller may retry after this many
    /// seconds.
    NotRun(u64),
    /// Whether the job was accepted is unknown.
    Unknown,
}

/// The time limit of callers, in milliseconds.
const CALLER_TIMEOUT_MS: u64 = 3_000;
/// What is left of that limit for the answer itself, in milliseconds.
const ANSWER_SLACK_MS: u64 = 150;
/// How long a request may start further store calls, in milliseconds: the last one starts after
/// another delay, and the answer must still arrive within the caller's time limit.
const STORE_CALLS_MS: u64 =
    CALLER_TIMEOUT_MS - ANSWER_SLACK_MS - store::MAX_CALL_MS - RETRY_DELAY_MS;
/// Delay before a failed call is repeated.
const RETRY_DELAY_MS: u64 = 120;
const RETRY_DELAY: Duration = Duration::from_millis(RETRY_DELAY_MS);
/// The shortest `Retry-After` of a refused caller, in seconds.
const MIN_RETRY_AFTER_S: u64 = 1;
/// The longest `Retry-After` of a refused caller, in seconds: about the length of a store outage.
const MAX_RETRY_AFTER_S: u64 = 4;
/// The most final states in the cache, which is emptied when it is full.
const MAX_FINAL_STATES: usize = 8_192;

/// Refuses a caller with the advice to retry after as long as the store has been silent: an outage
/// that has lasted for some time is likely to last as long again.
pub(crate) fn not_run(node: &Node) -> Reply {
    let silent_s = time::now().saturating_sub(node.store_answered_at.get()) / 1_000;
    Reply::NotRun(silent_s.clamp(MIN_RETRY_AFTER_S, MAX_RETRY_AFTER_S))
}

/// Accepts a job. A repeated submission of an accepted ID is accepted without a second job.
pub(crate) async fn submit(
    node: &Rc<Node>,
    queue: &Queue,
    id: job::Id,
    record: job::Record,
) -> Reply {
    if !node.is_store_reachable() {
        return not_run(node);
    }
    let deadline = time::now() + STORE_CALLS_MS;
    let demand = admission::Demand::new(id, &record.submission, queue);
    if let Some(rejection) = reject(node, queue, &record.submission, &demand) {
        return settle(node, id, 0, queue, deadline, rejection).await;
    }
    let Some(cell) = node.balancer.borrow_mut().choose(&demand) else {
        return not_run(node);
    };
    let queue_name = queue.name.clone();
    let ticket = Ticket {
        also: Vec::new(),
        additions: 0,
        cell,
        division: None,
        queue: queue_name,
        state: State::Queued,
    };
    let encoded_record = record::encode(&record);
    let mut revision = 0;
    loop {
        let txn = Txn {
            expected: vec![(keys::ticket(id), revision)],
            writes: vec![
                (keys::ticket(id), record::encode(&ticket), 0),
                (keys::job(cell, id), encoded_record.clone(), 0),
            ],
            ..Txn::default()
        };
        match node.store.txn(&txn).await {
            Ok(_) => {
                node.store_answered();
                return Reply::Accepted;
            }
            Err(store::Error::Conflict(items)) => match items.first() {
                Some(item) if is_refused(item) => revision = item.revision,
                Some(_) => return Reply::Accepted,
                None => revision = 0,
            },
            Err(store::Error::Unknown) => {
                return settle(node, id, revision, queue, deadline, not_run(node)).await;
            }
            Err(error) => {
                node.store_failed("submit", &error);
                return not_run(node);
            }
        }
    }
}

/// Returns the answer to a job that is rejected since it would be late; `None` if it is accepted.
fn reject(
    node: &Rc<Node>,
    queue: &Queue,
    submission: &Submission,
    demand: &admission::Demand<'_>,
) -> Option<Reply> {
    let image = demand.filling.filter(|_| node.policy.admission)?;
    let outlook = node.balancer.borrow().outlook(time::now(), demand, submission, queue);
    let verdict = node.gate.borrow_mut().decide(demand.id, image, outlook);
    let gate::Verdict::Reject { retry_after_ms } = verdict else { return None };
    let head_age_ms = time::now().saturating_sub(node.heads_read_at.get());
    node.meter.event("job_rejected");
    log::info!(
        job:% = demand.id, queue = queue.name, image, retry_after_ms, head_age_ms, outlook:serde;
        "job_rejected"
    );
    Some(Reply::NotRun(retry_after_ms.div_ceil(1_000).max(MIN_RETRY_AFTER_S)))
}

fn decode_ticket(item: &Item) -> Option<Ticket> {
    serde_json::from_slice(item.value.as_deref()?)
        .inspect_err(|error| log::error!(key = item.key, error:% = error; "ticket_unreadable"))
        .ok()
}

fn is_refused(item: &Item) -> bool {
    decode_ticket(item).is_some_and(|ticket| ticket.state == State::Refused)
}

/// Makes sure that a job is never accepted, and answers with `refusal`, unless it is accepted already: the
/// answer of the store to a submission was lost, or the job is rejected and may have been submitted before.
/// Writes a refused ticket under the submission's condition: either the write succeeds, and the submission
/// can never be accepted, or it conflicts with a ticket that shows whether the job was accepted. A refused
/// ticket is written again, since a later submission may still be on its way under its condition.
async fn settle(
    node: &Rc<Node>,
    id: job::Id,
    mut expected_revision: u64,
    queue: &Queue,
    deadline: u64,
    refusal: Reply,
) -> Reply {
    let (queue, state) = (queue.name.clone(), State::Refused);
    let refused = Ticket { also: Vec::new(), additions: 0, cell: 0, division: None, queue, state };
    while time::now() < deadline {
        let txn = Txn {
            expected: vec![(keys::ticket(id), expected_revision)],
            writes: vec![(keys::ticket(id), record::encode(&refused), 0)],
            ..Txn::default()
        };
        match node.store.txn(&txn).await {
            Ok(_) => return refusal,
            Err(store::Error::Conflict(items)) => match items.first() {
                Some(item) if is_refused(item) => {
                    expected_revision = item.revision;
                    continue;
                }
                Some(_) => return Reply::Accepted,
                None => {
                    expected_revision = 0;
                    continue;
                }
            },
            Err(error) => node.store_failed("settle", &error),
        }
        sleep(RETRY_DELAY).await;
    }
    Reply::Unknown
}

/// Returns a job's state.
pub(crate) async fn state(node: &Rc<Node>, id: job::Id) -> Reply {
    if let Some(&state) = node.final_states.borrow().get(&id) {
        return Reply::State(state);
    }
    let deadline = time::now() + STORE_CALLS_MS;
    loop {
        match node.store.get(&keys::ticket(id)).await {
            Ok(item) => {
                node.store_answered();
                let Some(ticket) = item.as_ref().and_then(decode_ticket) else {
                    return Reply::Gone;
                };
                if ticket.state == State::Refused {
                    return Reply::Gone;
                }
                if ticket.state.is_final() {
                    cache_final_state(node, id, ticket.state);
                }
                return Reply::State(ticket.state);
            }
            Err(error) => node.store_failed("state", &error),
        }
        if !node.is_store_reachable() || time::now() > deadline {
            return not_run(node);
        }
        sleep(RETRY_DELAY).await;
    }
}

/// Caches a final state, which cannot change any more.
fn cache_final_state(node: &Rc<Node>, id: job::Id, state: State) {
    let mut final_states = node.final_states.borrow_mut();
    if final_states.len() >= MAX_FINAL_STATES {
        final_states.clear();
    }
    final_states.insert(id, state);
}

/// Cancels a job. Repeats the attempt when the ticket changes meanwhile.
pub(crate) async fn cancel(node: &Rc<Node>, id: job::Id) -> Reply {
    let deadline = time::now() + STORE_CALLS_MS;
    while time::now() < deadline {
        match try_cancel(node, id).await {
            Ok(Some(reply)) => return reply,
            Ok(None) => {}
            Err(error) => {
                node.store_failed("cancel", &error);
                sleep(RETRY_DELAY).await;
            }
        }
    }
    not_run(node)
}

/// Tries once to cancel a job. Returns `None` when the ticket changed since it was read.
async fn try_cancel(node: &Rc<Node>, id: job::Id) -> Result<Option<Reply>, store::Error> {
    let Some(item) = node.store.get(&keys::ticket(id)).await? else {
        return Ok(Some(Reply::Gone));
    };
    let Some(old) = decode_ticket(&item) else { return Ok(Some(Reply::Gone)) };
    if old.state == State::Refused {
        return Ok(Some(Reply::Gone));
    }
    if old.state.is_final() {
        return Ok(Some(Reply::Cancelled));
    }
    let cells: Vec<u32> = old.also.iter().copied().chain([old.cell]).collect();
    let new = Ticket { state: State::Cancelled, ..old };
    let txn = Txn {
        expected: vec![(keys::ticket(id), item.revision)],
        writes: [(keys::ticket(id), record::encode(&new), 0)]
            .into_iter()
            .chain(cells.into_iter().map(|cell| (keys::cancelled(cell, id), Vec::new(), 0)))
            .collect(),
        ..Txn::default()
    };
    match node.store.txn(&txn).await {
        Ok(_) => Ok(Some(Reply::Cancelled)),
        Err(store::Error::Conflict(_)) => Ok(None),
        Err(error) => Err(error),
    }
}
