//! Urgent requests with an idempotency key: the request runs once, and every repetition gets the
//! answer of that run. The owner of the key's partition permits the run. Two entries, if there are
//! two, hold its record, so that the loss of one does not lead to a second run.

use super::*;
use {
    attempt::{Admission, Attempts},
    body::Body,
    context::Context,
    forward::Answer,
    keys::{CALL_TIMEOUT, ask_peer, end_message},
    oleanderstage_core::{
        key::{Fingerprint, Id},
        key_call::{Answer as PeerAnswer, Request},
        key_record::{End, Record},
        request,
    },
    refusal::{Reason, Refusal},
    sha2::{Digest, Sha256},
    std::pin::pin,
    tokio::sync::{oneshot, watch},
    wire::{StoredAnswer, stored_answer::Header},
};

/// Maximum body length of a keyed request, which is buffered whole.
pub(crate) const MAX_BODY_BYTES: usize = 8 << 20;
/// Capacity of the channel that streams the answer to the first caller, in body parts.
const CALLER_BUFFER_PARTS: usize = 8;
/// Maximum calls to the owner; it is called again when an earlier run turns out not to have begun.
const MAX_OWNER_CALLS: u32 = 3;
/// Time after which a caller should retry if no owner can permit the run.
const RETRY_AFTER: Duration = Duration::from_secs(1);
/// Maximum entries asked concurrently to hold a record; one that does is enough.
const MAX_WITNESS_CALLS: usize = 2;
/// Maximum attempts to report the end of a run to the second holder of its record.
const MAX_END_REPORT_ATTEMPTS: u32 = 3;
/// How long the last part of an answer waits for that report: many times the round trip between
/// entries, and short for the caller if the second holder does not answer.
const END_REPORT_WAIT: Duration = Duration::from_millis(100);

/// An admitted request with an idempotency key.
pub(crate) struct KeyedRequest {
    admission: Admission,
    body: Body,
    fingerprint: Fingerprint,
    id: Id,
    idempotent: bool,
    context: Arc<Context>,
}

/// What the caller of a request gets.
pub(crate) enum Resolution {
    /// An endpoint's answer, and the id of the request that it answers. A repetition gets the id of
    /// the first run.
    Answered(Answer, request::Id),
    /// The entry refused the request.
    Refused(Refusal),
}

/// A permitted run. It continues when its caller disconnects.
struct Run {
    /// To the first caller.
    answer_sender: oneshot::Sender<Result<Answer, Refusal>>,
    context: Arc<Context>,
    record: Record,
    request: request::Id,
    /// The other entry that holds the record, if any.
    second_holder: Option<Name>,
    /// To repetitions that wait for the end of the run.
    end_sender: watch::Sender<Option<End>>,
}

/// The unsent end of an answer.
struct LastPart {
    caller: mpsc::Sender<io::Result<Bytes>>,
    /// The last part of the body; `None` if the body is empty.
    part: Option<Bytes>,
}

impl KeyedRequest {
    /// Returns the request sent under `key`; its fingerprint covers method, path and body.
    pub(crate) fn new(
        context: &Arc<Context>,
        admission: Admission,
        key: &str,
        body: Bytes,
    ) -> Self {
        let head = &admission.head;
        let caller = if head.caller_named { head.caller.as_str() } else { "" };
        let id = Id::new(caller, &head.service, key);
        let mut hash = Sha256::new();
        for part in [head.method.as_str().as_bytes(), head.path.as_bytes(), &body] {
            hash.update((part.len() as u64).to_be_bytes());
            hash.update(part);
        }
        let digest = hash.finalize();
        let hash = digest[..16].iter().fold(0, |hash, byte| hash << 8 | u128::from(*byte));
        let idempotent = head.idempotent.unwrap_or(admission.service.config.idempotent);
        let (body, fingerprint) = (Body::Buffered(body), Fingerprint(hash));
        Self { admission, body, fingerprint, id, idempotent, context: context.clone() }
    }

