//! Responses of the entry to requests that no endpoint answered: `not-run` or `unknown`.

use super::*;

/// Why no endpoint answered a request.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "kebab-case")]
pub(crate) enum Reason {
    /// The answer of the earlier run is no longer kept.
    AnswerNotKept,
    /// The body is longer than the service's limit.
    BodyLimit,
    /// The caller aborted or stalled while it sent the body.
    BodyStalled,
    /// The caller has reached its limit of requests in progress at this entry.
    CallerLimit,
    /// The deadline passed, or can't be met.
    Deadline,
    /// The endpoint responded to another request.
    ForeignAnswer,
    /// The request itself is malformed.
    Invalid,
    /// The time in the idempotency key lies in the future.
    KeyFromFuture,
    /// The idempotency key was used for a different request.
    KeyReused,
    /// No owner of the idempotency key answers.
    KeyUnavailable,
    /// It is not known whether a request ran under the idempotency key before.
    KeyUnvouched,
    /// The entry is shutting down and accepts no requests.
    Leaving,
    /// The connection to the endpoint broke.
    Lost,
    /// The entry has no configuration yet.
    NoConfiguration,
    /// No endpoint has a free slot.
    NoEndpoint,
    /// The service has reached its limit of requests in progress at this entry.
    ServiceLimit,
    /// No scheduler that owns the cell answers.
    SchedulerUnavailable,
    /// Endpoints refused or could not be reached.
    Unavailable,
    /// No service, job or path has that name.
    UnknownName,
}

/// A response of the entry itself.
#[derive(Clone, Debug)]
pub(crate) struct Refusal {
    pub(crate) outcome: Outcome,
    pub(crate) reason: Reason,
    /// Time after which the caller should retry; `None` if it should not send the request again
    /// unchanged.
    pub(crate) retry: Option<Duration>,
    pub(crate) status: StatusCode,
    /// Message for people: names the fault and the remedy.
    pub(crate) text: String,
}

/// JSON body of a refusal.
#[derive(Serialize)]
struct Payload<'a> {
    outcome: Outcome,
    reason: Reason,
    retry_after_ms: Option<u64>,
    text: &'a str,
}

impl Reason {
    /// Returns the header value.
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
    /// Returns how the refusal counts against the service's objective; `None` if the caller caused
    /// it.
    pub(crate) fn burn_cause(&self) -> Option<burn::Cause> {
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

    /// Returns a refusal of a request that did not run and should be retried after `retry`.
    pub(crate) fn retryable(reason: Reason, retry: Duration, text: impl Into<String>) -> Self {
        let status = match reason {
            Reason::CallerLimit => StatusCode::TOO_MANY_REQUESTS,
            _ => StatusCode::SERVICE_UNAVAILABLE,
        };
        let text = text.into();
        Self { outcome: Outcome::NotRun, reason, retry: Some(retry), status, text }
    }

    /// Returns a refusal of a request that did not run and can't run as it was sent.
    pub(crate) fn permanent(status: StatusCode, reason: Reason, text: impl Into<String>) -> Self {
        Self { outcome: Outcome::NotRun, reason, retry: None, status, text: text.into() }
    }

    /// Returns a refusal of a request that may have run.
    pub(crate) fn unknown(reason: Reason, text: impl Into<String>) -> Self {
        let status = StatusCode::GATEWAY_TIMEOUT;
        Self { outcome: Outcome::Unknown, reason, retry: None, status, text: text.into() }
    }

    /// Writes the refusal into `response`.
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
            // The rest of the body is not read, so the connection can't be reused.
            headers.insert(reqwest::header::CONNECTION, HeaderValue::from_static("close"));
        }
        if let Some(retry) = self.retry {
            let seconds = HeaderValue::from(retry.as_millis().div_ceil(1_000).max(1) as u64);
            headers.insert(reqwest::header::RETRY_AFTER, seconds);
        }
        let payload = Payload {
            outcome: self.outcome,
            reason: self.reason,
            retry_after_ms: self.retry.map(|retry| retry.as_millis() as u64),
            text: &self.text,
        };
        response.body(ResBody::Once(serde_json::to_vec(&payload).unwrap_or_default().into()));
    }
}
