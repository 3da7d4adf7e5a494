use std::sync::Arc;

use salvo::http::StatusCode;
use salvo::{Request, Response, handler};
use serde_json::json;

use super::fleet::render_document;
use super::reply::{Reply, set_etag};
use crate::node::Shared;

/// Versions of a page when the request does not say how many.
const DEFAULT_PAGE: u64 = 10;

/// Answers with a page of the history, the newest version first.
pub(super) struct ReadHistory(pub(super) Arc<Shared>);

#[handler]
impl ReadHistory {
    async fn handle(&self, request: &mut Request, response: &mut Response) {
        let number = |name: &str| match request.query::<String>(name) {
            Some(text) => text.parse().map(Some),
            None => Ok(None),
        };
        let reply = match (number("before"), number("limit")) {
            (Ok(before), Ok(limit)) => {
                let page = self.0.history(before, limit.unwrap_or(DEFAULT_PAGE)).await;
                match page {
                    Ok(page) => Reply::new(StatusCode::OK, json!(page)),
                    Err(error) => unavailable(&error),
                }
            }
            _ => Reply::error(
                StatusCode::BAD_REQUEST,
                "accepted: before and limit as numbers",
            ),
        };
        reply.render(response);
    }
}

/// Answers with the document of a version.
pub(super) struct ReadPast(pub(super) Arc<Shared>);

#[handler]
impl ReadPast {
    async fn handle(&self, request: &mut Request, response: &mut Response) {
        match find(&self.0, request).await {
            Ok((version, content)) => {
                set_etag(response, version);
                render_document(request, response, &content);
            }
            Err(reply) => reply.render(response),
        }
    }
}

pub(super) async fn find(shared: &Shared, request: &Request) -> Result<(u64, Arc<str>), Reply> {
    let missing = |what: &str| Reply::error(StatusCode::NOT_FOUND, what);
    let version = request.param::<u64>("version");
    let version = version.ok_or_else(|| {
        Reply::error(StatusCode::BAD_REQUEST, "accepted: the number of a version")
    })?;
    let change = shared.past(version).await.map_err(|e| unavailable(&e))?;
    let change = change.ok_or_else(|| missing("no such version"))?;
    let content = shared.content(change.digest).await;
    let content = content.map_err(|e| unavailable(&e))?;
    let content = content.ok_or_else(|| missing("the object store lacks the document"))?;
    Ok((version, content))
}

fn unavailable(error: &crate::platform::Error) -> Reply {
    Reply::error(StatusCode::SERVICE_UNAVAILABLE, &error.to_string())
}
