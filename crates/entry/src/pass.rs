//! Passing the answer of an endpoint on to its caller.

use super::*;
use {node::Node, slot::Slot, ticket::Ticket};

/// Headers that belong to one connection, never to the request or answer itself.
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

/// The longest pause between two parts of an answer.
const STALL_LIMIT: Duration = Duration::from_secs(30);

/// The answer of an endpoint: its head, and its body as it arrives.
pub(crate) struct Answer {
    pub(crate) body: futures_util::stream::BoxStream<'static, io::Result<Bytes>>,
    pub(crate) headers: HeaderMap,
    pub(crate) status: StatusCode,
}

/// What is given back once an answer was passed on.
pub(crate) struct Passing {
    pub(crate) deadline: Instant,
    pub(crate) machine: Machine,
    pub(crate) node: Arc<Node>,
    pub(crate) service: Name,
    pub(crate) slot: Option<Slot>,
    pub(crate) started: Instant,
    pub(crate) ticket: Ticket,
}

/// Returns the headers that go from end to end, without those that name hops, body or outcome.
pub(crate) fn end_to_end(headers: &HeaderMap) -> HeaderMap {
    let named = inbound::text(headers, "connection").unwrap_or_default().to_ascii_lowercase();
    let dropped = |name: &str| {
        HOP_BY_HOP.contains(&name)
            || name == "content-length"
            || name.starts_with("oleanderstage-")
            || named.split(',').any(|other| other.trim() == name)
    };
    let kept = headers.iter().filter(|(name, _)| !dropped(name.as_str()));
    kept.map(|(name, value)| (name.clone(), value.clone())).collect()
}

impl Answer {
    /// Takes the endpoint's answer over; `passing` is settled when the body ends.
    pub(crate) fn new(response: reqwest::Response, passing: Passing) -> Self {
        let mut headers = end_to_end(response.headers());
        let length = response.headers().get(reqwest::header::CONTENT_LENGTH).cloned();
        let left = response.content_length();
        if let Some(length) = length {
            headers.insert(reqwest::header::CONTENT_LENGTH, length);
        }
        let status = response.status();
        let parts = response.bytes_stream().map_err(io::Error::other).boxed();
        let body = futures_util::stream::unfold(Some((parts, passing, left)), next).boxed();
        Self { body, headers, status }
    }

    /// Writes itself into `response` for the caller of request `id`.
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

type Parts = futures_util::stream::BoxStream<'static, io::Result<Bytes>>;
type Rest = Option<(Parts, Passing, Option<u64>)>;

async fn next(rest: Rest) -> Option<(io::Result<Bytes>, Rest)> {
    let (mut parts, mut passing, left) = rest?;
    let part = tokio::time::timeout(STALL_LIMIT, parts.next()).await;
    let stalled = || Some(Err(io::Error::other("the answer stalled")));
    match part.unwrap_or_else(|_| stalled()) {
        None if left.is_none_or(|left| left == 0) => {
            passing.finish();
            None
        }
        None => Some((Err(passing.cut("the answer is not whole")), None)),
        Some(Err(cause)) => Some((Err(passing.cut(&cause.to_string())), None)),
        Some(Ok(part)) => {
            let left = left.map(|left| left.saturating_sub(part.len() as u64));
            if left == Some(0) {
                passing.finish();
            }
            Some((Ok(part), Some((parts, passing, left))))
        }
    }
}

impl Passing {
    fn cut(&mut self, cause: &str) -> io::Error {
        self.machine.handle(Event::Broken);
        self.node.counters.broken(self.node.clock.now(), &self.service);
        if let Some(slot) = self.slot.take() {
            log::warn!(service = self.service.to_string(), vm = slot.vm.to_string(), cause; "answer_broken");
            self.node.counters.blame(self.node.clock.now(), &self.service, &slot.vm);
            slot.end(route::End::Failed);
        }
        io::Error::other(cause.to_owned())
    }

    fn finish(&mut self) {
        if self.machine.handle(Event::Whole) != Action::Finish {
            return;
        }
        let now = self.node.clock.now();
        let latency = now.since(self.started);
        self.ticket.answered(latency);
        let vm = self.slot.as_ref().map(|slot| slot.vm.clone());
        if let Some(slot) = self.slot.take() {
            slot.end(route::End::Answered { latency });
        }
        self.node.answered(&self.service, vm.as_ref(), latency, now <= self.deadline);
    }
}

impl Drop for Passing {
    fn drop(&mut self) {
        if self.machine.handle(Event::Gone) == Action::Cancel {
            self.node.counters.count(&self.service, counters::Cause::Gone);
        }
    }
}
