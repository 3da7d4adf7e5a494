use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::header::{AUTHORIZATION, HOST, HeaderMap, RETRY_AFTER};
use hyper::{Request, Response, StatusCode};
use metrics::{counter, histogram};

use super::admit;
use super::job_row;
use super::row::{self, JOBS, PROGRESS};
use super::shared::{STORE_TIMEOUT, Shared, unix_time_ms};
use super::write::Write;
use crate::batch::admission::{self, Attempt, Refusal};
use crate::batch::{Config, Engine, Progress, Record, Route, Spec, State};
use crate::clock::{self, Instant};
use crate::intake::{self, CompleteBody, Connection};
use crate::job_store::{Acceptance, Partition};
use crate::platform::api::{Fault, Operation, Outcome, Protocol, Transaction, decode_submission};

/// Maximum size of a body when the configuration sets none.
const DEFAULT_MAX_BODY_BYTES: usize = 256 << 10;

/// Deadline of a request that names none.
const DEFAULT_DEADLINE: Duration = Duration::from_secs(10);

/// Time before the deadline of the caller at which it gets a response at the latest.
const DEADLINE_MARGIN: Duration = Duration::from_millis(120);

/// Time before the response is due at which a submission must have arrived and been decoded. With
/// less, the store has no time to answer.
const STORE_MARGIN: Duration = Duration::from_millis(20);

/// Value of the `Retry-After` header, in seconds.
const RETRY_AFTER_S: u32 = 1;

/// Reason why a request failed, attached to the response for the log.
#[derive(Clone)]
struct Reason(String);

/// Times of a request.
#[derive(Clone, Copy)]
struct Arrival {
    /// Arrival in milliseconds since 1970.
    unix_ms: u64,
    /// When the caller must have a response.
    answer_by: Instant,
}

/// Response to a caller.
pub(super) type HttpResponse = Response<Full<Bytes>>;

/// Serves one request within the deadline of its caller.
pub(super) async fn serve(
    shared: Arc<Shared>,
    request: Request<Incoming>,
    connection: Arc<Connection>,
) -> HttpResponse {
    let begun = clock::now();
    let method = request.method().as_str().to_owned();
    let path = request.uri().path().to_owned();
    let header_name = Protocol::deadline_header();
    let wait = header_text(request.headers(), header_name).and_then(|text| text.parse().ok());
    let wait = wait.map_or(DEFAULT_DEADLINE, Duration::from_millis);
    let longest = Duration::from_millis(shared.settings.limits.deadline_ms);
    let wait = wait
        .min(longest)
        .saturating_sub(DEADLINE_MARGIN)
        .max(DEADLINE_MARGIN);
    let response = handle(&shared, request, &connection, begun + wait);
    let response = match tokio::time::timeout(wait, response).await {
        Ok(response) => response,
        Err(_) => failure(
            StatusCode::GATEWAY_TIMEOUT,
            "no outcome before the deadline",
        ),
    };
    if let Some(Reason(reason)) = response.extensions().get() {
        let config = shared.desired.lock().expect("desired lock").config();
        log::info!(event = "request-refused", method, job = path.rsplit('/').next(), path,
            status = response.status().as_u16(), reason,
            config = config.map_or(0, |c| c.version); "");
    }
    let status = response.status().as_u16().to_string();
    let labels = [("method", method.clone()), ("status", status)];
    counter!("calls_total", &labels).increment(1);
    histogram!("call_seconds", "method" => method).record(clock::now().since(begun));
    response
}

async fn handle(
    shared: &Shared,
    request: Request<Incoming>,
    connection: &Arc<Connection>,
    answer_by: Instant,
) -> HttpResponse {
    let (head, body) = request.into_parts();
    let arrival = Arrival {
        unix_ms: unix_time_ms(),
        answer_by,
    };
    let Some(config) = fresh_config(shared) else {
        return unavailable("the configuration is not known");
    };
    let host = header_text(&head.headers, HOST.as_str()).unwrap_or_default();
    let host = host.split(':').next().unwrap_or_default();
    let path = head.uri.path();
    let Some(route) = config.route(host, path) else {
        return failure(StatusCode::NOT_FOUND, "no such queue");
    };
    let header = header_text(&head.headers, AUTHORIZATION.as_str());
    let key = header.and_then(Protocol::key);
    let workspace = key.and_then(|key| config.keys.get(key));
    if workspace.is_none() && !route.open {
        return failure(StatusCode::UNAUTHORIZED, "unknown key");
    }
    let rest = &path[route.prefix.len()..];
    match Protocol::method(head.method.as_str(), rest) {
        Some(Operation::Submit) => {
            let workspace = workspace.cloned().unwrap_or_default();
            let max_body = if config.max_body > 0 {
                config.max_body
            } else {
                DEFAULT_MAX_BODY_BYTES
            };
            let read = intake::read(connection, body, max_body);
            let Some(read) = before(answer_by, read).await else {
                return unavailable("the body did not arrive before the deadline");
            };
            let body = match read {
                Ok(body) => body,
                Err(intake::Fault::Evicted(_)) => {
                    return unavailable("no room for the body, or it was too slow");
                }
                Err(intake::Fault::TooLong | intake::Fault::Broken(_)) => {
                    return failure(StatusCode::PAYLOAD_TOO_LARGE, "body too long or broken off");
                }
            };
            submit_job(shared, route, workspace, rest, (connection, body), arrival).await
        }
        Some(Operation::Ask) => {
            connection.complete();
            query_job(shared, rest).await
        }
        Some(Operation::Cancel) => {
            connection.complete();
            cancel_job(shared, rest).await
        }
        Some(Operation::Count) => count_pending(shared, route),
        None => failure(StatusCode::METHOD_NOT_ALLOWED, "no such call on a queue"),
    }
}

