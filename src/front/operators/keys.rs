use salvo::http::StatusCode;
use salvo::{Response, handler};
use serde_json::json;

use super::reply::Reply;
use crate::fleet::Secret;

/// Answers with a new secret and its digest and keeps neither.
pub(super) struct NewKey;

#[handler]
impl NewKey {
    async fn handle(&self, response: &mut Response) {
        let reply = match Secret::generate() {
            Ok(secret) => {
                let body = json!({ "secret": secret.reveal(), "digest": secret.digest() });
                Reply::new(StatusCode::OK, body)
            }
            Err(error) => {
                log::error!(event = "random-source-failed", error:% = error; "");
                let reason = "the random source cannot be read";
                Reply::error(StatusCode::INTERNAL_SERVER_ERROR, reason)
            }
        };
        reply.render(response);
    }
}
