use std::convert::Infallible;
use std::time::Duration;

use bytes::Bytes;
use futures_util::stream;
use http_body_util::combinators::UnsyncBoxBody;
use http_body_util::{BodyExt, Full, StreamBody};
use hyper::body::Frame;
use hyper::header::{CONNECTION, HeaderValue};
use hyper::{Response, StatusCode};

use super::REQUEST_ID;
use crate::standin::http::Hangup;

/// Pause between the pieces of a slow answer.
const PAUSE: Duration = Duration::from_millis(50);

/// Pieces of a slow answer.
const PIECES: usize = 8;

pub(super) type Body = UnsyncBoxBody<Bytes, Hangup>;

/// Makes an answer with a whole body.
pub(super) fn whole(status: StatusCode, id: &str, content: Bytes) -> Response<Body> {
    let body = Full::new(content).map_err(|never: Infallible| match never {});
    labelled(status, id, body.boxed_unsync())
}

/// Makes a refusal that also closes the connection.
pub(super) fn leaving(id: &str) -> Response<Body> {
    let mut response = whole(StatusCode::SERVICE_UNAVAILABLE, id, Bytes::new());
    let close = HeaderValue::from_static("close");
    response.headers_mut().insert(CONNECTION, close);
    response
}

/// Makes an answer that announces its full length and breaks off half way.
pub(super) fn truncated(id: &str, content: &Bytes) -> Response<Body> {
    let length = content.len().max(2);
    let half = content.slice(..content.len() / 2);
    let pieces = stream::iter([Ok(Frame::data(half)), Err(Hangup)]);
    let mut response = labelled(
        StatusCode::OK,
        id,
        BodyExt::boxed_unsync(StreamBody::new(pieces)),
    );
    response
        .headers_mut()
        .insert("content-length", HeaderValue::from(length));
    response
}

/// Makes a chunked answer whose pieces come with pauses.
pub(super) fn slow(id: &str, content: &Bytes) -> Response<Body> {
    let size = content.len().div_ceil(PIECES).max(1);
    let pieces = stream::unfold(content.clone(), move |mut rest| async move {
        if rest.is_empty() {
            return None;
        }
        tokio::time::sleep(PAUSE).await;
        let piece = rest.split_to(size.min(rest.len()));
        Some((Ok(Frame::data(piece)), rest))
    });
    labelled(
        StatusCode::OK,
        id,
        BodyExt::boxed_unsync(StreamBody::new(pieces)),
    )
}

fn labelled(status: StatusCode, id: &str, body: Body) -> Response<Body> {
    let mut response = Response::new(body);
    *response.status_mut() = status;
    if let Ok(id) = HeaderValue::from_str(id) {
        response.headers_mut().insert(REQUEST_ID, id);
    }
    response
}
