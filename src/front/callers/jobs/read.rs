use hyper::{Response, StatusCode};
use serde::Serialize;

use super::answer::{respond, show, store_unavailable};
use super::caller::Caller;
use super::context::Context;
use super::view::View;
use crate::front::callers::body::Body;
use crate::front::callers::reply::Reply;
use crate::jobs::Record;
use crate::platform::Row;

/// Part of the jobs of a queue.
#[derive(Serialize)]
#[serde(rename_all = "kebab-case")]
struct Page {
    jobs: Vec<View>,
    /// Value of `after` for the next page.
    next: Option<String>,
}

/// Answers with one job.
pub(super) async fn get(
    context: &Context,
    caller: &Caller,
    queue: &str,
    id: &str,
) -> Result<Response<Body>, Reply> {
    let (row, _) = find(context, caller, queue, id).await?;
    show(StatusCode::OK, queue, &row)
}

/// Answers with the caller's jobs in a queue. A page may be shorter than asked for, or empty,
/// when rows of other workspaces lie between.
pub(super) async fn list(
    context: &Context,
    caller: &Caller,
    queue: &str,
    after: &str,
    limit: usize,
) -> Result<Response<Body>, Reply> {
    let after = match after {
        "" => String::new(),
        id => Record::key(queue, id),
    };
    let rows = context
        .store
        .scan(Record::prefix(queue).into(), after.into(), limit)
        .await
        .map_err(|_| store_unavailable())?;
    let id_of = |row: &Row| Some(format!("{queue}.{}", row.key.rsplit_once('/')?.1));
    let next = rows.last().filter(|_| rows.len() == limit).and_then(id_of);
    let views = rows.iter().filter_map(|row| View::read(queue, row));
    let jobs = views
        .filter(|view| view.workspace == caller.workspace)
        .collect();
    Ok(respond(StatusCode::OK, &Page { jobs, next }))
}

/// Reads a job of the caller; jobs of other workspaces look like unknown ones.
pub(super) async fn find(
    context: &Context,
    caller: &Caller,
    queue: &str,
    id: &str,
) -> Result<(Row, Record), Reply> {
    let row = context.store.read(Record::key(queue, id).into()).await;
    let row = row.map_err(|_| store_unavailable())?;
    row.and_then(|row| {
        let record: Record = serde_json::from_str(&row.value).ok()?;
        (record.workspace == caller.workspace).then_some((row, record))
    })
    .ok_or(Reply::not_run(StatusCode::NOT_FOUND, "unknown job"))
}
