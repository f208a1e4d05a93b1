//! Forwards the response of an endpoint to the caller.

use super::*;
use {context::Context, slot::Slot, ticket::Ticket};

/// Headers that apply to one connection and are not forwarded.
const HOP_BY_HOP: [&str; 10] = [
    "connection",
    "expect",
    "host",
    "keep-alive",
    "proxy-authenticate",
    "proxy-authorization",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
];

/// Longest pause between two parts of a response body.
const STALL_TIMEOUT: Duration = Duration::from_secs(30);

/// The response of an endpoint, with its body as a stream.
pub(crate) struct Answer {
    pub(crate) body: futures_util::stream::BoxStream<'static, io::Result<Bytes>>,
    pub(crate) headers: HeaderMap,
    pub(crate) status: StatusCode,
}

/// Ends the request's slot, ticket and state machine once its response was forwarded. If dropped
/// earlier, it counts the caller as gone.
pub(crate) struct Completion {
    pub(crate) deadline: Instant,
    pub(crate) machine: Machine,
    pub(crate) context: Arc<Context>,
    pub(crate) service: Name,
    pub(crate) slot: Option<Slot>,
    pub(crate) started: Instant,
    pub(crate) ticket: Ticket,
}

/// Returns the headers to forward: all except those of the connection, `content-length` and those
/// that start with `oleanderstage-`.
pub(crate) fn end_to_end(headers: &HeaderMap) -> HeaderMap {
    let connection_options =
        head::header_text(headers, "connection").unwrap_or_default().to_ascii_lowercase();
    let dropped = |name: &str| {
        HOP_BY_HOP.contains(&name)
            || name == "content-length"
            || name.starts_with("oleanderstage-")
            || connection_options.split(',').any(|other| other.trim() == name)
    };
    let kept = headers.iter().filter(|(name, _)| !dropped(name.as_str()));
    kept.map(|(name, value)| (name.clone(), value.clone())).collect()
}

impl Answer {
    /// Returns the answer for an endpoint's response; `completion` is finished when the body ends.
    pub(crate) fn new(response: reqwest::Response, completion: Completion) -> Self {
        let mut headers = end_to_end(response.headers());
        let length = response.headers().get(reqwest::header::CONTENT_LENGTH).cloned();
        let remaining_bytes = response.content_length();
        if let Some(length) = length {
            headers.insert(reqwest::header::CONTENT_LENGTH, length);
        }
        let status = response.status();
        let parts = response.bytes_stream().map_err(io::Error::other).boxed();
        let body =
            futures_util::stream::unfold(Some((parts, completion, remaining_bytes)), next_part)
                .boxed();
        Self { body, headers, status }
    }

    /// Keeps the exchange until the body has been sent, or its caller is gone.
    pub(crate) fn held_by(self, exchange: clients::Exchange) -> Self {
        let body = self.body.inspect(move |_| {
            let _ = &exchange;
        });
        Self { body: body.boxed(), ..self }
    }

    /// Writes the answer into `response` for the caller of request `id`.
    pub(crate) fn write(self, id: oleanderstage_core::request::Id, response: &mut Response) {
        response.status_code(self.status);
        *response.headers_mut() = self.headers;
        let headers = response.headers_mut();
        let outcome = HeaderValue::from_static(Outcome::Answered.as_str());
        headers.insert(HeaderName::from_static(outcome::HEADER), outcome);
        if let Ok(id) = HeaderValue::from_str(&id.to_string()) {
            headers.insert(HeaderName::from_static(outcome::REQUEST_HEADER), id);
        }
        response.body(ResBody::stream(self.body));
    }
}

type BodyStream = futures_util::stream::BoxStream<'static, io::Result<Bytes>>;
/// The rest of a body, with its length in bytes if known; `None` after an error.
type Rest = Option<(BodyStream, Completion, Option<u64>)>;

/// Returns the next part of a body and the rest after it. Finishes the completion when the body is
/// complete, and cuts it if the body broke off, stalled or is too short.
async fn next_part(rest: Rest) -> Option<(io::Result<Bytes>, Rest)> {
    let (mut parts, mut completion, remaining_bytes) = rest?;
    let part = tokio::time::timeout(STALL_TIMEOUT, parts.next()).await;
    let stalled =
        || Some(Err(io::Error::other("the endpoint stalled while sending the response body")));
    match part.unwrap_or_else(|_| stalled()) {
        None if remaining_bytes.is_none_or(|bytes| bytes == 0) => {
            completion.finish();
            None
        }
        None => Some((
            Err(completion.cut("the response body is shorter than its content-length")),
            None,
        )),
        Some(Err(cause)) => Some((Err(completion.cut(&cause.to_string())), None)),
        Some(Ok(part)) => {
            let remaining_bytes =
                remaining_bytes.map(|bytes| bytes.saturating_sub(part.len() as u64));
            if remaining_bytes == Some(0) {
                completion.finish();
            }
            Some((Ok(part), Some((parts, completion, remaining_bytes))))
        }
    }
}

impl Completion {
    /// Ends the request because its response broke off; returns the error that aborts the stream to
    /// the caller.
    fn cut(&mut self, cause: &str) -> io::Error {
        self.machine.handle(Event::Broken);
        self.context.counters.count_broken_answer(self.context.clock.now(), &self.service);
        if let Some(slot) = self.slot.take() {
            log::warn!(service = self.service.to_string(), vm = slot.vm.to_string(), cause; "answer_broken");
            self.context.counters.count_failed_attempt(
                self.context.clock.now(),
                &self.service,
                &slot.vm,
            );
            slot.end(route::End::Failed);
        }
        io::Error::other(cause.to_owned())
    }

    /// Ends the request whose response was forwarded completely.
    fn finish(&mut self) {
        if self.machine.handle(Event::Whole) != Action::Finish {
            return;
        }
        let now = self.context.clock.now();
        let latency = now.since(self.started);
        self.ticket.set_latency(latency);
        let vm = self.slot.as_ref().map(|slot| slot.vm.clone());
        if let Some(slot) = self.slot.take() {
            slot.end(route::End::Answered { latency });
        }
        self.context.count_answer(&self.service, vm.as_ref(), latency, now <= self.deadline);
    }
}

impl Drop for Completion {
    fn drop(&mut self) {
        if self.machine.handle(Event::Gone) == Action::Cancel {
            self.context.counters.count(&self.service, counters::Cause::Gone);
        }
    }
}
