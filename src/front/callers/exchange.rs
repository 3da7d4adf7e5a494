use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use hyper::body::{Body as _, Incoming};
use hyper::header::{CONNECTION, HeaderValue};
use hyper::http::request::Parts;
use hyper::{Request, Response, StatusCode, Version};

use super::answer::Answer;
use super::body::Body;
use super::claimed::{claim, read_ask};
use super::connections::Sender;
use super::flight::Flight;
use super::guard::Guard;
use super::hold::Hold;
use super::note::note;
use super::reply::Reply;
use super::request::{
    OUTCOME, check_framing, is_idempotent, read_deadline, read_key, rewrite_headers, split_path,
    strip_hop_by_hop,
};
use super::serve::Port;
use crate::admit::Refusal;
use crate::call::{Grant, Order};
use crate::claim::Ask;
use crate::clock::{self, Instant};
use crate::fleet::Snapshot;
use crate::route::Verdict;

/// Wait for a target's answer below which a passed deadline says nothing about the target.
const HUNG_AFTER: Duration = Duration::from_secs(1);

/// Answers one call.
pub(super) async fn exchange(port: Arc<Port>, request: Request<Incoming>) -> Response<Body> {
    let start = clock::now();
    match run(&port, request, start).await {
        Ok(response) => response,
        Err(reply) => reply.into_response(),
    }
}

/// A call that passed the checks of its request.
struct Call {
    order: Order,
    parts: Parts,
    body: Guard,
    current: Arc<Snapshot>,
    too_large: Arc<AtomicBool>,
    start: Instant,
    /// Claim to be made before the call runs.
    ask: Option<Ask>,
    /// True once the target may have got a byte.
    sent: Arc<AtomicBool>,
}

async fn run(
    port: &Arc<Port>,
    request: Request<Incoming>,
    start: Instant,
) -> Result<Response<Body>, Reply> {
    let call = accept(port, request, start).inspect_err(|reply| note(port, reply, None))?;
    let Some(ask) = call.ask.clone() else {
        return dispatch(port, call).await;
    };
    let ticket = match claim(&port.claims, &ask).await {
        Ok(ticket) => ticket,
        Err(response) => return Ok(*response),
    };
    let hold = Hold::new(&port.claims, ticket, call.sent.clone());
    dispatch(port, call)
        .await
        .map(|response| hold.keep(response))
}

/// Runs a call, again where that is safe.
async fn dispatch(port: &Arc<Port>, call: Call) -> Result<Response<Body>, Reply> {
    let order = call.order;
    let result = try_dispatch(port, call).await;
    result.inspect_err(|reply| note(port, reply, Some(order)))
}

async fn try_dispatch(port: &Arc<Port>, mut call: Call) -> Result<Response<Body>, Reply> {
    loop {
        let grant = port.dispatcher.admit(call.order, clock::now()).await?;
        let (grant, sender) = connect(port, grant).await?;
        match send(port, &mut call, grant, sender).await? {
            Step::Done(response) => return Ok(response),
            Step::Again => {}
        }
    }
}

/// Checks request, key, team and service.
fn accept(port: &Port, request: Request<Incoming>, start: Instant) -> Result<Call, Reply> {
    let (mut parts, body) = request.into_parts();
    check_framing(&parts.headers)?;
    let missing = Reply::not_run(StatusCode::NOT_FOUND, "unknown path");
    let enforced = port.dispatcher.enforced();
    let current = enforced.first().ok_or(Reply::from(Refusal::Stale))?.clone();
    let (name, uri) = split_path(&parts.uri).ok_or(missing)?;
    let unknown = Reply::not_run(StatusCode::NOT_FOUND, "unknown service");
    let service = current.service_id(name).ok_or(unknown)?;
    let key =
        read_key(&parts.headers).ok_or(Reply::not_run(StatusCode::UNAUTHORIZED, "missing key"))?;
    let team = current
        .authenticate(&key)
        .filter(|team| enforced.iter().all(|s| s.authenticate(&key) == Some(*team)))
        .ok_or(Reply::not_run(
            StatusCode::UNAUTHORIZED,
            "unknown or withdrawn key",
        ))?;
    if !enforced.iter().all(|s| s.may_call(team, service)) {
        return Err(Reply::not_run(
            StatusCode::FORBIDDEN,
            "queue of other teams",
        ));
    }
    let settings = current.service(service).ok_or(unknown)?;
    if body.size_hint().lower() > settings.body_limit {
        return Err(Reply::not_run(
            StatusCode::PAYLOAD_TOO_LARGE,
            "request body too large",
        ));
    }
    let wanted = read_deadline(&parts.headers)?;
    let left = wanted.unwrap_or(Duration::from_millis(settings.timeout_ms.into()));
    let team_name = current.team(team).map_or("", |t| &*t.name);
    let ask = read_ask(&parts, team_name, body.size_hint().exact())?;
    parts.uri = uri;
    parts.version = Version::HTTP_11;
    let body = Guard::new(body, settings.body_limit, port.limits.body_timeout);
    let too_large = body.too_large();
    let order = Order {
        service,
        team,
        key,
        deadline: start + left,
    };
    Ok(Call {
        order,
        parts,
        body,
        current,
        too_large,
        start,
        ask,
        sent: Arc::default(),
    })
}

