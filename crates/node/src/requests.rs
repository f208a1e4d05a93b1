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
    /// The job's record is larger than the store takes.
    TooLarge,
    /// Whether the request was carried out is unknown.
    Unknown,
    /// The ID was cancelled before: no job is accepted under it.
    Withdrawn,
}

/// The time limit of callers, in milliseconds.
pub(crate) const CALLER_TIMEOUT_MS: u64 = 3_000;
/// What is left of that limit for the answer itself, in milliseconds.
const ANSWER_SLACK_MS: u64 = 150;
/// How long a request may start further store calls, in milliseconds: the last one starts after
/// another delay, and the answer must still arrive within the caller's time limit.
const STORE_CALLS_MS: u64 =
    CALLER_TIMEOUT_MS - ANSWER_SLACK_MS - store::MAX_CALL_MS - RETRY_DELAY_MS;
/// Delay before a failed call is repeated.
const RETRY_DELAY_MS: u64 = 120;
const RETRY_DELAY: Duration = Duration::from_millis(RETRY_DELAY_MS);
/// How many times the encoding of a record is held while it is written: twice as it is, and in base64 twice as a
/// part of the call.
const ENCODED_COPIES: usize = 5;
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
    connection: &Arc<Connection>,
) -> Reply {
    if !node.is_store_reachable() {
        return not_run(node);
    }
    let deadline = time::now() + STORE_CALLS_MS;
    let mut held = Reservation::new(connection.clone());
    let encoded_record = record::encode(&record);
    if encoded_record.len() > node.boot.store_value_bytes {
        return Reply::TooLarge;
    }
    let held_bytes = record.submission.footprint_bytes() + encoded_record.len() * ENCODED_COPIES;
    if held.grow(held_bytes).is_err() {
        return settle(node, id, 0, queue, deadline, not_run(node)).await;
    }
    let choice = {
        let demand = admission::Demand::new(id, &record.submission, queue);
        match reject(node, queue, &record.submission, &demand) {
            Some(rejection) => Err(rejection),
            None if lacks_memory(node, queue, &record.submission, id) => Err(not_run(node)),
            None => Ok(node.balancer.borrow_mut().choose(&demand)),
        }
    };
    let cell = match choice {
        Ok(Some(cell)) => cell,
        Ok(None) => return not_run(node),
        Err(rejection) => return settle(node, id, 0, queue, deadline, rejection).await,
    };
    drop(record);
    let ticket = Ticket::new(queue.name.clone(), cell, State::Queued);
    let mut revision = 0;
    loop {
        let mut txn = Txn::expecting(keys::ticket(id), revision);
        txn.write(keys::ticket(id), record::encode(&ticket), 0);
        txn.write(keys::job(cell, id), encoded_record.clone(), 0);
        match node.store.txn(&txn).await {
            Ok(_) => {
                node.store_answered();
                return Reply::Accepted;
            }
            Err(store::Error::Conflict(items)) => match Use::of(items.first()) {
                Use::Free { revision: free } => revision = free,
                Use::Taken => return Reply::Accepted,
                Use::Withdrawn => return Reply::Withdrawn,
            },
            Err(error @ store::Error::Refused) => {
                node.store_failed("submit", &error);
                return not_run(node);
            }
            Err(error) => {
                node.store_failed("submit", &error);
                return settle(node, id, revision, queue, deadline, not_run(node)).await;
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

/// Returns whether the owners of cells have no memory left for a job.
fn lacks_memory(node: &Node, queue: &Queue, submission: &Submission, id: job::Id) -> bool {
    let (job_bytes, memory_mib) =
        (submission.job_footprint_bytes() as u64, node.least_memory_mib());
    let mut memory = node.memory.borrow_mut();
    if !node.policy.memory || memory.accept(time::now(), job_bytes, memory_mib) {
        return false;
    }
    let held_bytes = memory.held_bytes();
    node.meter.event("memory_short");
    log::info!(job:% = id, queue = queue.name, job_bytes, held_bytes, memory_mib; "memory_short");
    true
}

fn decode_ticket(item: &Item) -> Option<Ticket> {
    serde_json::from_slice(item.value.as_deref()?)
        .inspect_err(|error| log::error!(key = item.key, error:% = error; "ticket_unreadable"))
        .ok()
}

/// What an ID is used for.
enum Use {
    /// No job was accepted under it. One may be, on the condition that its ticket has this revision, 0 for none.
    Free { revision: u64 },
    /// A job was accepted under it, or its ticket can't be read.
    Taken,
    /// It was cancelled before a job was accepted under it.
    Withdrawn,
}

impl Use {
    /// Returns what an ID with this ticket is used for.
    fn of(item: Option<&Item>) -> Self {
        let Some(item) = item else { return Self::Free { revision: 0 } };
        match decode_ticket(item) {
            Some(Ticket { withdrawn: true, .. }) => Self::Withdrawn,
            Some(Ticket { state: State::Refused, .. }) => Self::Free { revision: item.revision },
            _ => Self::Taken,
        }
    }
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
    let refused = Ticket::refused(queue.name.clone());
    while time::now() < deadline {
        let mut txn = Txn::expecting(keys::ticket(id), expected_revision);
        txn.write(keys::ticket(id), record::encode(&refused), 0);
        match node.store.txn(&txn).await {
            Ok(_) => return refusal,
            Err(store::Error::Conflict(items)) => match Use::of(items.first()) {
                Use::Free { revision } => {
                    expected_revision = revision;
                    continue;
                }
                Use::Taken => return Reply::Accepted,
                Use::Withdrawn => return Reply::Withdrawn,
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
                let Some(item) = item else { return Reply::Gone };
                let Some(ticket) = decode_ticket(&item) else { return Reply::Unknown };
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
pub(crate) async fn cancel(node: &Rc<Node>, queue: &Queue, id: job::Id) -> Reply {
    let deadline = time::now() + STORE_CALLS_MS;
    let mut in_doubt = false;
    while time::now() < deadline {
        let ticket = match node.store.get(&keys::ticket(id)).await {
            Ok(ticket) => ticket,
            Err(error) => {
                node.store_failed("cancel", &error);
                sleep(RETRY_DELAY).await;
                continue;
            }
        };
        let (txn, reply) = match cancellation(queue, id, ticket.as_ref()) {
            Cancellation::Over(reply) => return reply,
            Cancellation::Write(txn, reply) => (txn, reply),
        };
        match node.store.txn(&txn).await {
            Ok(_) => return reply,
            Err(store::Error::Conflict(_)) => {}
            Err(error) => {
                in_doubt |= !matches!(error, store::Error::Refused);
                node.store_failed("cancel", &error);
                sleep(RETRY_DELAY).await;
            }
        }
    }
    if in_doubt { Reply::Unknown } else { not_run(node) }
}

/// What cancels an ID.
enum Cancellation {
    /// Nothing is left to do.
    Over(Reply),
    /// A transaction, after which this is the answer.
    Write(Txn, Reply),
}

/// Returns what cancels an ID with this ticket. If no job was accepted under it, a submission may still be on its
/// way to the store, or be sent again: the ID is withdrawn, so that neither is accepted after the answer.
fn cancellation(queue: &Queue, id: job::Id, item: Option<&Item>) -> Cancellation {
    match Use::of(item) {
        Use::Withdrawn => return Cancellation::Over(Reply::Gone),
        Use::Free { revision } => {
            let txn = withdrawals::txn(id, revision, queue.name.clone());
            return Cancellation::Write(txn, Reply::Gone);
        }
        Use::Taken => {}
    }
    let Some((item, old)) = item.and_then(|item| Some((item, decode_ticket(item)?))) else {
        return Cancellation::Over(Reply::Unknown);
    };
    if old.state.is_final() {
        return Cancellation::Over(Reply::Cancelled);
    }
    let cells: Vec<u32> = old.also.iter().copied().chain([old.cell]).collect();
    let new = Ticket { state: State::Cancelled, ..old };
    let mut txn = Txn::expecting(keys::ticket(id), item.revision);
    txn.write(keys::ticket(id), record::encode(&new), 0);
    cells.into_iter().for_each(|cell| txn.write(keys::cancelled(cell, id), Vec::new(), 0));
    Cancellation::Write(txn, Reply::Cancelled)
}
