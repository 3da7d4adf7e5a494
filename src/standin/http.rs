//! Helpers that the stand-in servers share.

use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use hyper::{Request, Response, StatusCode};

/// Error that makes hyper close the connection without an answer.
#[derive(Clone, Copy, Debug, thiserror::Error)]
#[error("connection closed by the stand-in")]
pub(super) struct Hangup;

pub(super) fn answer(status: StatusCode, body: impl Into<Bytes>) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::new(body.into()));
    *response.status_mut() = status;
    response
}

pub(super) fn json<T: serde::Serialize>(value: &T) -> Response<Full<Bytes>> {
    let body = serde_json::to_vec(value).expect("stand-in answers serialize");
    answer(StatusCode::OK, body)
}

/// Reads the body up to `limit` bytes; a longer or broken one closes the connection.
pub(super) async fn body(request: Request<Incoming>, limit: usize) -> Result<Bytes, Hangup> {
    let body = Limited::new(request.into_body(), limit).collect().await;
    Ok(body.map_err(|_| Hangup)?.to_bytes())
}

/// Undoes percent-encoding; an incomplete or malformed sequence is kept as it is.
pub(super) fn unescape(text: &str) -> String {
    let bytes = text.as_bytes();
    let mut out = Vec::with_capacity(bytes.len());
    let mut i = 0;
    while i < bytes.len() {
        let pair = (bytes[i] == b'%')
            .then(|| text.get(i + 1..i + 3))
            .flatten()
            .and_then(|pair| u8::from_str_radix(pair, 16).ok());
        out.push(pair.unwrap_or(bytes[i]));
        i += if pair.is_some() { 3 } else { 1 };
    }
    String::from_utf8_lossy(&out).into_owned()
}