/// Finds a target that can be reached. Nothing was sent yet, so every failure is truly not run.
async fn connect(port: &Port, mut grant: Grant) -> Result<(Grant, Sender), Reply> {
    loop {
        let limit = port.limits.connect_timeout;
        match port.connections.take(grant.address(), limit).await {
            Ok(sender) => return Ok((grant, sender)),
            Err(error) => {
                log::warn!(event = "target-unreachable", step = "connect",
                    peer:% = grant.address(), error:% = error; "");
                grant.retry(Verdict::Unreachable, clock::now())?;
            }
        }
    }
}

/// What follows a try.
enum Step {
    Done(Response<Body>),
    Again,
}

/// Sends the request and waits for the head of the answer.
async fn send(
    port: &Arc<Port>,
    call: &mut Call,
    mut grant: Grant,
    sender: Sender,
) -> Result<Step, Reply> {
    let now = clock::now();
    let ends = grant.send(now)?;
    let (queue, sent) = (grant.granted().since(call.start), now);
    let left = call.order.deadline.min(ends).since(now);
    let longest_run = ends.since(now);
    let body = std::mem::replace(&mut call.body, Guard::empty());
    // Only a request without a body can be sent a second time.
    let again = is_idempotent(&call.parts.method) && body.is_end_stream();
    let request = make_request(call, body, left);
    call.sent.store(true, Ordering::Release);
    let mut flight = Flight::start(
        request,
        grant,
        sender,
        port.connections.clone(),
        longest_run,
    );
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
                    longest_run,
                ));
                return Ok(Step::Again);
            }
            let now = clock::now();
            let meter = port
                .meters
                .get(&call.current, call.order.service, call.order.team);
            meter.record(queue, now.since(sent), now.since(call.start));
            let port = port.connections.clone();
            Ok(Step::Done(forward(response, |body| {
                Answer::new(body, grant, sender, port, verdict, longest_run)
            })))
        }
        Err(mut error) => match error.take_message() {
            // The connection closed before a byte went out.
            Some(request) => {
                call.body = request.into_body();
                call.sent.store(false, Ordering::Release);
                grant.unsend();
                drop(grant);
                match port.dispatcher.spend_retry(call.order.service) {
                    true => Ok(Step::Again),
                    false => Err(Refusal::Unreachable.into()),
                }
            }
            None if call.too_large.load(Ordering::Acquire) => Err(Reply::unknown(
                StatusCode::PAYLOAD_TOO_LARGE,
                "request body too large",
            )),
            None => {
                log::warn!(event = "target-broke-off", step = "send", peer:% = grant.address(),
                    error:% = error.error(); "");
                grant.finish(Verdict::Failed, crate::call::End::Unproved, clock::now());
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
    let team = call.current.team(call.order.team).map(|t| t.name.clone());
    rewrite_headers(&mut parts.headers, &team.unwrap_or_default(), left);
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
    strip_hop_by_hop(&mut parts.headers);
    parts
        .headers
        .insert(OUTCOME, HeaderValue::from_static("answered"));
    parts.version = Version::HTTP_11;
    Response::from_parts(parts, Body::Target(Box::new(answer(body))))
}