/// Waits for a step of a submission that comes before it is stored. `None` if there is no time left
/// to store it.
async fn before<T>(answer_by: Instant, step: impl Future<Output = T>) -> Option<T> {
    let left = answer_by.since(clock::now());
    let left = left.saturating_sub(STORE_MARGIN);
    tokio::time::timeout(left, step).await.ok()
}

fn fresh_config(shared: &Shared) -> Option<Arc<Config>> {
    let desired = shared.desired.lock().expect("desired lock");
    desired.fresh_config(clock::now(), shared.max_config_age())
}

async fn submit_job(
    shared: &Shared,
    route: &Route,
    workspace: Arc<str>,
    id: &str,
    (connection, body): (&Arc<Connection>, CompleteBody),
    arrival: Arrival,
) -> HttpResponse {
    if before(arrival.answer_by, connection.may_decode())
        .await
        .is_none()
    {
        return unavailable("no room to decode the job before the deadline");
    }
    let (spec, attempt) = match decode_with_room(shared, id, body, arrival).await {
        Ok(decoded) => decoded,
        Err(refusal) => return *refusal,
    };
    let terms = route.terms(&spec);
    let described = admission::Arrival::new(&workspace, arrival.unix_ms, &spec, &terms);
    let admitted = admit::admit(shared, &route.name, id, described, attempt, arrival.unix_ms);
    let arrived_ms = match admitted.await {
        Ok(first_ms) => first_ms,
        Err(refusal) => return refused_early(refusal),
    };
    let record = Record {
        route: route.name.clone(),
        service: route.service.clone(),
        terms,
        workspace,
        arrived_ms,
        spec,
    };
    let workspace = record.workspace.clone();
    let steps = record.spec.steps.len();
    let content = job_row::encode(&record);
    drop(record);
    let Some(content) = content else {
        log::info!(event = "job-too-large", job = id, route = route.name, workspace, steps; "");
        let reason = "the job takes more room than a row of the store has";
        return failure(StatusCode::PAYLOAD_TOO_LARGE, reason);
    };
    let _charge = connection.charge_decoded(content.capacity());
    let write = Write::begin(shared, id);
    let committed = shared
        .committer
        .commit(id, content, arrival.answer_by)
        .await;
    write.end(committed);
    log::info!(event = "job-submitted", job = id, route = route.name, workspace,
        result:? = committed; "");
    match committed {
        Acceptance::Stored => success(Bytes::new()),
        Acceptance::Refused => unavailable("the store does not take the job"),
        Acceptance::Cancelled => failure(
            StatusCode::SERVICE_UNAVAILABLE,
            "the job was cancelled before it was stored",
        ),
        Acceptance::Unknown => failure(StatusCode::GATEWAY_TIMEOUT, "unknown whether it is stored"),
    }
}

/// Decodes a job and refuses it if the leader has no memory for it.
async fn decode_with_room(
    shared: &Shared,
    id: &str,
    body: CompleteBody,
    arrival: Arrival,
) -> Result<(Spec, Attempt), Box<HttpResponse>> {
    let invalid = |reason: String| Box::new(failure(StatusCode::BAD_REQUEST, &reason));
    let spec = decode_submission(body.bytes()).map_err(invalid)?;
    let attempt = admit::record(shared, id, arrival.unix_ms);
    if admit::has_room(shared, attempt, Engine::memory_of(&spec)) {
        return Ok((spec, attempt));
    }
    // The body, which is charged, takes less than the job while the store is asked.
    drop(spec);
    let refused = admit::refuse_full(shared, id, attempt).await;
    refused.map_err(|refusal| Box::new(refused_early(refusal)))?;
    let spec = decode_submission(body.bytes()).map_err(invalid)?;
    Ok((spec, attempt))
}