    /// Runs the request, or returns the answer of its first run.
    pub(crate) async fn run(self) -> Resolution {
        for _ in 0..MAX_OWNER_CALLS {
            let (answer, owner, asked_at) = self.ask_owner().await;
            let refusal = match answer {
                PeerAnswer::Permitted(record) => return self.begin(record, owner, asked_at).await,
                PeerAnswer::Repeated(record) => match self.join_run(&record, &owner).await {
                    Some(outcome) => return outcome,
                    None => continue,
                },
                PeerAnswer::Mismatch => self.refuse(
                    StatusCode::UNPROCESSABLE_ENTITY,
                    Reason::KeyReused,
                    "another request was sent under this key: use a new key",
                ),
                PeerAnswer::Future => self.refuse(
                    StatusCode::BAD_REQUEST,
                    Reason::KeyFromFuture,
                    "the key was minted in the future: set the caller's clock",
                ),
                PeerAnswer::Unvouched => {
                    let text = "whether this key ran before can't be told: check before sending \
                                it under a new key";
                    Refusal::unknown(Reason::KeyUnvouched, text)
                }
                _ if self.idempotent => return self.run_unkeyed().await,
                _ => Refusal::retryable(
                    Reason::KeyUnavailable,
                    RETRY_AFTER,
                    "no owner of the key answers",
                ),
            };
            return Resolution::Refused(refusal);
        }
        let text = "the run under this key did not begin: send it again";
        Resolution::Refused(Refusal::retryable(Reason::KeyUnavailable, RETRY_AFTER, text))
    }

    /// Asks the owner of the key's partition to permit the run. Returns its answer, its name and the
    /// time of the call.
    async fn ask_owner(&self) -> (PeerAnswer, Name, Instant) {
        let own = self.context.keys.own_member();
        let asked_at = self.context.clock.now();
        let Some(owner) = self.context.keys.owner_of(&self.id) else {
            return (PeerAnswer::Unowned, own.name, asked_at);
        };
        let request = Request::Run {
            fingerprint: self.fingerprint,
            id: self.id,
            idempotent: self.idempotent,
            runner: own.clone(),
        };
        let answer = match owner == own {
            true => Some(self.context.keys.answer(self.context.key_now(), &request)),
            false => ask_peer(&self.context, &owner.name, &request).await.1,
        };
        (answer.unwrap_or(PeerAnswer::Unowned), owner.name, asked_at)
    }

    /// Starts a permitted run once two entries hold its record, and returns its result.
    async fn begin(self, record: Record, owner: Name, asked_at: Instant) -> Resolution {
        let own = self.context.keys.own_member();
        let second_holder = match owner == own.name {
            true => self.find_witness(&record).await,
            false => Some(Some(owner)),
        };
        let now = self.context.key_now();
        let end_sender = match &second_holder {
            Some(_) => self.context.keys.begin(now, asked_at, &record),
            None => None,
        };
        let second_holder = second_holder.flatten();
        let Some(end_sender) = end_sender else {
            let end = end_message(&record, End::NotRun, None);
            self.context.keys.record_end(now, &end);
            report_end(&self.context, second_holder.as_ref(), &end).await;
            let text = "the permission to run came too late: send it again";
            return Resolution::Refused(Refusal::retryable(
                Reason::KeyUnavailable,
                RETRY_AFTER,
                text,
            ));
        };
        let request = self.admission.id;
        let (answer_sender, answer) = oneshot::channel();
        let run = Run {
            answer_sender,
            context: self.context.clone(),
            record,
            request,
            second_holder,
            end_sender,
        };
        let attempts = Attempts::new(&self.context, self.admission, self.body);
        self.context.keys.tasks.spawn(run.execute(attempts));
        match answer.await {
            Ok(Ok(answer)) => Resolution::Answered(answer, request),
            Ok(Err(refusal)) => Resolution::Refused(refusal),
            Err(_) => Resolution::Refused(Refusal::unknown(Reason::Lost, "the run broke off")),
        }
    }

