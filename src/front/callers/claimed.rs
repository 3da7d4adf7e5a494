//! Calls with an idempotency key are claimed before dispatch.

use hyper::header::{HeaderName, HeaderValue};
use hyper::http::request::Parts;
use hyper::{Response, StatusCode};

use super::body::Body;
use super::reply::Reply;
use super::request::{OUTCOME, is_idempotent};
use crate::admit::Refusal;
use crate::claim::{ClaimRequest, Manager, Ticket, Timestamp, Verdict};
use crate::fleet::Digest;

/// Header of idempotent submissions.
pub(super) const IDEMPOTENCY_KEY: HeaderName = HeaderName::from_static("idempotency-key");

/// Longest accepted key in bytes.
const MAX_KEY: usize = 255;

/// Reads the claim that a call has to make, if any. Idempotent methods need none.
pub(super) fn read_claim_request(
    parts: &Parts,
    workspace: &str,
    length: Option<u64>,
) -> Result<Option<ClaimRequest>, Reply> {
    if is_idempotent(&parts.method) {
        return Ok(None);
    }
    let Some(key) = parts.headers.get(IDEMPOTENCY_KEY) else {
        return Ok(None);
    };
    let key = key
        .to_str()
        .ok()
        .filter(|key| (1..=MAX_KEY).contains(&key.len()));
    let wrong = Reply::not_run(
        StatusCode::BAD_REQUEST,
        "Idempotency-Key is not 1 to 255 characters",
    );
    let key = key.ok_or(wrong)?;
    // The body streams through, so only its length can be compared.
    let identity = format!("{} {} {length:?}", parts.method, parts.uri);
    Ok(Some(ClaimRequest::new(
        workspace,
        key,
        Digest::of(identity.as_bytes()),
    )))
}

/// Claims a call; the answer of an earlier run comes back as an error.
pub(super) async fn claim(
    manager: &Manager,
    claim_request: &ClaimRequest,
) -> Result<Ticket, Box<Response<Body>>> {
    let unknown = |reason| Reply::unknown(StatusCode::CONFLICT, reason);
    let refusal = match manager.claim(claim_request, Timestamp::now()).await {
        Verdict::First(ticket) => return Ok(ticket),
        Verdict::Replay(reply) => return Err(Box::new(replay(reply))),
        Verdict::Unkept(_) => unknown("ran before, answer too large to be kept"),
        Verdict::Running => unknown("taken before, no answer yet"),
        Verdict::Unknown => unknown("taken by an earlier life of this instance"),
        Verdict::Mismatch => Reply::not_run(
            StatusCode::UNPROCESSABLE_ENTITY,
            "key used for another request",
        ),
        Verdict::Unavailable(reason) => {
            log::warn!(event = "claim-unavailable", reason:% = reason; "");
            Refusal::IdempotencyUnavailable.into()
        }
    };
    Err(Box::new(refusal.into_response()))
}

/// Makes the answer that an earlier run got.
fn replay(reply: crate::claim::Reply) -> Response<Body> {
    let mut response = Response::new(Body::text(reply.body));
    *response.status_mut() = StatusCode::from_u16(reply.status).unwrap_or(StatusCode::OK);
    let headers = reply.headers.iter().filter_map(|(name, value)| {
        let bytes: Vec<u8> = value
            .chars()
            .filter_map(|c| u8::try_from(u32::from(c)).ok())
            .collect();
        Some((
            name.parse::<HeaderName>().ok()?,
            HeaderValue::from_bytes(&bytes).ok()?,
        ))
    });
    response
        .headers_mut()
        .extend(headers.map(|(name, value)| (Some(name), value)));
    response
        .headers_mut()
        .insert(OUTCOME, HeaderValue::from_static("answered"));
    response
}
