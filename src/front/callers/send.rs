use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use hyper::body::{Body as _, Incoming};
use hyper::header::{CONNECTION, CONTENT_LENGTH, HeaderValue, TRANSFER_ENCODING};
use hyper::{Request, Response, StatusCode, Version};

use super::accept::Call;
use super::answer::Answer;
use super::body::Body;
use super::connections::Sender;
use super::flight::Flight;
use super::guard::Guard;
use super::port::Port;
use super::reply::Reply;
use super::request::{OUTCOME, is_idempotent, rewrite_headers, strip_hop_by_hop};
use crate::admit::Refusal;
use crate::call::{Completion, Grant};
use crate::clock;
use crate::route::Verdict;

/// Wait for a target's answer below which a passed deadline says nothing about the target.
const HUNG_AFTER: Duration = Duration::from_secs(1);

/// What follows a try.
pub(super) enum Step {
    Done(Response<Body>),
    Again,
}

/// Sends the request and waits for the head of the answer.
pub(super) async fn send(
    port: &Arc<Port>,
    call: &mut Call,
    mut grant: Grant,
    sender: Sender,
) -> Result<Step, Reply> {
    let now = clock::now();
    let ends = grant.send(now)?;
    let (queue, sent) = (grant.granted_at().since(call.start), now);
    let left = call.order.deadline.min(ends).since(now);
    let body = std::mem::replace(&mut call.body, Guard::empty());
    // Only a request without a body can be sent a second time.
    let again = is_idempotent(&call.parts.method) && body.is_end_stream();
    let request = make_request(call, body, left);
    call.sent.store(true, Ordering::Release);
    let mut flight = Flight::start(request, grant, sender, port.connections.clone(), ends);
    let answer = match tokio::time::timeout(left, &mut flight).await {
        Ok(answer) => answer,
        Err(_) => {
            if clock::now().since(sent) >= HUNG_AFTER {
                flight.report_hung();
            }
            return Err(Reply::unknown(
                StatusCode::GATEWAY_TIMEOUT,
                "deadline passed",
            ));
        }
    };
    let gone = Reply::unknown(StatusCode::BAD_GATEWAY, "target broke off");
    let (mut grant, sender) = flight.land().ok_or(gone)?;
    match answer {
        // No upgrade was asked for, so what follows on this connection is no answer.
        Ok(response) if response.status() == StatusCode::SWITCHING_PROTOCOLS => {
            grant.finish(Verdict::Failed, Completion::Unconfirmed, clock::now());
            Err(gone)
        }
        Ok(response) => {
            let verdict = judge(&response);
            let call_again = verdict == Verdict::Leaving && again;
            if call_again && port.dispatcher.spend_retry(call.order.service) {
                drop(Answer::new(
                    response.into_body(),
                    grant,
                    sender,
                    port.connections.clone(),
                    verdict,
                    ends,
                ));
                return Ok(Step::Again);
            }
            let now = clock::now();
            let meter = port
                .meters
                .get(&call.current, call.order.service, call.order.workspace);
            meter.record(queue, now.since(sent), now.since(call.start));
            let port = port.connections.clone();
            Ok(Step::Done(forward(response, |body| {
                Answer::new(body, grant, sender, port, verdict, ends)
            })))
        }
        Err(mut error) => match error.take_message() {
            // The connection closed before a byte went out.
            Some(request) => {
                call.body = request.into_body();
                call.sent.store(false, Ordering::Release);
                grant.revert_send();
                drop(grant);
                match port.dispatcher.spend_retry(call.order.service) {
                    true => Ok(Step::Again),
                    false => Err(Refusal::Unreachable.into()),
                }
            }
            // The caller broke the request off, which says nothing about the target.
            None if let Some(cause) = call.cause.get() => {
                grant.finish(Verdict::Neutral, Completion::Unconfirmed, clock::now());
                Err(Reply::unknown(cause.status(), cause.reason()))
            }
            None => {
                log::warn!(event = "target-broke-off", step = "send", peer:% = grant.address(),
                    error:% = error.error(); "");
                grant.finish(Verdict::Failed, Completion::Unconfirmed, clock::now());
                match again && port.dispatcher.spend_retry(call.order.service) {
                    true => Ok(Step::Again),
                    false => Err(gone),
                }
            }
        },
    }
}

fn make_request(call: &Call, body: Guard, left: Duration) -> Request<Guard> {
    let mut parts = call.parts.clone();
    let workspace = call
        .current
        .workspace(call.order.workspace)
        .map(|t| t.name.clone());
    rewrite_headers(&mut parts.headers, &workspace.unwrap_or_default(), left);
    // Without this header hyper leaves out a body of unknown length where one is unusual (GET).
    if !body.is_end_stream() && body.size_hint().exact().is_none() {
        let chunked = HeaderValue::from_static("chunked");
        parts.headers.insert(TRANSFER_ENCODING, chunked);
    }
    Request::from_parts(parts, body)
}

/// Says what an answer tells of the target's health.
fn judge(response: &Response<Incoming>) -> Verdict {
    let closes = response
        .headers()
        .get(CONNECTION)
        .is_some_and(|v| v.as_bytes().eq_ignore_ascii_case(b"close"));
    match response.status() {
        StatusCode::SERVICE_UNAVAILABLE if closes => Verdict::Leaving,
        status if status.is_server_error() => Verdict::Failed,
        _ => Verdict::Answered,
    }
}

fn forward(
    response: Response<Incoming>,
    answer: impl FnOnce(Incoming) -> Answer,
) -> Response<Body> {
    let (mut parts, body) = response.into_parts();
    // A length beside chunks is not the length of the body (RFC 9112, section 6.3).
    if parts.headers.contains_key(TRANSFER_ENCODING) {
        parts.headers.remove(CONTENT_LENGTH);
    }
    strip_hop_by_hop(&mut parts.headers);
    parts
        .headers
        .insert(OUTCOME, HeaderValue::from_static("answered"));
    parts.version = Version::HTTP_11;
    Response::from_parts(parts, Body::Target(Box::new(answer(body))))
}