    /// Finds another entry to hold a record that this entry owns. Returns `Some(None)` if there is no
    /// other entry, and `None` if none of those asked holds it.
    async fn find_witness(&self, record: &Record) -> Option<Option<Name>> {
        let witnesses = self.context.keys.witnesses(&record.id);
        if witnesses.is_empty() {
            return Some(None);
        }
        let request = Request::Witness { record: record.clone() };
        let request = &request;
        let calls = witnesses.into_iter().take(MAX_WITNESS_CALLS).map(|witness| {
            Box::pin(async move {
                let (from, answer) = ask_peer(&self.context, &witness.name, request).await;
                let held = from.as_ref() == Some(&witness) && answer == Some(PeerAnswer::Taken);
                held.then_some(witness.name).ok_or(())
            })
        });
        let (witness, _) = future::select_ok(calls).await.ok()?;
        Some(Some(witness))
    }

    /// Waits for the earlier run and returns its result; `None` if that run did not begin and never
    /// will. Asks the runner first, then the other entries that may keep the answer.
    async fn join_run(&self, record: &Record, owner: &Name) -> Option<Resolution> {
        let runner = &record.runner.name;
        let wait = self.admission.deadline.since(self.context.clock.now());
        let (mut end, mut answer) = match self.context.keys.has_member(&record.runner) {
            true => self.run_state(runner, record, wait).await,
            false => (record.end, None),
        };
        if end == Some(End::Answered) || end.is_none() {
            let own = &self.context.settings.name;
            let peers = self.context.keys.peers.iter().map(|link| &link.peer);
            for entry in [owner, own].into_iter().chain(peers).filter(|entry| *entry != runner) {
                if answer.is_some() {
                    break;
                }
                let (ended, kept) = self.run_state(entry, record, Duration::ZERO).await;
                end = end.or(ended);
                answer = kept;
            }
        }
        match (end, answer) {
            (Some(End::NotRun), _) => {
                let end = end_message(record, End::NotRun, None);
                self.context.keys.record_end(self.context.key_now(), &end);
                report_end(&self.context, Some(owner), &end).await;
                None
            }
            (Some(End::Answered), Some(kept)) => {
                self.context.counters.count(&self.admission.head.service, counters::Cause::Joined);
                Some(Resolution::Answered(Answer::from(&*kept), kept.request))
            }
            (Some(End::Answered), None) => {
                let text = "the request ran and was answered, and the answer is not kept any more";
                Some(Resolution::Refused(Refusal::unknown(Reason::AnswerNotKept, text)))
            }
            (Some(End::Unknown) | None, _) => {
                let text = "the request may have run, and its answer is lost";
                Some(Resolution::Refused(Refusal::unknown(Reason::Lost, text)))
            }
        }
    }

    /// Returns the refusal of a request that can't run under its key.
    fn refuse(&self, status: StatusCode, reason: Reason, text: &str) -> Refusal {
        Refusal::permanent(status, reason, text)
    }

    /// Runs an idempotent request without a permission.
    async fn run_unkeyed(self) -> Resolution {
        let request = self.admission.id;
        match Attempts::new(&self.context, self.admission, self.body).run().await {
            Ok(answer) => Resolution::Answered(answer, request),
            Err(refusal) => Resolution::Refused(refusal),
        }
    }

    /// Returns the end of the run as known to `entry`, and its answer if kept there. Waits for the
    /// end for up to `wait`.
    async fn run_state(
        &self,
        entry: &Name,
        record: &Record,
        wait: Duration,
    ) -> (Option<End>, Option<Arc<StoredAnswer>>) {
        if *entry == self.context.settings.name {
            return self.context.keys.run_state(self.context.clock, record, wait).await;
        }
        let Some(link) = self.context.keys.link(entry) else { return (None, None) };
        let wait_ms = wait.as_millis() as u64;
        let call = Call::KeyAnswer { record: record.clone(), wait_ms };
        match link.call(&call, wait + CALL_TIMEOUT).await {
            Ok(Reply::KeyAnswer { answer, end }) => (end, answer.map(Arc::new)),
            _ => (None, None),
        }
    }
}

