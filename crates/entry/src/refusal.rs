//! Answers that the entry gives itself: not run, or unknown.

use super::*;

/// Why a request was not answered by an endpoint.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "kebab-case")]
pub(crate) enum Reason {
    /// The answer of the run before is not kept any more.
    AnswerNotKept,
    /// The body is above the service's limit.
    BodyLimit,
    /// The caller broke the body off, or stalled.
    BodyStalled,
    /// The caller has its limit in progress at this entry.
    CallerLimit,
    /// The deadline passed, or can't be met.
    Deadline,
    /// The endpoint's answer belongs to another request.
    ForeignAnswer,
    /// The request itself is malformed.
    Invalid,
    /// The idempotency key was minted in the future.
    KeyFromFuture,
    /// The idempotency key was sent with another request.
    KeyReused,
    /// No owner of the idempotency key answers.
    KeyUnavailable,
    /// Whether the idempotency key ran before can't be known.
    KeyUnvouched,
    /// The entry takes nothing new.
    Leaving,
    /// The connection to the endpoint broke.
    Lost,
    /// Nothing is configured yet.
    NoConfiguration,
    /// No endpoint has a free slot.
    NoEndpoint,
    /// The service has its limit in progress at this entry.
    ServiceLimit,
    /// No scheduler that owns the cell answers.
    SchedulerUnavailable,
    /// Endpoints refused or could not be reached.
    Unavailable,
    /// No service or job of that name.
    UnknownName,
}

/// An answer that the entry gives itself.
#[derive(Clone, Debug)]
pub(crate) struct Refusal {
    pub(crate) outcome: Outcome,
    pub(crate) reason: Reason,
    /// When to come back, if ever.
    pub(crate) retry: Option<Duration>,
    pub(crate) status: StatusCode,
    /// For people: names the thing and the mend.
    pub(crate) text: String,
}

#[derive(Serialize)]
struct Page<'a> {
    outcome: Outcome,
    reason: Reason,
    retry_after_ms: Option<u64>,
    text: &'a str,
}

impl Reason {
    pub(crate) fn as_str(self) -> &'static str {
        match self {
            Self::AnswerNotKept => "answer-not-kept",
            Self::BodyLimit => "body-limit",
            Self::BodyStalled => "body-stalled",
            Self::CallerLimit => "caller-limit",
            Self::Deadline => "deadline",
            Self::ForeignAnswer => "foreign-answer",
            Self::Invalid => "invalid",
            Self::KeyFromFuture => "key-from-future",
            Self::KeyReused => "key-reused",
            Self::KeyUnavailable => "key-unavailable",
            Self::KeyUnvouched => "key-unvouched",
            Self::Leaving => "leaving",
            Self::Lost => "lost",
            Self::NoConfiguration => "no-configuration",
            Self::NoEndpoint => "no-endpoint",
            Self::SchedulerUnavailable => "scheduler-unavailable",
            Self::ServiceLimit => "service-limit",
            Self::Unavailable => "unavailable",
            Self::UnknownName => "unknown-name",
        }
    }
}

impl From<admission::Reason> for Reason {
    fn from(reason: admission::Reason) -> Self {
        match reason {
            admission::Reason::CallerLimit => Self::CallerLimit,
            admission::Reason::Deadline => Self::Deadline,
            admission::Reason::ServiceLimit => Self::ServiceLimit,
        }
    }
}

impl Refusal {
    /// Returns what the refusal counts as against the service's objective; nothing when the caller
    /// brought it about.
    pub(crate) fn burns(&self) -> Option<burn::Cause> {
        if self.outcome == Outcome::Unknown {
            return Some(burn::Cause::Unknown);
        }
        match self.reason {
            Reason::BodyLimit
            | Reason::BodyStalled
            | Reason::CallerLimit
            | Reason::Invalid
            | Reason::KeyFromFuture
            | Reason::KeyReused
            | Reason::UnknownName => None,
            Reason::Deadline => Some(burn::Cause::PastDeadline),
            Reason::AnswerNotKept
            | Reason::ForeignAnswer
            | Reason::KeyUnvouched
            | Reason::Lost
            | Reason::Unavailable => Some(burn::Cause::Unreachable),
            Reason::KeyUnavailable
            | Reason::Leaving
            | Reason::NoConfiguration
            | Reason::SchedulerUnavailable => Some(burn::Cause::Unavailable),
            Reason::NoEndpoint | Reason::ServiceLimit => Some(burn::Cause::Overloaded),
        }
    }

    /// Proven not run, and worth another try after `retry`.
    pub(crate) fn later(reason: Reason, retry: Duration, text: impl Into<String>) -> Self {
        let status = match reason {
            Reason::CallerLimit => StatusCode::TOO_MANY_REQUESTS,
            _ => StatusCode::SERVICE_UNAVAILABLE,
        };
        let text = text.into();
        Self { outcome: Outcome::NotRun, reason, retry: Some(retry), status, text }
    }

    /// Proven not run, and never will as it is.
    pub(crate) fn never(status: StatusCode, reason: Reason, text: impl Into<String>) -> Self {
        Self { outcome: Outcome::NotRun, reason, retry: None, status, text: text.into() }
    }

    /// May have run.
    pub(crate) fn unknown(reason: Reason, text: impl Into<String>) -> Self {
        let status = StatusCode::GATEWAY_TIMEOUT;
        Self { outcome: Outcome::Unknown, reason, retry: None, status, text: text.into() }
    }

    /// Writes itself into `response`.
    pub(crate) fn write(&self, response: &mut Response) {
        response.status_code(self.status);
        let headers = response.headers_mut();
        let outcome = HeaderValue::from_static(self.outcome.as_str());
        headers.insert(HeaderName::from_static(outcome::HEADER), outcome);
        let reason = HeaderValue::from_static(self.reason.as_str());
        headers.insert(HeaderName::from_static(outcome::REASON_HEADER), reason);
        let json = HeaderValue::from_static("application/json");
        headers.insert(reqwest::header::CONTENT_TYPE, json);
        if matches!(self.reason, Reason::BodyLimit | Reason::BodyStalled) {
            // What is left of the body is not read: the connection ends here.
            headers.insert(reqwest::header::CONNECTION, HeaderValue::from_static("close"));
        }
        if let Some(retry) = self.retry {
            let seconds = HeaderValue::from(retry.as_millis().div_ceil(1_000).max(1) as u64);
            headers.insert(reqwest::header::RETRY_AFTER, seconds);
        }
        let page = Page {
            outcome: self.outcome,
            reason: self.reason,
            retry_after_ms: self.retry.map(|retry| retry.as_millis() as u64),
            text: &self.text,
        };
        response.body(ResBody::Once(serde_json::to_vec(&page).unwrap_or_default().into()));
    }
}
