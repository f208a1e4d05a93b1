//! Answers of a stand-in.

use super::*;

/// Answers with `value` in JSON.
pub(crate) fn json(response: &mut Response, status: StatusCode, value: &impl Serialize) {
    response.status_code(status);
    match serde_json::to_vec(value) {
        Ok(body) => {
            let _ = response.add_header("content-type", "application/json", true);
            response.body(ResBody::Once(Bytes::from(body)));
        }
        Err(error) => error_text(response, StatusCode::INTERNAL_SERVER_ERROR, &error.to_string()),
    }
}

/// Answers with an error in the gateway's form.
pub(crate) fn error_text(response: &mut Response, status: StatusCode, message: &str) {
    let code = match status {
        StatusCode::BAD_REQUEST => 3,
        StatusCode::NOT_FOUND => 5,
        StatusCode::TOO_MANY_REQUESTS => 8,
        _ => 14,
    };
    let body = gateway::Status { code, message: message.into() };
    response.status_code(status);
    response.body(ResBody::Once(serde_json::to_vec(&body).unwrap_or_default().into()));
}

/// Breaks the connection off after the head of the answer.
pub(crate) fn cut(response: &mut Response) {
    let broken = io::Error::other("the answer is lost");
    let body = stream::once(std::future::ready(Err::<Bytes, io::Error>(broken)));
    response.body(ResBody::stream(body));
}

/// Reads the request's body, up to `limit` bytes, as JSON.
pub(crate) async fn read<T: serde::de::DeserializeOwned>(
    request: &mut Request,
    limit: usize,
) -> Result<T, String> {
    let body = request.payload_with_max_size(limit).await.map_err(|e| e.to_string())?;
    serde_json::from_slice(body).map_err(|e| e.to_string())
}
