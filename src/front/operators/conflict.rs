use salvo::http::StatusCode;

use super::reply::Reply;
use crate::config::Revision;
use crate::fleet::{Difference, Digest, Document, diff, parse};
use crate::node::Shared;

/// Says which version came first, how it differs from what was sent, and what changed since the
/// version on which the sender worked.
pub(super) async fn explain(
    shared: &Shared,
    revision: &Revision,
    base: Option<u64>,
    content: &str,
) -> Reply {
    let current = read(shared, revision.head.digest).await;
    let based = match base {
        Some(base) => match shared.past(base).await {
            Ok(Some(change)) => read(shared, change.digest).await,
            _ => None,
        },
        None => None,
    };
    let sent = parse("fleet", content).ok();
    let body = serde_json::json!({
        "accepted": false,
        "reason": "another change came first",
        "version": revision.head.version,
        "author": revision.head.author,
        "time": revision.head.time,
        "differences": compare(sent.as_ref(), current.as_ref()),
        "changed": compare(based.as_ref(), current.as_ref()),
    });
    Reply::new(StatusCode::PRECONDITION_FAILED, body).with_version(revision.head.version)
}

/// Reads a document from this instance's memory or else from the object store.
async fn read(shared: &Shared, digest: Digest) -> Option<Document> {
    let known = shared.control.read(|state| {
        let version = state.in_force().filter(|v| v.head.digest == digest);
        version.map(|v| v.content.clone())
    });
    let content = match known {
        Some(content) => content,
        None => shared.content(digest).await.ok().flatten()?,
    };
    parse("fleet", &content).ok()
}

fn compare(before: Option<&Document>, after: Option<&Document>) -> Option<Vec<Difference>> {
    Some(diff(before?, after?))
}