impl Run {
    /// Makes the attempts, forwards the answer and keeps it, even if the caller disconnects. A
    /// caller that has the whole answer can rely on a repetition being answered alike, even if this
    /// entry dies: the second holder of the record knows the end first.
    async fn execute(self, attempts: Attempts) {
        let (end, answer, last_part) = match attempts.run().await {
            Ok(answer) => {
                let (part_sender, parts) = mpsc::channel(CALLER_BUFFER_PARTS);
                let streamed = Answer {
                    body: futures_util::stream::unfold(parts, receive_part).boxed(),
                    headers: answer.headers.clone(),
                    status: answer.status,
                };
                let _ = self.answer_sender.send(Ok(streamed));
                forward_and_collect(answer, self.request, part_sender).await
            }
            Err(refusal) => {
                let end = match refusal.outcome {
                    outcome::Outcome::NotRun => End::NotRun,
                    outcome::Outcome::Answered | outcome::Outcome::Unknown => End::Unknown,
                };
                let _ = self.answer_sender.send(Err(refusal));
                (end, None, None)
            }
        };
        let message = end_message(&self.record, end, answer);
        self.context.keys.record_end(self.context.key_now(), &message);
        self.context.keys.finish_run(&self.record.id, &self.end_sender, end);
        let mut report = pin!(report_end(&self.context, self.second_holder.as_ref(), &message));
        let reported = tokio::time::timeout(END_REPORT_WAIT, &mut report).await.is_ok();
        if let Some(last_part) = last_part {
            last_part.send().await;
        }
        if !reported {
            report.await;
        }
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

/// Forwards an answer up to its last part, which is returned unsent. Also returns the answer if it is
/// complete and its body is at most `wire::stored_answer::MAX_BODY_BYTES` long.
async fn forward_and_collect(
    mut answer: Answer,
    request: request::Id,
    caller: mpsc::Sender<io::Result<Bytes>>,
) -> (End, Option<StoredAnswer>, Option<LastPart>) {
    let mut body = BytesMut::new();
    let mut fits = true;
    let mut held: Option<Bytes> = None;
    while let Some(part) = answer.body.next().await {
        if let Some(previous) = held.take() {
            let _ = caller.send(Ok(previous)).await;
        }
        match part {
            Ok(part) => {
                fits &= body.len() + part.len() <= wire::stored_answer::MAX_BODY_BYTES;
                if fits {
                    body.extend_from_slice(&part);
                }
                held = Some(part);
            }
            Err(error) => {
                let _ = caller.send(Err(error)).await;
                return (End::Unknown, None, None);
            }
        }
    }
    let header = |(name, value): (&HeaderName, &HeaderValue)| Header {
        name: name.as_str().to_owned(),
        value: value.as_bytes().to_vec(),
    };
    let headers = answer.headers.iter().map(header).collect();
    let status = answer.status.as_u16();
    let kept = StoredAnswer { body: body.freeze(), headers, request, status };
    (End::Answered, fits.then_some(kept), Some(LastPart { caller, part: held }))
}

impl LastPart {
    /// Sends the part and ends the answer.
    async fn send(self) {
        if let Some(part) = self.part {
            let _ = self.caller.send(Ok(part)).await;
        }
    }
}

async fn receive_part(
    mut parts: mpsc::Receiver<io::Result<Bytes>>,
) -> Option<(io::Result<Bytes>, mpsc::Receiver<io::Result<Bytes>>)> {
    let part = parts.recv().await?;
    Some((part, parts))
}

/// Reports the end of a run to the second holder of its record.
async fn report_end(
    context: &Context,
    second_holder: Option<&Name>,
    end: &wire::stored_answer::End,
) {
    let Some(link) = second_holder.and_then(|holder| context.keys.link(holder)) else { return };
    for _ in 0..MAX_END_REPORT_ATTEMPTS {
        match link.call(&Call::KeyEnd(end.clone()), CALL_TIMEOUT).await {
            Ok(_) => return,
            Err(error) => log::info!(error = error.to_string(); "key_end_not_told"),
        }
    }
}
