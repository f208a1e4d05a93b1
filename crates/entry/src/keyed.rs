//! Urgent requests with an idempotency key: one run, whose answer every repetition gets.

use super::*;
use {
    attempt::{Admitted, Attempts},
    body::Body,
    keys::{CALL_LIMIT, ask_peer, ended},
    node::Node,
    oleanderstage_core::{
        key::{Fingerprint, Id},
        key_call::{Answer as Word, Request},
        key_record::{End, Record},
        request,
    },
    pass::Answer,
    refusal::{Reason, Refusal},
    sha2::{Digest, Sha256},
    tokio::sync::{oneshot, watch},
    wire::{StoredAnswer, stored_answer::Header},
};

/// The longest body of a keyed request, which is held whole.
pub(crate) const MAX_BODY_BYTES: usize = 8 << 20;
/// Parts of an answer that wait for the first caller.
const PARTS: usize = 8;
/// How often the owner is asked again after a run that never began.
const MAX_ROUNDS: u32 = 3;
/// When to come back while no owner can be relied on.
const RETRY: Duration = Duration::from_secs(1);
/// Entries that are asked at once to hold a record; one is enough.
const WITNESSES: usize = 2;
/// How often the end of a run is told to the second holder of its record.
const TELL_ATTEMPTS: u32 = 3;

/// One keyed request.
pub(crate) struct Keyed {
    admitted: Admitted,
    body: Body,
    fingerprint: Fingerprint,
    id: Id,
    idempotent: bool,
    node: Arc<Node>,
}

/// What a keyed request comes to.
pub(crate) enum Outcome {
    /// An endpoint's answer, and the request that it was to.
    Answered(Answer, request::Id),
    /// A refusal.
    Refused(Refusal),
}

/// A permitted run.
struct Run {
    head: oneshot::Sender<Result<Answer, Refusal>>,
    node: Arc<Node>,
    record: Record,
    request: request::Id,
    /// Who holds the record beside this entry.
    second: Option<Name>,
    sender: watch::Sender<Option<End>>,
}

impl Keyed {
    /// Checks a request sent under `key`, with its whole body.
    pub(crate) fn new(node: &Arc<Node>, admitted: Admitted, key: &str, body: Bytes) -> Self {
        let inbound = &admitted.inbound;
        let named = if inbound.named { inbound.caller.as_str() } else { "" };
        let id = Id::new(named, &inbound.service, key);
        let mut hash = Sha256::new();
        for part in [inbound.method.as_str().as_bytes(), inbound.path.as_bytes(), &body] {
            hash.update((part.len() as u64).to_be_bytes());
            hash.update(part);
        }
        let digest = hash.finalize();
        let hash = digest[..16].iter().fold(0, |hash, byte| hash << 8 | u128::from(*byte));
        let idempotent = inbound.idempotent.unwrap_or(admitted.service.config.idempotent);
        let (body, fingerprint) = (Body::Held(body), Fingerprint(hash));
        Self { admitted, body, fingerprint, id, idempotent, node: node.clone() }
    }

    /// Runs the request, or gets the answer of its first run.
    pub(crate) async fn run(self) -> Outcome {
        for _ in 0..MAX_ROUNDS {
            let (word, owner, sent) = self.ask_owner().await;
            let refusal = match word {
                Word::Permitted(record) => return self.begin(record, owner, sent).await,
                Word::Repeated(record) => match self.join(&record, &owner).await {
                    Some(outcome) => return outcome,
                    None => continue,
                },
                Word::Mismatch => self.never(
                    StatusCode::UNPROCESSABLE_ENTITY,
                    Reason::KeyReused,
                    "another request was sent under this key: use a new key",
                ),
                Word::Future => self.never(
                    StatusCode::BAD_REQUEST,
                    Reason::KeyFromFuture,
                    "the key was minted in the future: set the caller's clock",
                ),
                Word::Unvouched => {
                    let text = "whether this key ran before can't be told: check before sending \
                                it under a new key";
                    Refusal::unknown(Reason::KeyUnvouched, text)
                }
                _ if self.idempotent => return self.run_unkeyed().await,
                _ => Refusal::later(Reason::KeyUnavailable, RETRY, "no owner of the key answers"),
            };
            return Outcome::Refused(refusal);
        }
        let text = "the run under this key did not begin: send it again";
        Outcome::Refused(Refusal::later(Reason::KeyUnavailable, RETRY, text))
    }

