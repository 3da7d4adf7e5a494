use hyper::header::{CONTENT_TYPE, HeaderValue, RETRY_AFTER};
use hyper::{Response, StatusCode};

use super::view::View;
use crate::admit::Refusal;
use crate::front::callers::body::Body;
use crate::front::callers::reply::Reply;
use crate::front::callers::request::OUTCOME;
use crate::platform::Row;

/// Makes the answer about one job.
pub(super) fn show(status: StatusCode, queue: &str, row: &Row) -> Result<Response<Body>, Reply> {
    let broken = Reply::unknown(StatusCode::INTERNAL_SERVER_ERROR, "row is malformed");
    let view = View::read(queue, row).ok_or(broken)?;
    Ok(respond(status, &view))
}

/// Makes an answer in JSON.
pub(super) fn respond<T: serde::Serialize>(status: StatusCode, value: &T) -> Response<Body> {
    let text = serde_json::to_string(value).expect("views have only string keys");
    let mut response = Response::new(Body::text(text));
    *response.status_mut() = status;
    let headers = response.headers_mut();
    headers.insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
    headers.insert(OUTCOME, HeaderValue::from_static("answered"));
    if status == StatusCode::SERVICE_UNAVAILABLE {
        headers.insert(RETRY_AFTER, HeaderValue::from_static("1"));
    }
    response
}

/// Makes the answer for a call that the table refused, so that nothing was changed.
pub(super) fn store_unavailable() -> Reply {
    Refusal::StoreUnavailable.into()
}