/// Returns the state of a job, or `None` if there is no such job.
async fn job_state(shared: &Shared, id: &str) -> Result<Option<State>, Fault> {
    let active = shared.term().and_then(|term| term.job_state(&id.into()));
    if let Some(state) = active {
        return Ok(Some(state));
    }
    let progress_partition = Partition::of_progress(id);
    if let Some(content) = read_row(shared, PROGRESS, progress_partition, id).await? {
        let progress: Option<Progress> = row::decode(id, &content);
        return Ok(Some(progress.unwrap_or_default().state));
    }
    // Instances of earlier versions store jobs beside their progress.
    for partition in [Partition::of_job(id), progress_partition] {
        if read_row(shared, JOBS, partition, id).await?.is_some() {
            return Ok(Some(State::Queued));
        }
    }
    Ok(None)
}

/// Reads the content of the row of a job. `None` if there is none.
async fn read_row(
    shared: &Shared,
    table: &str,
    partition: Partition,
    id: &str,
) -> Result<Option<Vec<u8>>, Fault> {
    let (partition, end_key) = (partition.name(), format!("{id}."));
    let read = (shared.store).read(table, &partition, id, &end_key, STORE_TIMEOUT);
    let (rows, _) = read.await?;
    let mut rows = rows.into_iter();
    Ok(rows.find(|row| &*row.key == id).and_then(|row| row.content))
}

async fn query_job(shared: &Shared, id: &str) -> HttpResponse {
    match job_state(shared, id).await {
        Ok(Some(state)) => success(Protocol::state(state)),
        Ok(None) => failure(StatusCode::GONE, "no such job"),
        Err(fault) => {
            log::warn!(event = "state-unknown", job = id, fault:% = fault; "");
            unavailable("the store does not answer")
        }
    }
}

/// Cancels a job, also one that is not known: a write that stores it may be under way, and fails
/// once the cancellation is stored.
async fn cancel_job(shared: &Shared, id: &str) -> HttpResponse {
    let state = match job_state(shared, id).await {
        Ok(state) => state,
        Err(fault) => {
            log::warn!(event = "cancel-unknown", job = id, fault:% = fault; "");
            return failure(StatusCode::BAD_GATEWAY, "the store does not answer");
        }
    };
    let transaction = Transaction {
        part: Partition::to_store(id, shared.settings.spread_jobs).name(),
        puts: vec![(JOBS, row::cancel_key(id), b"{}".to_vec())],
        ..Transaction::default()
    };
    // The write is idempotent, and the deadline of the caller ends the retries.
    loop {
        match shared.store.transact(&transaction, STORE_TIMEOUT).await {
            Ok(Outcome::Applied(_)) => break,
            Ok(Outcome::Conflict(_)) => break,
            Err(fault) => log::warn!(event = "cancel-retried", job = id, fault:% = fault; ""),
        }
        tokio::time::sleep(Duration::from_millis(100)).await;
    }
    log::info!(event = "job-cancel-stored", job = id, known = state.is_some(); "");
    match state {
        Some(_) => success(Bytes::new()),
        None => failure(StatusCode::GONE, "no such job"),
    }
}

fn count_pending(shared: &Shared, route: &Route) -> HttpResponse {
    let engine_counts = shared.term().map(|term| term.pending_jobs());
    let pending = engine_counts.unwrap_or_else(|| {
        let leader = shared.leader.lock().expect("leader lock");
        leader.pending.clone()
    });
    let found = pending.iter().find(|(name, _)| *name == route.name);
    success(Protocol::pending(found.map_or(0, |(_, count)| *count)))
}

fn header_text<'a>(headers: &'a HeaderMap, name: &str) -> Option<&'a str> {
    headers.get(name)?.to_str().ok()
}

fn success(body: Bytes) -> HttpResponse {
    Response::new(Full::new(body))
}

fn failure(status: StatusCode, reason: &str) -> HttpResponse {
    let mut response = Response::new(Full::new(Protocol::reason(reason)));
    *response.status_mut() = status;
    response.extensions_mut().insert(Reason(reason.to_owned()));
    response
}

/// Refuses a request that had no effect and sets `Retry-After`.
fn unavailable(reason: &str) -> HttpResponse {
    refusal(reason, RETRY_AFTER_S)
}

/// Refuses a job before it is stored, and tells its caller when to return.
fn refused_early(cause: Refusal) -> HttpResponse {
    match cause {
        Refusal::Late {
            delay,
            is_new: true,
        } => refusal(
            "the job would end too late to be of use; after the delay it counts as a new one",
            delay.seconds(),
        ),
        Refusal::Late {
            delay,
            is_new: false,
        } => refusal("the job would end too late to be of use", delay.seconds()),
        Refusal::Full(delay) => refusal("no memory for another job", delay.seconds()),
        Refusal::Uncertain => failure(StatusCode::GATEWAY_TIMEOUT, "unknown whether it is stored"),
    }
}

fn refusal(reason: &str, retry_after_s: u32) -> HttpResponse {
    let mut response = failure(StatusCode::SERVICE_UNAVAILABLE, reason);
    response
        .headers_mut()
        .insert(RETRY_AFTER, retry_after_s.into());
    response
}