    /// Asks the owner of the key's partition; returns its name and when it was asked.
    async fn ask_owner(&self) -> (Word, Name, Instant) {
        let me = self.node.keys.me();
        let sent = self.node.clock.now();
        let Some(owner) = self.node.keys.owner_of(&self.id) else {
            return (Word::Unowned, me.name, sent);
        };
        let ask = Request::Run {
            fingerprint: self.fingerprint,
            id: self.id,
            idempotent: self.idempotent,
            runner: me.clone(),
        };
        let word = match owner == me {
            true => Some(self.node.keys.answer(self.node.now(), &ask)),
            false => ask_peer(&self.node, &owner.name, &ask).await.1,
        };
        (word.unwrap_or(Word::Unowned), owner.name, sent)
    }

    /// Begins a permitted run once two entries hold its record.
    async fn begin(self, record: Record, owner: Name, sent: Instant) -> Outcome {
        let me = self.node.keys.me();
        let second = match owner == me.name {
            true => self.find_witness(&record).await,
            false => Some(Some(owner)),
        };
        let now = self.node.now();
        let sender = match &second {
            Some(_) => self.node.keys.begin(now, sent, &record),
            None => None,
        };
        let second = second.flatten();
        let Some(sender) = sender else {
            let end = ended(&record, End::NotRun, None);
            self.node.keys.end(now, &end);
            tell(&self.node, second.as_ref(), &end).await;
            let text = "the permission to run came too late: send it again";
            return Outcome::Refused(Refusal::later(Reason::KeyUnavailable, RETRY, text));
        };
        let request = self.admitted.id;
        let (head, answer) = oneshot::channel();
        let run = Run { head, node: self.node.clone(), record, request, second, sender };
        let attempts = Attempts::new(&self.node, self.admitted, self.body);
        self.node.keys.tasks.spawn(run.carry_out(attempts));
        match answer.await {
            Ok(Ok(answer)) => Outcome::Answered(answer, request),
            Ok(Err(refusal)) => Outcome::Refused(refusal),
            Err(_) => Outcome::Refused(Refusal::unknown(Reason::Lost, "the run broke off")),
        }
    }

    /// Returns who holds the record beside this entry, its owner: `Some(None)` when there is no
    /// other entry, `None` when none answers.
    async fn find_witness(&self, record: &Record) -> Option<Option<Name>> {
        let witnesses = self.node.keys.witnesses(&record.id);
        if witnesses.is_empty() {
            return Some(None);
        }
        let ask = Request::Witness { record: record.clone() };
        let ask = &ask;
        let questions = witnesses.into_iter().take(WITNESSES).map(|witness| {
            Box::pin(async move {
                let (from, answer) = ask_peer(&self.node, &witness.name, ask).await;
                let held = from.as_ref() == Some(&witness) && answer == Some(Word::Taken);
                held.then_some(witness.name).ok_or(())
            })
        });
        let (witness, _) = future::select_ok(questions).await.ok()?;
        Some(Some(witness))
    }

    /// Gets the answer of the run before; `None` when that run will never begin.
    async fn join(&self, record: &Record, owner: &Name) -> Option<Outcome> {
        let runner = &record.runner.name;
        let wait = self.admitted.deadline.since(self.node.clock.now());
        let (mut end, mut answer) = match self.node.keys.has_member(&record.runner) {
            true => self.stand(runner, record, wait).await,
            false => (record.end, None),
        };
        if end == Some(End::Answered) || end.is_none() {
            let me = &self.node.settings.name;
            let peers = self.node.keys.peers.iter().map(|link| &link.peer);
            for entry in [owner, me].into_iter().chain(peers).filter(|entry| *entry != runner) {
                if answer.is_some() {
                    break;
                }
                let (ended, kept) = self.stand(entry, record, Duration::ZERO).await;
                end = end.or(ended);
                answer = kept;
            }
        }
        match (end, answer) {
            (Some(End::NotRun), _) => {
                let end = ended(record, End::NotRun, None);
                self.node.keys.end(self.node.now(), &end);
                tell(&self.node, Some(owner), &end).await;
                None
            }
            (Some(End::Answered), Some(kept)) => {
                self.node.counters.count(&self.admitted.inbound.service, counters::Cause::Joined);
                Some(Outcome::Answered(Answer::from(&*kept), kept.request))
            }
            (Some(End::Answered), None) => {
                let text = "the request ran and was answered, and the answer is not kept any more";
                Some(Outcome::Refused(Refusal::unknown(Reason::AnswerNotKept, text)))
            }
            (Some(End::Unknown) | None, _) => {
                let text = "the request may have run, and its answer is lost";
                Some(Outcome::Refused(Refusal::unknown(Reason::Lost, text)))
            }
        }
    }

    fn never(&self, status: StatusCode, reason: Reason, text: &str) -> Refusal {
        Refusal::never(status, reason, text)
    }

