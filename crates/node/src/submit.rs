//! Submissions, states and cancellations, each settled by the job's ticket in the store.

use super::*;

/// What a caller is told.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Reply {
    /// The job is accepted.
    Accepted,
    /// The job's state.
    State(State),
    /// Cancelled, or over already.
    Cancelled,
    /// No such job.
    Gone,
    /// It has not run and never will; come back after so many seconds.
    NotRun(u64),
    /// The outcome is unknown.
    Unknown,
}

/// After this long a request begins no further call of the store, in milliseconds: with the time
/// limit of the last one it is answered before its caller's patience of 3 s ends.
const SETTLE_MS: u64 = 1_800;
/// Before a failed call is repeated.
const AGAIN: Duration = Duration::from_millis(120);
/// When a refused caller should come back at the earliest, in seconds.
const RETRY_AFTER_S: u64 = 1;
/// When a refused caller should come back at the latest, in seconds: about an outage of the store.
const RETRY_AFTER_MOST_S: u64 = 4;
/// Final states that are remembered.
const FINALS: usize = 8_192;

/// Refuses a caller, who is to come back when the store is likely to be back: an outage that has
/// lasted for some time is likely to last as long again.
pub(crate) fn not_run(node: &Node) -> Reply {
    let silent_s = time::now().saturating_sub(node.heard_at.get()) / 1_000;
    Reply::NotRun(silent_s.clamp(RETRY_AFTER_S, RETRY_AFTER_MOST_S))
}

/// Accepts a job, once for its ID.
pub(crate) async fn submit(
    node: &Rc<Node>,
    queue: &Queue,
    id: job::Id,
    body: job::Record,
) -> Reply {
    if !node.in_contact() {
        return not_run(node);
    }
    let until = time::now() + SETTLE_MS;
    let demand = admission::Demand::new(&body.submission, queue);
    let Some(cell) = node.board.borrow_mut().choose(demand) else {
        return not_run(node);
    };
    let ticket = Ticket { also: Vec::new(), cell, queue: queue.name.clone(), state: State::Queued };
    let record = record::encode(&body);
    let mut revision = 0;
    loop {
        let txn = Txn {
            expected: vec![(keys::ticket(id), revision)],
            writes: vec![
                (keys::ticket(id), record::encode(&ticket), 0),
                (keys::job(cell, id), record.clone(), 0),
            ],
            ..Txn::default()
        };
        match node.store.txn(&txn).await {
            Ok(_) => {
                node.heard();
                return Reply::Accepted;
            }
            Err(store::Error::Conflict(items)) => match items.first() {
                Some(item) if is_refused(item) => revision = item.revision,
                Some(_) => return Reply::Accepted,
                None => revision = 0,
            },
            Err(store::Error::Unknown) => return settle(node, id, revision, &ticket, until).await,
            Err(error) => {
                node.store_failed("submit", &error);
                return not_run(node);
            }
        }
    }
}

fn ticket(item: &Item) -> Option<Ticket> {
    serde_json::from_slice(item.value.as_deref()?)
        .inspect_err(|error| log::error!(key = item.key, error:% = error; "ticket_unreadable"))
        .ok()
}

fn is_refused(item: &Item) -> bool {
    ticket(item).is_some_and(|ticket| ticket.state == State::Refused)
}

/// Learns whether a submission without an answer was accepted, or makes sure that it never is.
async fn settle(
    node: &Rc<Node>,
    id: job::Id,
    replaces: u64,
    accepted: &Ticket,
    until: u64,
) -> Reply {
    let refused = Ticket { state: State::Refused, ..accepted.clone() };
    let txn = Txn {
        expected: vec![(keys::ticket(id), replaces)],
        writes: vec![(keys::ticket(id), record::encode(&refused), 0)],
        ..Txn::default()
    };
    while time::now() < until {
        match node.store.txn(&txn).await {
            Ok(_) => return not_run(node),
            Err(store::Error::Conflict(items)) => {
                let refused = items.first().is_none_or(is_refused);
                return if refused { not_run(node) } else { Reply::Accepted };
            }
            Err(error) => node.store_failed("settle", &error),
        }
        sleep(AGAIN).await;
    }
    Reply::Unknown
}

/// Tells a job's state.
pub(crate) async fn state(node: &Rc<Node>, id: job::Id) -> Reply {
    if let Some(&state) = node.finals.borrow().get(&id) {
        return Reply::State(state);
    }
    let until = time::now() + SETTLE_MS;
    loop {
        match node.store.get(&keys::ticket(id)).await {
            Ok(item) => {
                node.heard();
                let Some(ticket) = item.as_ref().and_then(ticket) else { return Reply::Gone };
                if ticket.state == State::Refused {
                    return Reply::Gone;
                }
                if ticket.state.is_final() {
                    remember(node, id, ticket.state);
                }
                return Reply::State(ticket.state);
            }
            Err(error) => node.store_failed("state", &error),
        }
        if !node.in_contact() || time::now() > until {
            return not_run(node);
        }
        sleep(AGAIN).await;
    }
}

fn remember(node: &Rc<Node>, id: job::Id, state: State) {
    let mut finals = node.finals.borrow_mut();
    if finals.len() >= FINALS {
        finals.clear();
    }
    finals.insert(id, state);
}

/// Cancels a job.
pub(crate) async fn cancel(node: &Rc<Node>, id: job::Id) -> Reply {
    let until = time::now() + SETTLE_MS;
    while time::now() < until {
        match try_cancel(node, id).await {
            Ok(Some(reply)) => return reply,
            Ok(None) => {}
            Err(error) => {
                node.store_failed("cancel", &error);
                sleep(AGAIN).await;
            }
        }
    }
    not_run(node)
}

async fn try_cancel(node: &Rc<Node>, id: job::Id) -> Result<Option<Reply>, store::Error> {
    let Some(item) = node.store.get(&keys::ticket(id)).await? else {
        return Ok(Some(Reply::Gone));
    };
    let Some(old) = ticket(&item) else { return Ok(Some(Reply::Gone)) };
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
