//! HTTP clients for the platform, and decoding of its answers.

use super::*;

/// Builds an HTTP client with the connect timeout `timeout` that ignores proxy settings of the
/// environment. Errors name `peer`.
pub fn client(peer: &str, timeout: Duration) -> Result<reqwest::Client, Error> {
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
        .connect_timeout(timeout)
        .http1_only()
        .no_proxy()
        .tls_backend_preconfigured(tls)
        .build()
        .map_err(|cause| fail(&cause))
}

/// Decodes the JSON body of an answer with a success status. Any other status is an error.
pub(crate) async fn decode<T: DeserializeOwned>(
    step: error::Step,
    peer: &str,
    response: reqwest::Response,
) -> Result<T, Error> {
    let status = response.status();
    if !status.is_success() {
        return Err(status_error(step, peer, response).await);
    }
    let body = response.bytes().await.map_err(|e| Error::transport(step, peer, &e))?;
    serde_json::from_slice(&body)
        .map_err(|cause| Error::new(step, peer, error::Kind::Damaged, cause))
}

/// Returns the error for an answer with an error status.
pub(crate) async fn status_error(
    step: error::Step,
    peer: &str,
    response: reqwest::Response,
) -> Error {
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
