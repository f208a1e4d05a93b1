//! HTTP connections to the platform.

use super::*;

/// Builds an HTTP client that dials within `limit` and ignores proxies of the environment; `peer`
/// is named in errors.
pub fn client(peer: &str, limit: Duration) -> Result<reqwest::Client, Error> {
    let fail = |cause: &dyn Display| {
        Error::new(error::Step::Start, peer, error::Kind::Unsent, cause.to_string())
    };
    let provider = Arc::new(rustls::crypto::ring::default_provider());
    let tls = rustls::ClientConfig::builder_with_provider(provider)
        .with_safe_default_protocol_versions()
        .map_err(|cause| fail(&cause))?
        .with_root_certificates(rustls::RootCertStore::empty())
        .with_no_client_auth();
    reqwest::Client::builder()
        .connect_timeout(limit)
        .http1_only()
        .no_proxy()
        .tls_backend_preconfigured(tls)
        .build()
        .map_err(|cause| fail(&cause))
}

/// Reads an answer of status 200 as JSON; turns any other into an error.
pub(crate) async fn decode<T: DeserializeOwned>(
    step: error::Step,
    peer: &str,
    response: reqwest::Response,
) -> Result<T, Error> {
    let status = response.status();
    if !status.is_success() {
        return Err(refusal(step, peer, response).await);
    }
    let body = response.bytes().await.map_err(|e| Error::transport(step, peer, &e))?;
    serde_json::from_slice(&body)
        .map_err(|cause| Error::new(step, peer, error::Kind::Damaged, cause))
}

/// Turns an answer of an error status into an error.
pub(crate) async fn refusal(step: error::Step, peer: &str, response: reqwest::Response) -> Error {
    let status = response.status();
    let kind = match status {
        StatusCode::NOT_FOUND => error::Kind::Lapsed,
        StatusCode::BAD_REQUEST | StatusCode::PAYLOAD_TOO_LARGE | StatusCode::TOO_MANY_REQUESTS => {
            error::Kind::Refused
        }
        _ if step.writes() => error::Kind::Doubt,
        _ => error::Kind::Unsent,
    };
    let text = response.text().await.unwrap_or_default();
    let cause = serde_json::from_str::<gateway::Status>(&text).map_or(text, |s| s.message);
    Error::new(step, peer, kind, format!("{status}: {cause}"))
}
