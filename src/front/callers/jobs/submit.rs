use std::sync::Arc;
use std::time::Duration;

use hyper::body::Incoming;
use hyper::{HeaderMap, Request, Response, StatusCode};

use super::answer::{show, store_unavailable};
use super::caller::Caller;
use super::context::Context;
use super::id::derive;
use super::submission::Submission;
use crate::fleet::Digest;
use crate::front::callers::body::Body;
use crate::front::callers::claimed::IDEMPOTENCY_KEY;
use crate::front::callers::reply::Reply;
use crate::intake::{self, CompleteBody, Connection, Fault};
use crate::jobs::{Reason, Record, State, unix_time_ms};
use crate::platform::{Condition, Error, Row, Write};

/// Time for the body to arrive.
const BODY_TIMEOUT: Duration = Duration::from_secs(5);

/// Tries against lost answers of the store.
const TRIES: usize = 4;

/// Accepts a job: its row is in the table before the answer.
pub(super) async fn submit(
    context: &Context,
    caller: &Caller,
    queue: &str,
    request: Request<Incoming>,
    connection: &Arc<Connection>,
) -> Result<Response<Body>, Reply> {
    let bad = |reason| Reply::not_run(StatusCode::BAD_REQUEST, reason);
    let id = match read_idempotency(request.headers())? {
        // The id follows from workspace and key, so the insert itself settles a repeat.
        Some(key) => derive(&format!("{}\n{key}", caller.workspace)),
        None => context.new_id(),
    };
    let body = read_body(request, connection).await?;
    let submission = Submission::read(body.bytes()).map_err(bad)?;
    let now = unix_time_ms();
    let record = Record {
        workspace: caller.workspace.clone(),
        kind: submission.kind,
        size: submission.size,
        urgent: submission.urgent,
        checkpoints: submission.checkpoints,
        payload: submission.payload,
        request: Digest::of(body.bytes()),
        state: State::Queued,
        reason: Reason::Submitted,
        submitted: now,
        changed: now,
        run: 0,
        failures: 0,
        losses: 0,
        worker: None,
        done_ms: 0,
        cancel: false,
    };
    let key = Record::key(queue, &id);
    let writes = vec![
        Write::put(&key, Condition::Absent, &record.to_json()),
        Write::put(&Record::change_key(queue, &id), Condition::Any, "{}"),
    ];
    let mut lost = false;
    for _ in 0..TRIES {
        match context.store.write(writes.clone()).await {
            Ok(()) => {
                context.hub.notify(queue);
                let row = Row {
                    key: key.into(),
                    version: 1,
                    value: record.to_json().into(),
                };
                return show(StatusCode::CREATED, queue, &row);
            }
            Err(Error::Unknown { .. }) => lost = true,
            Err(Error::Conflict { .. }) => {}
            Err(Error::Unavailable { .. }) if lost => continue,
            Err(Error::Unavailable { .. }) => return Err(store_unavailable()),
        }
        match context.store.read(key.as_str().into()).await {
            Ok(Some(row)) => {
                context.hub.notify(queue);
                return settle(queue, &row, &record, lost);
            }
            // The first try may still take effect; another one with the same id does no harm.
            Ok(None) => {}
            Err(_) => lost = true,
        }
    }
    Err(Reply::unknown(
        StatusCode::SERVICE_UNAVAILABLE,
        "the job may have been accepted; repeat with the same Idempotency-Key",
    ))
}

/// Answers from the row that is there already.
fn settle(queue: &str, row: &Row, record: &Record, lost: bool) -> Result<Response<Body>, Reply> {
    let found: Option<Record> = serde_json::from_str(&row.value).ok();
    let same = |r: &Record| r.request == record.request && r.workspace == record.workspace;
    if !found.as_ref().is_some_and(same) {
        return Err(Reply::not_run(
            StatusCode::UNPROCESSABLE_ENTITY,
            "key used for another request",
        ));
    }
    let ours = lost && found.is_some_and(|r| r.submitted == record.submitted);
    let status = if ours {
        StatusCode::CREATED
    } else {
        StatusCode::OK
    };
    show(status, queue, row)
}

fn read_idempotency(headers: &HeaderMap) -> Result<Option<&str>, Reply> {
    let Some(key) = headers.get(IDEMPOTENCY_KEY) else {
        return Ok(None);
    };
    let key = key.to_str().ok().filter(|k| (1..=255).contains(&k.len()));
    let wrong = "Idempotency-Key is not 1 to 255 characters";
    key.map(Some)
        .ok_or(Reply::not_run(StatusCode::BAD_REQUEST, wrong))
}

async fn read_body(
    request: Request<Incoming>,
    connection: &Arc<Connection>,
) -> Result<CompleteBody, Reply> {
    let body = intake::read(connection, request.into_body(), Submission::MAX);
    match tokio::time::timeout(BODY_TIMEOUT, body).await {
        Ok(Ok(body)) => Ok(body),
        Ok(Err(Fault::TooLong)) => Err(Reply::not_run(
            StatusCode::PAYLOAD_TOO_LARGE,
            "submission is larger than 16 KiB",
        )),
        Ok(Err(Fault::Evicted(_))) => Err(Reply::not_run(
            StatusCode::SERVICE_UNAVAILABLE,
            "no memory for the body",
        )),
        Ok(Err(Fault::Broken(_))) => Err(Reply::not_run(StatusCode::BAD_REQUEST, "body broke off")),
        Err(_) => Err(Reply::not_run(
            StatusCode::REQUEST_TIMEOUT,
            "body did not arrive within 5 s",
        )),
    }
}
