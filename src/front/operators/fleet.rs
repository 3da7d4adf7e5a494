use std::sync::Arc;

use salvo::http::StatusCode;
use salvo::{Depot, Request, Response, handler};

use super::change::Change;
use super::reply::{Reply, render_json, set_etag};
use crate::document::MAX_BYTES;
use crate::fleet::parse;
use crate::node::Shared;

/// Answers with the fleet document in force; its version is the ETag.
pub(super) struct ReadFleet(pub(super) Arc<Shared>);

#[handler]
impl ReadFleet {
    async fn handle(&self, request: &mut Request, response: &mut Response) {
        let version = self.0.control.read(|state| state.in_force().cloned());
        let Some(version) = version else {
            return Reply::error(StatusCode::NOT_FOUND, "no version is in force").render(response);
        };
        set_etag(response, version.head.version);
        render_document(request, response, &version.content);
    }
}

/// Puts a fleet document in force, under the condition that `If-Match` states.
pub(super) struct WriteFleet(pub(super) Arc<Shared>);

#[handler]
impl WriteFleet {
    async fn handle(&self, request: &mut Request, depot: &mut Depot, response: &mut Response) {
        let change = Change::read(request, depot, "put-fleet");
        let reply = match (change, read_document(request).await) {
            (Ok(change), Ok(content)) => change.run(&self.0, content).await,
            (Err(reply), _) | (_, Err(reply)) => reply,
        };
        reply.render(response);
    }
}

/// Answers with a document as it was written or, with `plain=true`, as JSON without comments and
/// with all defaults.
pub(super) fn render_document(request: &mut Request, response: &mut Response, content: &str) {
    let plain = request.query::<bool>("plain").unwrap_or(false);
    let document = plain.then(|| parse("fleet", content).ok()).flatten();
    let text = document.and_then(|d| serde_json::to_string(&d).ok());
    render_json(response, text.unwrap_or_else(|| content.to_owned()));
}

/// Reads a body of bounded length.
pub(super) async fn read_document(request: &mut Request) -> Result<Arc<str>, Reply> {
    let body = request.payload_with_max_size(MAX_BYTES).await;
    let content = body.ok().and_then(|b| std::str::from_utf8(b).ok());
    content.map(Into::into).ok_or_else(|| {
        let reason = format!("accepted: UTF-8 text of at most {MAX_BYTES} bytes");
        Reply::error(StatusCode::PAYLOAD_TOO_LARGE, &reason)
    })
}