    async fn run_unkeyed(self) -> Outcome {
        let request = self.admitted.id;
        match Attempts::new(&self.node, self.admitted, self.body).run().await {
            Ok(answer) => Outcome::Answered(answer, request),
            Err(refusal) => Outcome::Refused(refusal),
        }
    }

    /// Asks `entry` how the run stands, and waits for its end until the deadline.
    async fn stand(
        &self,
        entry: &Name,
        record: &Record,
        wait: Duration,
    ) -> (Option<End>, Option<Arc<StoredAnswer>>) {
        if *entry == self.node.settings.name {
            return self.node.keys.stand(self.node.clock, record, wait).await;
        }
        let Some(link) = self.node.keys.link(entry) else { return (None, None) };
        let wait_ms = wait.as_millis() as u64;
        let call = Call::KeyAnswer { record: record.clone(), wait_ms };
        match link.call(&call, wait + CALL_LIMIT).await {
            Ok(Reply::KeyAnswer { answer, end }) => (end, answer.map(Arc::new)),
            _ => (None, None),
        }
    }
}

impl Run {
    /// Makes the attempts, passes the answer on and keeps it, whatever becomes of the caller.
    async fn carry_out(self, attempts: Attempts) {
        let (end, answer) = match attempts.run().await {
            Ok(answer) => {
                let (kept, parts) = mpsc::channel(PARTS);
                let head = Answer {
                    body: futures_util::stream::unfold(parts, next).boxed(),
                    headers: answer.headers.clone(),
                    status: answer.status,
                };
                let _ = self.head.send(Ok(head));
                collect(answer, self.request, kept).await
            }
            Err(refusal) => {
                let end = match refusal.outcome {
                    outcome::Outcome::NotRun => End::NotRun,
                    outcome::Outcome::Answered | outcome::Outcome::Unknown => End::Unknown,
                };
                let _ = self.head.send(Err(refusal));
                (end, None)
            }
        };
        let told = ended(&self.record, end, answer);
        self.node.keys.end(self.node.now(), &told);
        self.node.keys.over(&self.record.id, &self.sender, end);
        tell(&self.node, self.second.as_ref(), &told).await;
    }
}

impl From<&StoredAnswer> for Answer {
    fn from(kept: &StoredAnswer) -> Self {
        let header = |header: &Header| {
            let name = header.name.parse::<HeaderName>().ok()?;
            Some((name, HeaderValue::from_bytes(&header.value).ok()?))
        };
        let body = kept.body.clone();
        Self {
            body: futures_util::stream::once(future::ok(body)).boxed(),
            headers: kept.headers.iter().filter_map(header).collect(),
            status: StatusCode::from_u16(kept.status).unwrap_or_default(),
        }
    }
}

/// Passes an answer on, and returns it whole if it is whole and not too large.
async fn collect(
    mut answer: Answer,
    request: request::Id,
    caller: mpsc::Sender<io::Result<Bytes>>,
) -> (End, Option<StoredAnswer>) {
    let mut body = BytesMut::new();
    let mut fits = true;
    while let Some(part) = answer.body.next().await {
        let Ok(part) = part else {
            let _ = caller.send(part).await;
            return (End::Unknown, None);
        };
        fits &= body.len() + part.len() <= wire::stored_answer::MAX_BODY_BYTES;
        if fits {
            body.extend_from_slice(&part);
        }
        let _ = caller.send(Ok(part)).await;
    }
    let header = |(name, value): (&HeaderName, &HeaderValue)| Header {
        name: name.as_str().to_owned(),
        value: value.as_bytes().to_vec(),
    };
    let headers = answer.headers.iter().map(header).collect();
    let status = answer.status.as_u16();
    let kept = StoredAnswer { body: body.freeze(), headers, request, status };
    (End::Answered, fits.then_some(kept))
}

async fn next(
    mut parts: mpsc::Receiver<io::Result<Bytes>>,
) -> Option<(io::Result<Bytes>, mpsc::Receiver<io::Result<Bytes>>)> {
    let part = parts.recv().await?;
    Some((part, parts))
}

/// Tells the second holder of a record how its run ended.
async fn tell(node: &Node, second: Option<&Name>, end: &wire::stored_answer::End) {
    let Some(link) = second.and_then(|second| node.keys.link(second)) else { return };
    for _ in 0..TELL_ATTEMPTS {
        match link.call(&Call::KeyEnd(end.clone()), CALL_LIMIT).await {
            Ok(_) => return,
            Err(error) => log::info!(error = error.to_string(); "key_end_not_told"),
        }
    }
}
