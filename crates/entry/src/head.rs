//! The head of an urgent request, parsed and checked.

use super::*;

/// Header with the key that identifies a request across its repetitions.
pub(crate) const KEY_HEADER: &str = "idempotency-key";
/// Maximum length of an idempotency key, in bytes.
pub(crate) const MAX_KEY_BYTES: usize = 255;
/// Maximum length of a caller's name, in bytes.
pub(crate) const MAX_CALLER_BYTES: usize = 255;

/// An urgent request as sent by its caller, without its body.
#[derive(Clone, Debug)]
pub(crate) struct Head {
    /// The caller for whom requests in progress are limited: its name, or else its address.
    pub(crate) caller: String,
    /// Time until the caller's deadline, if it sent one.
    pub(crate) deadline: Option<Duration>,
    /// Headers to forward to the endpoint.
    pub(crate) headers: HeaderMap,
    /// Whether the request is idempotent, if the caller says so.
    pub(crate) idempotent: Option<bool>,
    /// The idempotency key.
    pub(crate) key: Option<String>,
    /// Declared length of the body, in bytes.
    pub(crate) length: Option<u64>,
    pub(crate) method: reqwest::Method,
    /// Whether the caller sent its name.
    pub(crate) caller_named: bool,
    /// Path and query, as sent.
    pub(crate) path: String,
    pub(crate) service: Name,
}

impl TryFrom<&Request> for Head {
    type Error = Refusal;

    fn try_from(request: &Request) -> Result<Self, Refusal> {
        let uri = request.uri();
        let path = uri.path_and_query().map_or("/", |path| path.as_str()).to_owned();
        check_path(uri.path())?;
        let service = uri.path().split('/').nth(2).unwrap_or_default();
        let service = Name::try_from(service).map_err(|error| invalid(error.to_string()))?;
        let headers = request.headers();
        let number =
            |name: &str| header_text(headers, name).map(|text| parse_header::<u64>(name, &text));
        let caller = header_text(headers, outcome::CALLER_HEADER);
        let caller_named = caller.is_some();
        let caller = caller.unwrap_or_else(|| host_address(request.remote_addr()));
        check_length(outcome::CALLER_HEADER, &caller, MAX_CALLER_BYTES)?;
        let key = header_text(headers, KEY_HEADER);
        check_length(KEY_HEADER, key.as_deref().unwrap_or("-"), MAX_KEY_BYTES)?;
        let idempotent = header_text(headers, outcome::IDEMPOTENT_HEADER);
        Ok(Self {
            caller,
            deadline: number(outcome::DEADLINE_HEADER).transpose()?.map(Duration::from_millis),
            headers: forward::end_to_end(headers),
            idempotent: idempotent
                .map(|t| parse_header(outcome::IDEMPOTENT_HEADER, &t))
                .transpose()?,
            key,
            length: number("content-length").transpose()?,
            method: request.method().clone(),
            caller_named,
            path,
            service,
        })
    }
}

/// Returns the header's trimmed value, if it is present and printable ASCII.
pub(crate) fn header_text(headers: &HeaderMap, name: &str) -> Option<String> {
    headers.get(name).and_then(|value| value.to_str().ok()).map(|value| value.trim().to_owned())
}

pub(crate) fn invalid(text: impl Into<String>) -> Refusal {
    Refusal::permanent(StatusCode::BAD_REQUEST, Reason::Invalid, text)
}

use refusal::{Reason, Refusal};

fn check_length(name: &str, text: &str, limit: usize) -> Result<(), Refusal> {
    if !text.is_empty() && text.len() <= limit {
        return Ok(());
    }
    let length = text.len();
    Err(invalid(format!("`{name}` has {length} bytes: use 1 to {limit}")))
}

/// Refuses dot segments, which could lead to the path of another service.
fn check_path(path: &str) -> Result<(), Refusal> {
    let dots = |segment: &str| {
        matches!(segment.to_ascii_lowercase().replace("%2e", ".").as_str(), "." | "..")
    };
    match path.split(['/', '\\']).any(dots) {
        true => Err(invalid(format!("`{path}` has a dot segment: write the path out"))),
        false => Ok(()),
    }
}

fn host_address(address: &salvo::conn::SocketAddr) -> String {
    address.clone().into_std().map_or("unknown".into(), |address| address.ip().to_string())
}

fn parse_header<T: std::str::FromStr>(name: &str, text: &str) -> Result<T, Refusal>
where
    T::Err: Display,
{
    text.parse().map_err(|error| invalid(format!("`{name}: {text}` can't be read: {error}")))
}
