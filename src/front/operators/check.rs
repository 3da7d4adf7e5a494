use std::sync::Arc;

use salvo::http::StatusCode;
use salvo::{Request, Response, handler};
use serde_json::json;

use super::fleet::read_document;
use super::reply::Reply;
use super::scope::needed;
use crate::fleet::{diff, effects, parse};
use crate::node::Shared;

/// Validates a document and says what it would change, without changing anything.
pub(super) struct CheckFleet(pub(super) Arc<Shared>);

#[handler]
impl CheckFleet {
    async fn handle(&self, request: &mut Request, response: &mut Response) {
        let reply = match read_document(request).await {
            Ok(content) => self.check(&content),
            Err(reply) => reply,
        };
        reply.render(response);
    }
}

impl CheckFleet {
    fn check(&self, content: &str) -> Reply {
        let current = self.0.control.current();
        let version = current.as_ref().map(|c| c.version());
        let body = match parse("fleet", content) {
            Err(problems) => json!({
                "valid": false, "version": version, "problems": problems,
            }),
            Ok(sent) => {
                let current = current.as_ref().and_then(|c| c.document());
                let differences = current.map(|c| diff(c, &sent));
                let role = needed(differences.as_deref().unwrap_or(&[]));
                let effects = current.map_or_else(Vec::new, |c| effects(c, &sent));
                let effects = effects.iter().map(|e| {
                    let mut value = json!(e);
                    value["text"] = e.to_string().into();
                    value
                });
                json!({
                    "valid": true, "version": version, "problems": [],
                    "first": current.is_none(),
                    "differences": differences.unwrap_or_default(),
                    "effects": effects.collect::<Vec<_>>(),
                    "role": role,
                })
            }
        };
        let reply = Reply::new(StatusCode::OK, body);
        match version {
            Some(version) => reply.with_version(version),
            None => reply,
        }
    }
}
