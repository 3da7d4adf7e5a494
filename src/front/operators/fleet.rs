use std::sync::Arc;

use salvo::http::StatusCode;
use salvo::http::header::{CONTENT_TYPE, ETAG, HeaderValue, IF_MATCH};
use salvo::writing::Json;
use salvo::{Depot, Request, Response, handler};

use super::role::OPERATOR;
use crate::config::{Outcome, Revision};
use crate::document::MAX_BYTES;
use crate::fleet::{diff, parse};
use crate::node::{Applied, Shared};

/// Answers with the fleet document in force; its version is the ETag.
pub(super) struct ReadFleet(pub(super) Arc<Shared>);

#[handler]
impl ReadFleet {
    async fn handle(&self, response: &mut Response) {
        let version = self.0.control.read(|state| state.in_force().cloned());
        let Some(version) = version else {
            response.status_code(StatusCode::NOT_FOUND);
            response.render("no version is in force\n");
            return;
        };
        set_etag(response, version.head.version);
        let json = HeaderValue::from_static("application/json");
        response.headers_mut().insert(CONTENT_TYPE, json);
        response.body(version.content.to_string());
    }
}

/// Puts a fleet document in force, under the condition that `If-Match` states.
pub(super) struct WriteFleet(pub(super) Arc<Shared>);

#[handler]
impl WriteFleet {
    async fn handle(&self, request: &mut Request, depot: &mut Depot, response: &mut Response) {
        let base = match read_base(request) {
            Ok(base) => base,
            Err(reason) => {
                response.status_code(StatusCode::BAD_REQUEST);
                response.render(reason);
                return;
            }
        };
        let author = depot.get::<Arc<str>>(OPERATOR).cloned().unwrap_or_default();
        let body = request.payload_with_max_size(MAX_BYTES).await;
        let Some(content) = body.ok().and_then(|b| String::from_utf8(b.to_vec()).ok()) else {
            response.status_code(StatusCode::PAYLOAD_TOO_LARGE);
            response.render(format!(
                "accepted: UTF-8 text of at most {MAX_BYTES} bytes\n"
            ));
            return;
        };
        match self.0.apply(&content, base, &author).await {
            Applied::Invalid(problems) => {
                response.status_code(StatusCode::UNPROCESSABLE_ENTITY);
                response.render(Json(problems));
            }
            Applied::Committed(outcome) => self.render(response, &outcome, &content),
        }
    }
}

impl WriteFleet {
    fn render(&self, response: &mut Response, outcome: &Outcome, content: &str) {
        match outcome {
            Outcome::Accepted(revision) => {
                set_etag(response, revision.head.version);
                response.render(Json(
                    serde_json::json!({ "version": revision.head.version }),
                ));
            }
            Outcome::Conflict(revision) => {
                set_etag(response, revision.head.version);
                response.status_code(StatusCode::PRECONDITION_FAILED);
                response.render(Json(self.explain_conflict(revision, content)));
            }
            Outcome::Refused(reason) => {
                response.status_code(StatusCode::SERVICE_UNAVAILABLE);
                response.render(Json(
                    serde_json::json!({ "accepted": false, "reason": reason.to_string() }),
                ));
            }
            Outcome::Unknown(operation) => {
                response.status_code(StatusCode::GATEWAY_TIMEOUT);
                response.render(Json(
                    serde_json::json!({ "accepted": "unknown", "operation": operation.to_string() }),
                ));
            }
        }
    }

    /// Says which version came first and how it differs from what was sent.
    fn explain_conflict(&self, revision: &Revision, content: &str) -> serde_json::Value {
        let current = self.0.control.current();
        let current = current.as_ref().and_then(|s| s.document());
        let differences = match (current, parse("fleet", content)) {
            (Some(current), Ok(sent)) => diff(&sent, current),
            _ => Vec::new(),
        };
        serde_json::json!({
            "accepted": false,
            "version": revision.head.version,
            "author": revision.head.author,
            "differences": differences,
        })
    }
}

fn read_base(request: &Request) -> Result<Option<u64>, &'static str> {
    let Some(value) = request.headers().get(IF_MATCH) else {
        return Ok(None);
    };
    let text = value
        .to_str()
        .map_err(|_| "accepted: If-Match with a version\n")?;
    let text = text.trim_matches('"');
    text.parse()
        .map(Some)
        .map_err(|_| "accepted: If-Match with a version\n")
}

fn set_etag(response: &mut Response, version: u64) {
    if let Ok(value) = HeaderValue::from_str(&format!("\"{version}\"")) {
        response.headers_mut().insert(ETAG, value);
    }
}
