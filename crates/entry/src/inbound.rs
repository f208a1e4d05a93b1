//! An urgent request as its caller sent it, checked.

use super::*;

/// Header that names a request across its repetitions.
pub(crate) const KEY_HEADER: &str = "idempotency-key";
/// The longest idempotency key, in bytes.
pub(crate) const MAX_KEY_BYTES: usize = 255;
/// The longest name of a caller, in bytes.
pub(crate) const MAX_CALLER_BYTES: usize = 255;

/// An urgent request as its caller sent it, without its body.
#[derive(Clone, Debug)]
pub(crate) struct Inbound {
    /// Whom limits count.
    pub(crate) caller: String,
    /// The time that the caller gives, if it says.
    pub(crate) deadline: Option<Duration>,
    /// Headers for the endpoint, without those of the connection.
    pub(crate) headers: HeaderMap,
    /// Whether the caller marks it idempotent, if it says.
    pub(crate) idempotent: Option<bool>,
    /// The idempotency key.
    pub(crate) key: Option<String>,
    pub(crate) length: Option<u64>,
    pub(crate) method: reqwest::Method,
    /// Path and query, as sent.
    /// Whether the caller named itself.
    pub(crate) named: bool,
    pub(crate) path: String,
    pub(crate) service: Name,
}

impl TryFrom<&Request> for Inbound {
    type Error = Refusal;

    fn try_from(request: &Request) -> Result<Self, Refusal> {
        let uri = request.uri();
        let path = uri.path_and_query().map_or("/", |path| path.as_str()).to_owned();
        check_path(uri.path())?;
        let service = uri.path().split('/').nth(2).unwrap_or_default();
        let service = Name::try_from(service).map_err(|error| invalid(error.to_string()))?;
        let headers = request.headers();
        let number = |name: &str| text(headers, name).map(|text| parse::<u64>(name, &text));
        let caller = text(headers, outcome::CALLER_HEADER);
        let named = caller.is_some();
        let caller = caller.unwrap_or_else(|| host(request.remote_addr()));
        check_length(outcome::CALLER_HEADER, &caller, MAX_CALLER_BYTES)?;
        let key = text(headers, KEY_HEADER);
        check_length(KEY_HEADER, key.as_deref().unwrap_or("-"), MAX_KEY_BYTES)?;
        let mark = text(headers, outcome::IDEMPOTENT_HEADER);
        Ok(Self {
            caller,
            deadline: number(outcome::DEADLINE_HEADER).transpose()?.map(Duration::from_millis),
            headers: pass::end_to_end(headers),
            idempotent: mark.map(|t| parse(outcome::IDEMPOTENT_HEADER, &t)).transpose()?,
            key,
            length: number("content-length").transpose()?,
            method: request.method().clone(),
            named,
            path,
            service,
        })
    }
}

/// Returns the header's text, if it has one.
pub(crate) fn text(headers: &HeaderMap, name: &str) -> Option<String> {
    headers.get(name).and_then(|value| value.to_str().ok()).map(|value| value.trim().to_owned())
}

pub(crate) fn invalid(text: impl Into<String>) -> Refusal {
    Refusal::never(StatusCode::BAD_REQUEST, Reason::Invalid, text)
}

use refusal::{Reason, Refusal};

fn check_length(name: &str, text: &str, limit: usize) -> Result<(), Refusal> {
    if !text.is_empty() && text.len() <= limit {
        return Ok(());
    }
    let length = text.len();
    Err(invalid(format!("`{name}` has {length} bytes: use 1 to {limit}")))
}

/// Refuses dot segments, which would lead to another service's path.
fn check_path(path: &str) -> Result<(), Refusal> {
    let dots = |segment: &str| {
        matches!(segment.to_ascii_lowercase().replace("%2e", ".").as_str(), "." | "..")
    };
    match path.split(['/', '\\']).any(dots) {
        true => Err(invalid(format!("`{path}` has a dot segment: write the path out"))),
        false => Ok(()),
    }
}

fn host(address: &salvo::conn::SocketAddr) -> String {
    address.clone().into_std().map_or("unknown".into(), |address| address.ip().to_string())
}

fn parse<T: std::str::FromStr>(name: &str, text: &str) -> Result<T, Refusal>
where
    T::Err: Display,
{
    text.parse().map_err(|error| invalid(format!("`{name}: {text}` can't be read: {error}")))
}
