//! Reading requests and writing answers, shared by the stand-ins.

use super::*;

/// Answers with `value` as JSON.
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

/// Answers with an error as the etcd gateway does: a gRPC status code and a message.
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

/// Breaks off the connection after the head of the answer, so that the client loses the answer.
pub(crate) fn abort(response: &mut Response) {
    let error = io::Error::other("the fault `lose_answers` dropped this answer");
    let body = stream::once(std::future::ready(Err::<Bytes, io::Error>(error)));
    response.body(ResBody::stream(body));
}

/// Reads the request's body, up to `limit` bytes, as JSON.
pub(crate) async fn read_json<T: serde::de::DeserializeOwned>(
    request: &mut Request,
    limit: usize,
) -> Result<T, String> {
    let body = request.payload_with_max_size(limit).await.map_err(|e| e.to_string())?;
    serde_json::from_slice(body).map_err(|e| e.to_string())
}
